package authenticator

import (
	"context"
	"sync"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxWithdrawnPerShard bounds the memory for withdrawn keys. Keys withdrawn
// beyond it are refused as unknown.
const maxWithdrawnPerShard = 4096

// errWithdrawn is the cancellation cause of the requests of a withdrawn key.
var errWithdrawn = refuser.New(refuser.KeyWithdrawn, refuser.Unknown, "the key was withdrawn")

// A shard holds the keys whose digests hash to it, and their sessions.
type shard struct {
	mu        sync.Mutex
	keys      map[string]Identity
	withdrawn map[string]bool
	sessions  map[string]map[*Session]bool // By digest.
}

// A Session is the registration of a running request under its key.
type Session struct {
	shard    *shard
	identity Identity
	cancel   context.CancelCauseFunc
}

func (s *shard) init() {
	s.keys = map[string]Identity{}
	s.withdrawn = map[string]bool{}
	s.sessions = map[string]map[*Session]bool{}
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

// OpenSession registers a request under its key. The returned context is
// cancelled with a refusal as its cause when the key is withdrawn. It returns
// false if the key has been withdrawn since it was looked up.
func (a *Authenticator) OpenSession(ctx context.Context, id Identity) (context.Context, *Session, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	session := &Session{shard: a.shard(id.Digest), identity: id, cancel: cancel}
	if !session.shard.addSession(session) {
		cancel(errWithdrawn)
		return ctx, nil, false
	}
	return ctx, session, true
}

// Close removes the registration and cancels the context.
func (s *Session) Close() {
	s.shard.removeSession(s)
	s.cancel(context.Canceled)
}

func (s *shard) addSession(session *Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := session.identity.Digest
	if declared, ok := s.keys[digest]; !ok || declared.Workspace != session.identity.Workspace {
		return false
	}
	if s.sessions[digest] == nil {
		s.sessions[digest] = map[*Session]bool{}
	}
	s.sessions[digest][session] = true
	return true
}

func (s *shard) removeSession(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := session.identity.Digest
	delete(s.sessions[digest], session)
	if len(s.sessions[digest]) == 0 {
		delete(s.sessions, digest)
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
	for session := range s.sessions[digest] {
		session.cancel(errWithdrawn)
	}
	delete(s.sessions, digest)
	if len(s.withdrawn) < maxWithdrawnPerShard {
		s.withdrawn[digest] = true
	}
}
