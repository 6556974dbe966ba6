// Package heartbeater exchanges heartbeats between entry instances and keeps the
// roster of instances and the peers of the linker up to date.
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

// Intervals and timeouts of heartbeats and of reads of the platform's list.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second // Not longer than it takes to replace a dead link.
	listInterval      = 2 * time.Second
	listTimeout       = 2 * time.Second
	loadLifetime      = 2 * time.Second // A peer's loads remain valid if up to three heartbeats are lost.
)

// A Clock provides the current time and tickers.
type Clock interface {
	Now() time.Time
	NewTicker(d time.Duration) clockwork.Ticker
}

// Links calls peers.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	SetPeers(peers []linker.Peer)
}

// A Lister reads the platform's list of instances.
type Lister interface {
	ListInstances(ctx context.Context) ([]storer.ListedInstance, error)
}

// Loads holds the load that this instance and its peers put on backend servers.
type Loads interface {
	LocalLoads() []registrar.PeerLoad
	SetPeerLoads(instance string, loads []registrar.PeerLoad, expires time.Time)
}

// Revisions holds the configuration revisions of this instance and its peers.
type Revisions interface {
	Revision() int64
	ObserveRevision(peer string, revision int64)
}

// Lendings holds the rate shards of which this instance and its peers are lenders.
type Lendings interface {
	Lendings() []registrar.LenderAnnouncement
	SlotVersion() int64
	ObserveLendings(peer string, lendings []registrar.LenderAnnouncement, slot int64)
}

// A Heartbeat is the state that an instance reports about itself.
type Heartbeat struct {
	Instance      string                         `cbor:"instance"`
	FailureDomain string                         `cbor:"failure-domain"`
	LinkAddress   string                         `cbor:"link-address"` // Sent because the platform's list may not contain the sender yet.
	HTTPAddress   string                         `cbor:"http-address"`
	Disk          bool                           `cbor:"disk"`
	Revision      int64                          `cbor:"revision"`
	Leaving       bool                           `cbor:"leaving"`
	Loads         []registrar.PeerLoad           `cbor:"loads"`
	Lendings      []registrar.LenderAnnouncement `cbor:"lendings"`
	Slot          int64                          `cbor:"slot"` // Version of the sender's standing slot; zero if it has none.
}

// A Config holds the dependencies of a Heartbeater.
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

// A Heartbeater sends heartbeats to all peers and processes theirs.
type Heartbeater struct {
	cfg     Config
	sendNow chan struct{} // Holds at most one pending request for an immediate heartbeat.

	mu       sync.Mutex
	inFlight map[string]bool // Peers that have not answered the last heartbeat yet.
}

// New returns a Heartbeater. It must also be registered as the handler of
// linker.KindHeartbeat.
func New(cfg Config) *Heartbeater {
	return &Heartbeater{
		cfg:      cfg,
		sendNow:  make(chan struct{}, 1),
		inFlight: make(map[string]bool),
	}
}

// SendNow triggers an immediate heartbeat, for example after a change of the
// reported state.
func (h *Heartbeater) SendNow() {
	select {
	case h.sendNow <- struct{}{}:
	default:
	}
}

// Start sends heartbeats and polls the platform's list until ctx ends.
func (h *Heartbeater) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var group conc.WaitGroup
		group.Go(func() { h.pollList(ctx) })
		group.Go(func() { h.sendPeriodically(ctx, &group) })
		group.Wait()
		done <- nil
	}()
	return done
}

// sendPeriodically sends heartbeats at each interval and when SendNow is called.
func (h *Heartbeater) sendPeriodically(ctx context.Context, group *conc.WaitGroup) {
	ticker := h.cfg.Clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.sendAll(ctx, group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-h.sendNow:
		}
	}
}

// sendAll sends a heartbeat to all peers concurrently. It skips peers that have
// not answered the last one, so that calls don't pile up on a dead link.
func (h *Heartbeater) sendAll(ctx context.Context, group *conc.WaitGroup) {
	h.updatePeers()
	heartbeat := h.currentHeartbeat()
	for _, peer := range h.cfg.Roster.Peers() {
		if !h.markInFlight(peer.ID) {
			continue
		}
		group.Go(func() {
			defer h.clearInFlight(peer.ID)
			h.send(ctx, peer.ID, heartbeat)
		})
	}
}

// send sends a heartbeat to one peer. It does not retry failures: the next
// heartbeat is due soon, and the peer notices when heartbeats stop.
func (h *Heartbeater) send(ctx context.Context, peer string, heartbeat Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if err := h.cfg.Links.Call(ctx, peer, linker.KindHeartbeat, heartbeat, nil); err != nil {
		h.cfg.Logger.WithError(err).WithField("peer", peer).Debug("heartbeat failed")
	}
}

func (h *Heartbeater) markInFlight(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[peer] {
		return false
	}
	h.inFlight[peer] = true
	return true
}

func (h *Heartbeater) clearInFlight(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, peer)
}

// currentHeartbeat returns a heartbeat with the current state.
func (h *Heartbeater) currentHeartbeat() Heartbeat {
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

// Handle processes a peer's heartbeat. It implements linker.Handler.
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

// observe passes the state in a peer's heartbeat to its consumers.
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
	expires := h.cfg.Clock.Now().Add(loadLifetime)
	h.cfg.Loads.SetPeerLoads(heartbeat.Instance, heartbeat.Loads, expires)
	h.cfg.Lendings.ObserveLendings(heartbeat.Instance, heartbeat.Lendings, heartbeat.Slot)
	h.cfg.Revisions.ObserveRevision(heartbeat.Instance, heartbeat.Revision)
}

// pollList refreshes the roster from the platform's list at each interval.
func (h *Heartbeater) pollList(ctx context.Context) {
	ticker := h.cfg.Clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if err := h.refreshList(ctx); err != nil && ctx.Err() == nil {
			h.cfg.Logger.WithError(err).Debug("failed to read the instance list")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// refreshList reads the platform's list and merges it into the roster, which
// stays unchanged if the read fails.
func (h *Heartbeater) refreshList(ctx context.Context) (err error) {
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

// updatePeers sets the roster's instances as the peers of the linker.
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
