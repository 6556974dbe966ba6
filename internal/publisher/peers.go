package publisher

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// maxConcurrentAnnouncements bounds the announcements in flight.
const maxConcurrentAnnouncements = 16

// peerRevisions holds the revisions of peers that reported a higher one.
type peerRevisions struct {
	mu        sync.Mutex
	revisions map[string]int64 // By instance ID.
}

// ObserveRevision records the revision that a peer reported in a message. If it
// is higher than the one in force, the snapshot is fetched from the peer in the
// background. It does not block.
func (p *Publisher) ObserveRevision(peer string, revision int64) {
	if revision <= p.revision() {
		p.peerRevisions.remove(peer)
		return
	}
	p.peerRevisions.set(peer, revision)
	signal(p.peerAhead)
}

// syncWithPeers fetches newer snapshots from peers until ctx ends.
func (p *Publisher) syncWithPeers(ctx context.Context) error {
	for {
		select {
		case <-p.peerAhead:
			p.catchUp(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// catchUp asks the peers with a higher revision, in random order to spread the
// load, until one returns its snapshot. While the watch works, it first waits
// PeerFetchDelay for it. A peer that fails is asked again after its next
// heartbeat.
func (p *Publisher) catchUp(ctx context.Context) {
	if len(p.peerRevisions.peersAbove(p.revision())) == 0 {
		return
	}
	if p.watchHealthy.Load() && !p.sleep(ctx, p.cfg.PeerFetchDelay) {
		return
	}
	peers := p.peerRevisions.peersAbove(p.revision())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers {
		if ctx.Err() != nil {
			return
		}
		p.peerRevisions.remove(peer)
		err := p.fetchFromPeer(ctx, peer)
		if err == nil {
			return
		}
		p.cfg.Logger.WithError(err).WithField("peer", peer).Warn("failed to fetch snapshot from peer")
	}
}

// fetchFromPeer asks a peer for its snapshot and installs it.
func (p *Publisher) fetchFromPeer(ctx context.Context, peer string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.PeerTimeout)
	defer cancel()
	request := snapshotRequest{AboveRevision: p.revision()}
	var response snapshotResponse
	if err := p.cfg.Peers.Call(ctx, peer, linker.KindSnapshotRequest, request, &response); err != nil {
		return err
	}
	if response.Key == "" {
		return merry.New("the peer has no higher revision than this instance")
	}
	r, err := parseStoredSnapshot(response.Key, response.Data)
	if err != nil {
		return err
	}
	p.install(r)
	return nil
}

// announceRevisions announces each revision that was accepted here to all peers,
// so that peers with a broken watch learn of it. Heartbeats repeat the revision
// for peers that miss an announcement.
func (p *Publisher) announceRevisions(ctx context.Context) error {
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
	calls := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, peer := range p.cfg.Peers.Peers() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.cfg.PeerTimeout)
			defer cancel()
			var response confirmation
			err := p.cfg.Peers.Call(ctx, peer.ID, linker.KindSnapshot, announcement{Revision: revision}, &response)
			if err != nil {
				p.cfg.Logger.WithError(err).WithField("peer", peer.ID).Info("failed to announce revision to peer")
			}
		})
	}
	calls.Wait()
}

func (r *peerRevisions) set(peer string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions[peer] = revision
}

func (r *peerRevisions) remove(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.revisions, peer)
}

// peersAbove returns the peers with a higher revision.
func (r *peerRevisions) peersAbove(revision int64) (peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for peer, reported := range r.revisions {
		if reported > revision {
			peers = append(peers, peer)
		}
	}
	return peers
}
