package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
)

const (
	// broadcastQueueSize bounds the queued messages. Further messages are dropped:
	// a late preemption request is useless, and a crash suspect is reported again at
	// the next crash.
	broadcastQueueSize = 256
	// broadcastTimeout bounds the call to one peer.
	broadcastTimeout = time.Second
)

// A preemptionRequest asks a peer to end batch items on a backend server.
type preemptionRequest struct {
	Server string `cbor:"server"`
}

// A broadcast is a message to all peers.
type broadcast struct {
	kind    linker.Kind
	payload any
}

// A broadcaster sends messages to all peers without blocking the caller.
type broadcaster struct {
	links *linker.Linker
	log   logrus.FieldLogger
	queue chan broadcast

	// observe is called with each notice of this entry and must not block. It is
	// set before the first notice.
	observe func(n retrier.Notice)
}

func newBroadcaster(links *linker.Linker, log logrus.FieldLogger) *broadcaster {
	return &broadcaster{links: links, log: log, queue: make(chan broadcast, broadcastQueueSize)}
}

// Announce reports a crash suspect to the peers.
func (b *broadcaster) Announce(n retrier.Notice) {
	b.observe(n)
	b.enqueue(broadcast{kind: linker.KindSuspect, payload: n})
}

// requestPreemption asks the peers to end batch items on a backend server.
func (b *broadcaster) requestPreemption(server string) {
	b.enqueue(broadcast{kind: linker.KindYield, payload: preemptionRequest{Server: server}})
}

func (b *broadcaster) enqueue(m broadcast) {
	select {
	case b.queue <- m:
	default:
		b.log.WithField("kind", m.kind).Warn("message to peers dropped because the queue is full")
	}
}

// Start sends queued messages until ctx ends.
func (b *broadcaster) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		b.run(ctx)
		done <- nil
	}()
	return done
}

func (b *broadcaster) run(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-b.queue:
			for _, peer := range b.links.Peers() {
				sends.Go(func() { b.send(ctx, peer.ID, m) })
			}
		}
	}
}

func (b *broadcaster) send(ctx context.Context, peer string, m broadcast) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	if err := b.links.Call(ctx, peer, m.kind, m.payload, nil); err != nil {
		b.log.WithError(err).WithFields(logrus.Fields{"kind": m.kind, "peer": peer}).Debug("failed to send a message to a peer")
	}
}

// suspectHandler records crash suspects reported by peers.
func suspectHandler(r *retrier.Retrier) linker.Handler {
	return linker.HandlerFunc(func(_ context.Context, _ string, payload []byte) ([]byte, error) {
		var n retrier.Notice
		if err := linker.Unmarshal(payload, &n); err != nil {
			return nil, err
		}
		r.ApplyNotice(n)
		return nil, nil
	})
}

// preemptionHandler ends batch items at the request of a peer.
func preemptionHandler(preempt func(server string)) linker.Handler {
	return linker.HandlerFunc(func(_ context.Context, _ string, payload []byte) ([]byte, error) {
		var n preemptionRequest
		if err := linker.Unmarshal(payload, &n); err != nil {
			return nil, err
		}
		preempt(n.Server)
		return nil, nil
	})
}
