// Package authenticator finds the workspace of a key, recognises withdrawn
// keys and ends what still runs for them. It keeps digests of keys only.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// shardCount is the number of parts of the key table, by digest.
const shardCount = 16

// A KeyStatus says what is known about a key.
type KeyStatus int

// The verdicts on a key.
const (
	Unknown KeyStatus = iota
	Known
	Withdrawn // It was declared under an earlier revision that this entry saw.
)

// An Identity is what a known key stands for.
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

// An Authenticator holds the keys of the configuration in force.
type Authenticator struct {
	cfg    Config
	shards [shardCount]shard
}

// New returns an authenticator that knows no workspace key.
func New(cfg Config) *Authenticator {
	a := &Authenticator{cfg: cfg}
	for i := range a.shards {
		a.shards[i].init()
	}
	return a
}

// Digest is the hexadecimal HMAC-SHA-256 of a key under the pepper.
func (a *Authenticator) Digest(key string) string {
	mac := hmac.New(sha256.New, a.cfg.Pepper)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// Lookup finds the identity of a presented key. The digest is looked up in a
// table: a caller cannot choose digests without the pepper, so that the time
// of the search tells nothing about keys.
func (a *Authenticator) Lookup(key string) (Identity, KeyStatus) {
	digest := a.Digest(key)
	return a.shard(digest).lookup(digest)
}

// Operator reports whether the key is an operator's. All digests are compared
// in constant time.
func (a *Authenticator) IsOperatorKey(key string) bool {
	digest := []byte(a.Digest(key))
	found := 0
	for _, d := range a.cfg.OperatorDigests {
		found |= subtle.ConstantTimeCompare(digest, []byte(d))
	}
	return found == 1
}

// Install takes over the keys of a declaration. What runs for a key that is
// gone, or that now belongs to another workspace, is cancelled.
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
