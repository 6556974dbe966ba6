package publisher

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

const (
	// maxConcurrentAnnouncements bounds the announcements in flight.
	maxConcurrentAnnouncements = 16
	// maxConcurrentFetches is the number of peers that are asked for a snapshot at a
	// time.
	maxConcurrentFetches = 4
	// fetchPatience is the time after which another peer is asked as well.
	fetchPatience = 300 * time.Millisecond
)

// peerRevisions holds the revisions of peers that reported a higher one.
type peerRevisions struct {
	mu      sync.Mutex
	reports map[string]revisionReport // By instance ID.
	n       int64                     // Number of the last report.
}

// A revisionReport is the last report of a peer.
type revisionReport struct {
	revision int64
	number   int64 // Grows with each report of any peer.
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

// catchUp asks the peers with a higher revision until one returns its snapshot.
// While the watch works, it first waits PeerFetchDelay for it. A peer that has not
// answered for fetchPatience does not keep others from being asked. A peer that
// fails is asked again after its next heartbeat.
func (p *Publisher) catchUp(ctx context.Context) {
	if p.peerRevisions.latestAbove(p.revision()) == "" {
		return
	}
	if p.watchHealthy.Load() && !p.sleep(ctx, p.cfg.PeerFetchDelay) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	results := make(chan error, maxConcurrentFetches)
	for pending := 0; ctx.Err() == nil; {
		if peer := p.peerRevisions.latestAbove(p.revision()); peer != "" && pending < maxConcurrentFetches {
			p.peerRevisions.remove(peer)
			pending++
			group.Go(func() { results <- p.tryPeer(ctx, peer) })
		}
		if pending == 0 {
			return
		}
		select {
		case err := <-results:
			pending--
			if err == nil {
				return
			}
		case <-p.cfg.Clock.After(fetchPatience):
		case <-ctx.Done():
		}
	}
}

// tryPeer fetches the snapshot of a peer and logs a failure.
func (p *Publisher) tryPeer(ctx context.Context, peer string) error {
	err := p.fetchFromPeer(ctx, peer)
	if err != nil && ctx.Err() == nil {
		p.cfg.Logger.WithError(err).WithField("peer", peer).Warn("failed to fetch snapshot from peer")
	}
	return err
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
	r.n++
	r.reports[peer] = revisionReport{revision: revision, number: r.n}
}

func (r *peerRevisions) remove(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reports, peer)
}

// latestAbove returns the peer with a higher revision that reported last, which is
// the most likely to answer, or an empty string.
func (r *peerRevisions) latestAbove(revision int64) (latest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for peer, report := range r.reports {
		if report.revision > revision && (latest == "" || report.number > r.reports[latest].number) {
			latest = peer
		}
	}
	return latest
}
