package gossiper

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

const (
	// copyTimeout is the timeout for fetching a copy of store contents.
	copyTimeout = 2 * time.Second
	// fetchPatience is how long the last fetch of a copy is under way before another
	// peer is asked as well. It leaves time for several peers within the two seconds
	// in which changes must arrive.
	fetchPatience = 300 * time.Millisecond
	// maxFetches is the maximum number of peers that are asked for a copy at a time.
	maxFetches = 4
)

// A copyRequest requests the copy of a source.
type copyRequest struct {
	Name string `cbor:"name"`
}

// fetches are the fetches of one copy that are under way, by peer.
type fetches map[string]copyFetch

// A copyFetch is one fetch of a copy.
type copyFetch struct {
	startedAt time.Time
	cancel    context.CancelFunc
}

// mayAsk reports whether a peer may be asked for the copy now: when no other fetch has
// begun within fetchPatience. A peer that does not answer delays the copy no longer
// than that.
func (f fetches) mayAsk(peer string, now time.Time) bool {
	if _, asked := f[peer]; asked || len(f) >= maxFetches {
		return false
	}
	for _, other := range f {
		if now.Sub(other.startedAt) < fetchPatience {
			return false
		}
	}
	return true
}

// fetchNewer fetches copies that are newer than the local ones from a peer. It skips
// sources that read from the store themselves.
func (g *Gossiper) fetchNewer(id string, versions map[string]int64) {
	for name, source := range g.cfg.Sources {
		if source.Connected() || versions[name] <= source.Version() {
			continue
		}
		if ctx, ok := g.beginFetch(name, id); ok {
			g.group.Go(func() { g.fetch(ctx, id, name, source, versions[name]) })
		}
	}
}

func (g *Gossiper) beginFetch(name, id string) (context.Context, bool) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fetches[name].mayAsk(id, now) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	if g.fetches[name] == nil {
		g.fetches[name] = fetches{}
	}
	g.fetches[name][id] = copyFetch{startedAt: now, cancel: cancel}
	return ctx, true
}

// endFetch removes a fetch. After a success it cancels the others, since the next
// report of a peer that is further ahead starts a new one.
func (g *Gossiper) endFetch(name, id string, succeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetches[name][id].cancel()
	delete(g.fetches[name], id)
	if !succeeded {
		return
	}
	for _, other := range g.fetches[name] {
		other.cancel()
	}
}

func (g *Gossiper) fetch(ctx context.Context, id, name string, source Source, peerVersion int64) {
	started := g.cfg.Clock.Now()
	var c follower.Snapshot
	err := g.cfg.Links.Call(ctx, id, linker.KindCopy, copyRequest{Name: name}, &c)
	canceled := ctx.Err() == context.Canceled
	g.endFetch(name, id, err == nil)
	if err != nil {
		if !canceled { // By the success of another fetch.
			g.cfg.Logger.WithError(err).WithFields(logrus.Fields{
				"peer": id, "copy": name, "version": source.Version(), "peer-version": peerVersion, "waited-ms": g.cfg.Clock.Now().Sub(started).Milliseconds(),
			}).Warn("failed to fetch copy from peer")
		}
		return
	}
	source.OfferSnapshot(c)
}

func (g *Gossiper) handleCopy(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var q copyRequest
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	source, ok := g.cfg.Sources[q.Name]
	if !ok {
		return nil, merry.Errorf("no copy is called %q", q.Name)
	}
	return linker.Marshal(source.Snapshot())
}
