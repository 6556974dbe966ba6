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
	// spreadQueue bounds what waits to be sent. What does not fit is dropped:
	// a yield that is late has no use, and a crash suspect is reported again
	// at its next death.
	spreadQueue = 256
	// spreadTimeout bounds the exchange with one peer.
	spreadTimeout = time.Second
)

// A yieldNotice asks peers to end batch items on an engine.
type yieldNotice struct {
	Server string `cbor:"server"`
}

// A spreadMessage is a message for all peers.
type spreadMessage struct {
	kind    linker.Kind
	payload any
}

// A spreader sends messages to all peers without letting the sender wait.
type spreader struct {
	links *linker.Linker
	log   logrus.FieldLogger
	queue chan spreadMessage

	// observe sees each notice of this entry; it must not wait. It is set
	// before the first notice.
	observe func(n retrier.Notice)
}

func newSpreader(links *linker.Linker, log logrus.FieldLogger) *spreader {
	return &spreader{links: links, log: log, queue: make(chan spreadMessage, spreadQueue)}
}

// Announce tells the peers about a crash suspect.
func (s *spreader) Announce(n retrier.Notice) {
	s.observe(n)
	s.enqueue(spreadMessage{kind: linker.KindSuspect, payload: n})
}

// askToYield asks the peers to end batch items on an engine.
func (s *spreader) askToYield(server string) {
	s.enqueue(spreadMessage{kind: linker.KindYield, payload: yieldNotice{Server: server}})
}

func (s *spreader) enqueue(m spreadMessage) {
	select {
	case s.queue <- m:
	default:
		s.log.WithField("kind", m.kind).Warn("message to peers dropped because the queue is full")
	}
}

// Start sends what is queued until ctx ends.
func (s *spreader) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		s.run(ctx)
		done <- nil
	}()
	return done
}

func (s *spreader) run(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			for _, peer := range s.links.Peers() {
				sends.Go(func() { s.send(ctx, peer.ID, m) })
			}
		}
	}
}

func (s *spreader) send(ctx context.Context, peer string, m spreadMessage) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	if err := s.links.Call(ctx, peer, m.kind, m.payload, nil); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"kind": m.kind, "peer": peer}).Debug("peer not told")
	}
}

// suspectHandler takes over crash suspects of peers.
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

// yieldHandler ends batch items on the word of a peer.
func yieldHandler(yield func(server string)) linker.Handler {
	return linker.HandlerFunc(func(_ context.Context, _ string, payload []byte) ([]byte, error) {
		var n yieldNotice
		if err := linker.Unmarshal(payload, &n); err != nil {
			return nil, err
		}
		yield(n.Server)
		return nil, nil
	})
}
