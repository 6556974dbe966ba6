// Package heartbeater exchanges heartbeats between entry instances and keeps
// the roster of instances and the peers of the links up to date.
package heartbeater

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Times of heartbeats and of the platform's list.
const (
	beatPeriod  = 500 * time.Millisecond
	beatTimeout = time.Second // No longer than a silent link takes to be replaced.
	listPeriod  = 2 * time.Second
	listTimeout = 2 * time.Second
	loadsExpiry = 2 * time.Second // Three heartbeats may be lost before a peer's loads stop counting.
)

// A Clock tells the time and makes tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// Links are the links to the peers.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	SetPeers(peers []linker.Peer)
}

// A Lister reads the platform's list of instances.
type Lister interface {
	ListInstances(ctx context.Context) ([]storer.ListedInstance, error)
}

// Loads are the loads of backend servers, by this process and by its peers.
type Loads interface {
	LocalLoads() []registrar.PeerLoad
	SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time)
}

// Revisions are the configuration revisions of this process and of its peers.
type Revisions interface {
	Revision() int64
	ObserveRevision(peer string, revision int64)
}

// Lendings are the rate shards that this process and its peers lend.
type Lendings interface {
	Lendings() []registrar.LenderAnnouncement
	SlotVersion() int64
	ObserveLendings(peer string, lendings []registrar.LenderAnnouncement, slot int64)
}

// A Heartbeat is what an instance says about itself.
type Heartbeat struct {
	Instance      string                         `cbor:"instance"`
	FailureDomain string                         `cbor:"failure-domain"`
	LinkAddress   string                         `cbor:"link-address"` // The platform's list may not name the sender yet.
	HTTPAddress   string                         `cbor:"http-address"`
	Disk          bool                           `cbor:"disk"`
	Revision      int64                          `cbor:"revision"`
	Leaving       bool                           `cbor:"leaving"`
	Loads         []registrar.PeerLoad           `cbor:"loads"`
	Lendings      []registrar.LenderAnnouncement `cbor:"lendings"`
	Slot          int64                          `cbor:"slot"` // Version of the sender's standing slot; zero when it holds none.
}

// A Config holds the surroundings of a Heartbeater.
type Config struct {
	Clock     Clock
	Logger    logrus.FieldLogger
	Roster    *registrar.Roster
	Links     Links
	Lister    Lister
	Loads     Loads
	Revisions Revisions
	Lendings  Lendings
}

// A Heartbeater sends heartbeats to all peers and takes over theirs.
type Heartbeater struct {
	cfg  Config
	prod chan struct{} // Holds at most one request for a heartbeat at once.

	mu       sync.Mutex
	inFlight map[string]bool // Peers whose last heartbeat is not answered yet.
}

// New returns a Heartbeater, which is also the handler of linker.KindHeartbeat.
func New(cfg Config) *Heartbeater {
	return &Heartbeater{
		cfg:      cfg,
		prod:     make(chan struct{}, 1),
		inFlight: make(map[string]bool),
	}
}

// Prod sends a heartbeat at once, such as after a change of what it says.
func (h *Heartbeater) Prod() {
	select {
	case h.prod <- struct{}{}:
	default:
	}
}

// Start sends heartbeats and polls the platform's list until ctx ends.
func (h *Heartbeater) Start(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		var group conc.WaitGroup
		group.Go(func() { h.pollList(ctx) })
		group.Go(func() { h.beat(ctx, &group) })
		group.Wait()
		end <- nil
	}()
	return end
}

// beat sends a heartbeat each period and when prodded.
func (h *Heartbeater) beat(ctx context.Context, group *conc.WaitGroup) {
	ticker := h.cfg.Clock.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		h.sendAll(ctx, group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-h.prod:
		}
	}
}

// sendAll sends a heartbeat to each peer side by side. A peer that has not
// answered the last one is left out: a silent link must not gather calls.
func (h *Heartbeater) sendAll(ctx context.Context, group *conc.WaitGroup) {
	h.updatePeers()
	heartbeat := h.heartbeat()
	for _, peer := range h.cfg.Roster.Peers() {
		if !h.enter(peer.ID) {
			continue
		}
		group.Go(func() {
			defer h.leave(peer.ID)
			h.send(ctx, peer.ID, heartbeat)
		})
	}
}

