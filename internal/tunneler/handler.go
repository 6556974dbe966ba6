package tunneler

import (
	"context"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
)

// HandleStream implements linker.StreamHandler: it makes an attempt for a peer. An error
// means that the attempt was not made.
func (t *Tunneler) HandleStream(ctx context.Context, peer string, payload []byte, w *linker.PartWriter) error {
	return t.handle(ctx, peer, payload, w, false)
}

func (t *Tunneler) handle(ctx context.Context, peer string, payload []byte, w *linker.PartWriter, asHolder bool) error {
	var message request
	if err := linker.Unmarshal(payload, &message); err != nil {
		return err
	}
	if t.reach.CutOff(message.Service) {
		return merry.Errorf("cut off from the servers of %s as well", message.Service)
	}
	if t.deniesServer(message) {
		t.cfg.Evacuations.RecordDenied(balancer.DeniedPeer)
		return merry.Errorf("the failure domain of %s is evacuated", message.Server)
	}
	if !t.beginServing() {
		return merry.New("the instance is leaving")
	}
	defer t.serving.Done()
	attempt := message.attempt()
	if asHolder {
		wait, err := t.takeShare(message)
		switch {
		case err != nil:
			return err
		case wait > 0:
			return t.refuseAsHolder(peer, message, wait, w)
		}
		attempt.PlacedAt = t.cfg.Clock.Now()
	}
	events, err := t.serve(ctx, attempt, w)
	fields := logrus.Fields{"request": message.ID, "peer": peer, reporter.FieldBackendServer: message.Server, "events": events, "as-holder": asHolder}
	if err != nil {
		fields["last-failure"] = asFailure(err).Cause
	}
	t.count(servedSide(asHolder), err)
	t.cfg.Logger.WithFields(fields).Info("made an attempt for a peer")
	return nil
}

// serve makes an attempt and sends the answer to the peer. A peer that does not read the
// answer any more has ended the context.
func (t *Tunneler) serve(ctx context.Context, a forwarder.Attempt, w *linker.PartWriter) (events int, err error) {
	answer, err := t.cfg.Direct.Send(ctx, a)
	if err != nil {
		_ = w.Write(head{Failure: failureOf(err)})
		return 0, err
	}
	if answer.Stream != nil {
		defer answer.Stream.Close()
	}
	if err := w.Write(headOf(answer)); err != nil || answer.Stream == nil {
		return 0, err
	}
	for {
		e, err := answer.Stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return events, w.Write(event{End: true})
		case err != nil:
			_ = w.Write(event{Failure: failureOf(err)})
			return events, err
		}
		if err := w.Write(event{ID: e.ID, Raw: e.Raw}); err != nil {
			return events, err
		}
		events++
	}
}

// beginServing counts an attempt of a peer, unless the instance is leaving.
func (t *Tunneler) beginServing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return false
	}
	t.serving.Add(1)
	return true
}

// Leave takes no further attempts of peers.
func (t *Tunneler) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Drain waits for the attempts of peers that are under way, until the context ends. It
// is called after Leave.
func (t *Tunneler) Drain(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.serving.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
