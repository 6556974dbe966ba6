package publisher

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// maxAnnouncements bounds the announcements that are under way at once.
const maxAnnouncements = 16

// A reportBoard holds the peers that reported a higher revision.
type reportBoard struct {
	mu        sync.Mutex
	revisions map[string]int64 // By instance ID.
}

// ObserveRevision is called with the revision that a peer states in a message.
// When this instance is behind, it asks the peer for the snapshot soon. It
// does not wait.
func (p *Publisher) ObserveRevision(peer string, revision int64) {
	if revision <= p.revision() {
		p.reports.drop(peer)
		return
	}
	p.reports.set(peer, revision)
	notify(p.behind)
}

// followPeers catches up with peers until ctx ends.
func (p *Publisher) followPeers(ctx context.Context) error {
	for {
		select {
		case <-p.behind:
			p.catchUp(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// catchUp asks the peers that are ahead, in random order so that no single one
// carries the load. It gives the watch a little time first when that works. A
// peer that fails is asked again after its next heartbeat.
func (p *Publisher) catchUp(ctx context.Context) {
	if len(p.reports.above(p.revision())) == 0 {
		return
	}
	if p.watching.Load() && !p.pause(ctx, p.cfg.PeerGrace) {
		return
	}
	peers := p.reports.above(p.revision())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers {
		if ctx.Err() != nil {
			return
		}
		p.reports.drop(peer)
		err := p.fetchFrom(ctx, peer)
		if err == nil {
			return
		}
		p.cfg.Logger.WithError(err).WithField("peer", peer).Warn("snapshot not fetched from peer")
	}
}

// fetchFrom asks a peer for its snapshot and installs it.
func (p *Publisher) fetchFrom(ctx context.Context, peer string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.PeerTimeout)
	defer cancel()
	request := snapshotRequest{AboveRevision: p.revision()}
	var response snapshotResponse
	if err := p.cfg.Peers.Call(ctx, peer, linker.KindSnapshotRequest, request, &response); err != nil {
		return err
	}
	if response.Key == "" {
		return merry.New("the peer has no higher revision")
	}
	r, err := parseRecord(response.Key, response.Data)
	if err != nil {
		return err
	}
	p.install(r)
	return nil
}

// announceAccepted tells all peers of each revision that was accepted here.
// They learn it before their watches do when those are broken; what an
// announcement misses the heartbeats bring.
func (p *Publisher) announceAccepted(ctx context.Context) error {
	for {
		select {
		case <-p.accepted:
			p.announce(ctx, p.revision())
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Publisher) announce(ctx context.Context, revision int64) {
	calls := pool.New().WithMaxGoroutines(maxAnnouncements)
	for _, peer := range p.cfg.Peers.Peers() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.cfg.PeerTimeout)
			defer cancel()
			var response confirmation
			err := p.cfg.Peers.Call(ctx, peer.ID, linker.KindSnapshot, announcement{Revision: revision}, &response)
			if err != nil {
				p.cfg.Logger.WithError(err).WithField("peer", peer.ID).Info("revision not announced to peer")
			}
		})
	}
	calls.Wait()
}

func (b *reportBoard) set(peer string, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revisions[peer] = revision
}

func (b *reportBoard) drop(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.revisions, peer)
}

// above returns the peers with a higher revision.
func (b *reportBoard) above(revision int64) (peers []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for peer, reported := range b.revisions {
		if reported > revision {
			peers = append(peers, peer)
		}
	}
	return peers
}