// send sends a heartbeat to one peer. A failure needs no action: the peer
// notices that heartbeats stop, and the next one is due soon.
func (h *Heartbeater) send(ctx context.Context, peer string, heartbeat Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if err := h.cfg.Links.Call(ctx, peer, linker.KindHeartbeat, heartbeat, nil); err != nil {
		h.cfg.Logger.WithError(err).WithField("peer", peer).Debug("heartbeat not answered")
	}
}

func (h *Heartbeater) enter(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[peer] {
		return false
	}
	h.inFlight[peer] = true
	return true
}

func (h *Heartbeater) leave(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, peer)
}

// heartbeat says what holds now.
func (h *Heartbeater) heartbeat() Heartbeat {
	self := h.cfg.Roster.Self()
	return Heartbeat{
		Instance:      self.ID,
		FailureDomain: self.FailureDomain,
		LinkAddress:   self.LinkAddress,
		HTTPAddress:   self.HTTPAddress,
		Disk:          self.Disk,
		Revision:      h.cfg.Revisions.Revision(),
		Leaving:       self.Leaving,
		Loads:         h.cfg.Loads.LocalLoads(),
		Lendings:      h.cfg.Lendings.Lendings(),
		Slot:          h.cfg.Lendings.SlotVersion(),
	}
}

// Handle takes over a peer's heartbeat. It implements linker.Handler.
func (h *Heartbeater) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prepend(err, "take over a heartbeat") }()

	var heartbeat Heartbeat
	if err := linker.Unmarshal(payload, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Instance != sender {
		return nil, merry.Errorf("heartbeat of %q sent by %q", heartbeat.Instance, sender)
	}
	h.observe(heartbeat)
	return nil, nil
}

// observe passes on what a peer says about itself.
func (h *Heartbeater) observe(heartbeat Heartbeat) {
	h.cfg.Roster.RecordHeartbeat(registrar.Instance{
		ID:            heartbeat.Instance,
		FailureDomain: heartbeat.FailureDomain,
		LinkAddress:   heartbeat.LinkAddress,
		HTTPAddress:   heartbeat.HTTPAddress,
		Disk:          heartbeat.Disk,
		Leaving:       heartbeat.Leaving,
		Revision:      heartbeat.Revision,
	})
	expires := h.cfg.Clock.Now().Add(loadsExpiry)
	h.cfg.Loads.SetPeerLoads(heartbeat.Instance, heartbeat.Loads, expires)
	h.cfg.Lendings.ObserveLendings(heartbeat.Instance, heartbeat.Lendings, heartbeat.Slot)
	h.cfg.Revisions.ObserveRevision(heartbeat.Instance, heartbeat.Revision)
}

// pollList merges the platform's list each period.
func (h *Heartbeater) pollList(ctx context.Context) {
	ticker := h.cfg.Clock.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		if err := h.mergeList(ctx); err != nil && ctx.Err() == nil {
			h.cfg.Logger.WithError(err).Debug("instance list not read")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// mergeList reads the platform's list once. Without it the roster goes on
// with what it has.
func (h *Heartbeater) mergeList(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := h.cfg.Lister.ListInstances(ctx)
	if err != nil {
		return err
	}
	var entries []registrar.Instance
	for _, listed := range list {
		if listed.Role == storer.RoleEntry {
			entries = append(entries, registrar.Instance{
				ID:            listed.ID,
				FailureDomain: listed.FailureDomain,
				LinkAddress:   listed.LinkAddress,
				HTTPAddress:   listed.HTTPAddress,
				Disk:          listed.Disk,
				Leaving:       listed.State == storer.InstanceLeaving,
			})
		}
	}
	h.cfg.Roster.Merge(entries)
	h.updatePeers()
	return nil
}

// updatePeers makes the roster's instances the peers of the links.
func (h *Heartbeater) updatePeers() {
	var peers []linker.Peer
	for _, instance := range h.cfg.Roster.Peers() {
		if instance.LinkAddress != "" {
			peers = append(peers, linker.Peer{
				ID:            instance.ID,
				Address:       instance.LinkAddress,
				FailureDomain: instance.FailureDomain,
			})
		}
	}
	h.cfg.Links.SetPeers(peers)
}
