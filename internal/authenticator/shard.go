package authenticator

import (
	"context"
	"sync"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxWithdrawnPerShard bounds the memory for withdrawn keys. A key beyond it
// is refused as unknown.
const maxWithdrawnPerShard = 4096

// errWithdrawn is the cause with which running requests are cancelled.
var errWithdrawn = refuser.New(refuser.KeyWithdrawn, refuser.Unknown, "the key was withdrawn")

// A shard holds the keys whose digests fall into it, and what runs for them.
type shard struct {
	mu        sync.Mutex
	keys      map[string]Identity
	withdrawn map[string]bool
	running   map[string]map[*Session]bool // By digest.
}

// A Session is a request that runs for a key.
type Session struct {
	shard    *shard
	identity Identity
	cancel   context.CancelCauseFunc
}

func (s *shard) init() {
	s.keys = map[string]Identity{}
	s.withdrawn = map[string]bool{}
	s.running = map[string]map[*Session]bool{}
}

func (s *shard) lookup(digest string) (Identity, KeyStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.keys[digest]; ok {
		return id, Known
	}
	if s.withdrawn[digest] {
		return Identity{}, Withdrawn
	}
	return Identity{}, Unknown
}

// Open registers a request that runs for a key. The returned context is
// cancelled with a refusal as its cause when the key is withdrawn. It fails if
// the key was withdrawn since it was looked up.
func (a *Authenticator) Open(ctx context.Context, id Identity) (context.Context, *Session, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	session := &Session{shard: a.shard(id.Digest), identity: id, cancel: cancel}
	if !session.shard.open(session) {
		cancel(errWithdrawn)
		return ctx, nil, false
	}
	return ctx, session, true
}

// Close ends the registration and releases the context.
func (s *Session) Close() {
	s.shard.close(s)
	s.cancel(context.Canceled)
}

func (s *shard) open(session *Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := session.identity.Digest
	if declared, ok := s.keys[digest]; !ok || declared.Workspace != session.identity.Workspace {
		return false
	}
	if s.running[digest] == nil {
		s.running[digest] = map[*Session]bool{}
	}
	s.running[digest][session] = true
	return true
}

func (s *shard) close(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := session.identity.Digest
	delete(s.running[digest], session)
	if len(s.running[digest]) == 0 {
		delete(s.running, digest)
	}
}

func (s *shard) install(keys map[string]Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, id := range s.keys {
		if keys[digest].Workspace != id.Workspace {
			s.withdraw(digest)
		}
	}
	for digest := range keys {
		delete(s.withdrawn, digest)
	}
	s.keys = keys
}

func (s *shard) withdraw(digest string) {
	for session := range s.running[digest] {
		session.cancel(errWithdrawn)
	}
	delete(s.running, digest)
	if len(s.withdrawn) < maxWithdrawnPerShard {
		s.withdrawn[digest] = true
	}
}
