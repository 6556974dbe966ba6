package resumer

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/ranker"
	"github.com/quetzalhitch/quetzalhitch/internal/waiter"
)

// replicasPerStream is the number of instances that know a stream. One of them may be
// the one at which it began, and another may be lost together with that one.
const replicasPerStream = 3

// A replicaSet chooses the instances that know a stream: those with the highest hashes.
type replicaSet struct {
	mu      sync.RWMutex
	self    string
	members []string // IDs of all instances, this one included.
}

// set sets the instances. It reports whether there are new ones.
func (k *replicaSet) set(peers []string, self string) (grown bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grown = slices.ContainsFunc(peers, func(id string) bool { return !slices.Contains(k.members, id) })
	k.self = self
	k.members = append(slices.Clone(peers), self)
	return grown
}

// of returns the peers that know the stream or key with an ID.
func (k *replicaSet) of(id string) (peers []string) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.DeleteFunc(k.ranked(id), func(member string) bool { return member == k.self })
}

// includesSelf reports whether this instance is one of those that know an ID.
func (k *replicaSet) includesSelf(id string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Contains(k.ranked(id), k.self)
}

// ranked returns the members with the highest hashes for an ID. The caller holds k.mu.
func (k *replicaSet) ranked(id string) []string {
	return ranker.Highest(id, k.members, replicasPerStream)
}

// An outbox holds the streams of which peers have not been notified yet.
type outbox struct {
	mu      sync.Mutex
	streams map[string][]Stream // By peer.
	filled  chan struct{}
}

func (o *outbox) init() {
	o.streams = map[string][]Stream{}
	o.filled = make(chan struct{}, 1)
}

func (o *outbox) add(s Stream, peers []string) {
	o.mu.Lock()
	for _, id := range peers {
		o.streams[id] = append(o.streams[id], s)
	}
	o.mu.Unlock()
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

func (o *outbox) take() map[string][]Stream {
	o.mu.Lock()
	defer o.mu.Unlock()
	streams := o.streams
	o.streams = map[string][]Stream{}
	return streams
}

// notifyAll notifies peers of the streams of a service that began at this instance.
func (r *Resumer) notifyAll(service string) {
	for _, s := range r.begunHere(service) {
		r.outbox.add(s, r.replicas.of(s.ID))
	}
}

func (r *Resumer) notifyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.outbox.filled:
		}
		waiter.Pause(ctx, r.cfg.Clock, notifyDelay, nil)
		for peer, streams := range r.outbox.take() {
			r.group.Go(func() { r.notify(ctx, peer, streams) })
		}
	}
}

func (r *Resumer) notify(ctx context.Context, peer string, streams []Stream) {
	var err error
	for range maxNotifications {
		if err = r.callPeer(ctx, peer, Message{Begun: streams}); err == nil || ctx.Err() != nil {
			return
		}
		waiter.Pause(ctx, r.cfg.Clock, notifyRetryDelay, nil)
	}
	r.cfg.Logger.WithError(err).WithFields(logrus.Fields{"peer": peer, "streams": len(streams)}).Info("peer does not know streams that began here")
}

func (r *Resumer) callPeer(ctx context.Context, peer string, m Message) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var response Message
	return r.cfg.Links.Call(ctx, peer, linker.KindStream, m, &response)
}

// ask asks the peers that may know a stream. The first one that does answers for all.
func (r *Resumer) ask(ctx context.Context, id string) (origin Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := r.replicas.of(id)
	found := make(chan Stream, len(peers))
	var calls conc.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			var response Message
			if err := r.cfg.Links.Call(ctx, peer, linker.KindStream, Message{Ask: id}, &response); err != nil {
				return
			}
			for _, s := range response.Begun {
				found <- s
			}
		})
	}
	go func() { // Ends with ctx.
		calls.Wait()
		close(found)
	}()
	s, known := <-found
	if known {
		r.record(s, false)
	}
	return s.Origin, known
}

func (r *Resumer) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var m, response Message
	if err := linker.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	for _, s := range m.Begun {
		r.record(s, false)
	}
	if m.Ask != "" {
		if origin, known := r.local(m.Ask); known {
			response.Begun = []Stream{{ID: m.Ask, Origin: origin}}
		}
	}
	return linker.Marshal(response)
}
