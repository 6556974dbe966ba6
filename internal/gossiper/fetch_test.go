package gossiper

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// A copySource is a source that takes its copies from peers.
type copySource struct {
	mu      sync.Mutex
	version int64
}

func (s *copySource) OfferSnapshot(c follower.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, c.Version)
	return true
}

func (s *copySource) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (*copySource) Snapshot() follower.Snapshot { return follower.Snapshot{} }
func (*copySource) ChangedAt() int64            { return 1 }
func (*copySource) Connected() bool             { return false }
func (*copySource) ObservePeerVersion(int64)    {}

// hangingLinks do not answer calls to some peers; the others answer with version 9.
type hangingLinks struct {
	hang []string

	mu       sync.Mutex
	asked    []string
	canceled int // Calls whose context ended.
}

func (l *hangingLinks) Call(ctx context.Context, peer string, _ linker.Kind, _, response any) error {
	l.mu.Lock()
	l.asked = append(l.asked, peer)
	l.mu.Unlock()
	if slices.Contains(l.hang, peer) {
		<-ctx.Done()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.canceled++
		return linker.ErrUnknownEffect
	}
	response.(*follower.Snapshot).Version = 9
	return nil
}

func (*hangingLinks) Handle(linker.Kind, linker.Handler) {}

func (l *hangingLinks) assertAsked(t *testing.T, want ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.asked) < len(want) {
			return poll.Continue("asked %v", l.asked)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	time.Sleep(20 * time.Millisecond) // For calls that should not be made.
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.DeepEqual(t, l.asked, want)
}

// TestFetch guards against a peer that does not answer and keeps an instance from
// copies that other peers have.
func TestFetch(t *testing.T) {
	newCopyFixture := func(hang ...string) (*fixture, *copySource, *hangingLinks) {
		r := newFixture()
		source, links := &copySource{version: 1}, &hangingLinks{hang: hang}
		r.g.cfg.Sources = map[string]Source{"configuration": source}
		r.g.cfg.Links = links
		return r, source, links
	}
	report := func(r *fixture, peers ...string) {
		for _, id := range peers {
			r.g.fetchNewer(id, map[string]int64{"configuration": 9})
		}
	}
	t.Run("another peer is asked while one does not answer", func(t *testing.T) {
		r, source, links := newCopyFixture("b")
		report(r, "b")
		links.assertAsked(t, "b")
		r.clock.Advance(fetchPatience)
		report(r, "c")
		links.assertAsked(t, "b", "c")
		assert.Equal(t, source.Version(), int64(9))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			links.mu.Lock()
			defer links.mu.Unlock()
			if links.canceled == 0 {
				return poll.Continue("the first call is still under way")
			}
			return poll.Success()
		}, poll.WithTimeout(time.Second))
	})
	t.Run("one peer is asked when many report at once", func(t *testing.T) {
		r, _, links := newCopyFixture("b", "c", "d")
		report(r, "b", "c", "d")
		links.assertAsked(t, "b")
	})
	t.Run("a peer is asked once at a time", func(t *testing.T) {
		r, _, links := newCopyFixture("b")
		report(r, "b")
		r.clock.Advance(fetchPatience)
		report(r, "b")
		links.assertAsked(t, "b")
	})
	t.Run("the number of peers that are asked is bounded", func(t *testing.T) {
		r, _, links := newCopyFixture("b", "c", "d", "e", "f")
		for n, id := range []string{"b", "c", "d", "e", "f"} {
			report(r, id)
			links.assertAsked(t, []string{"b", "c", "d", "e"}[:min(n+1, maxFetches)]...)
			r.clock.Advance(fetchPatience)
		}
	})
}
