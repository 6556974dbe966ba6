// Package authenticator looks up the workspace of a key, recognises withdrawn
// keys and cancels their running requests. It stores only digests of keys.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// shardCount is the number of shards of the key table. Keys are assigned by
// digest.
const shardCount = 16

// A KeyStatus says whether a key is valid.
type KeyStatus int

// The statuses of a key.
const (
	Unknown KeyStatus = iota
	Known
	Withdrawn // Declared by an earlier revision that this entry installed, but not any more.
)

// An Identity is the declared owner of a known key.
type Identity struct {
	Workspace string
	KeyName   string
	Digest    string // Never logged.
}

// A Config holds the secrets of the deployment.
type Config struct {
	Pepper          []byte
	OperatorDigests []string // Hexadecimal digests of the operators' keys.
}

// An Authenticator holds the keys of the installed configuration.
type Authenticator struct {
	cfg    Config
	shards [shardCount]shard
}

// New returns an Authenticator without workspace keys.
func New(cfg Config) *Authenticator {
	a := &Authenticator{cfg: cfg}
	for i := range a.shards {
		a.shards[i].init()
	}
	return a
}

// Digest returns the hexadecimal HMAC-SHA-256 of a key under the pepper.
func (a *Authenticator) Digest(key string) string {
	mac := hmac.New(sha256.New, a.cfg.Pepper)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// Lookup returns the identity and the status of a presented key. The map lookup
// does not take constant time, but its timing reveals nothing about keys: without
// the pepper, a caller cannot choose digests.
func (a *Authenticator) Lookup(key string) (Identity, KeyStatus) {
	digest := a.Digest(key)
	return a.shard(digest).lookup(digest)
}

// IsOperatorKey reports whether the key is an operator's. It compares all digests
// in constant time.
func (a *Authenticator) IsOperatorKey(key string) bool {
	digest := []byte(a.Digest(key))
	found := 0
	for _, d := range a.cfg.OperatorDigests {
		found |= subtle.ConstantTimeCompare(digest, []byte(d))
	}
	return found == 1
}

// Install replaces the keys with those of a declaration. It cancels the requests
// of keys that were removed or that now belong to another workspace.
func (a *Authenticator) Install(d declarer.Declaration) {
	var tables [shardCount]map[string]Identity
	for i := range tables {
		tables[i] = map[string]Identity{}
	}
	for _, k := range d.Keys {
		tables[shardIndex(k.Digest)][k.Digest] = Identity{Workspace: k.Workspace, KeyName: k.Name, Digest: k.Digest}
	}
	for i := range a.shards {
		a.shards[i].install(tables[i])
	}
}

func (a *Authenticator) shard(digest string) *shard {
	return &a.shards[shardIndex(digest)]
}

func shardIndex(digest string) int {
	return int(xxhash.Sum64String(digest) % shardCount)
}
