package dispatcher

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// probeTimeout bounds the probe after a lost connection.
const probeTimeout = 2 * time.Second

// handleServerFailure updates the health of a server and the suspicion against
// the request after a failed exchange. A lost connection is followed by a probe
// before any retry: if the server crashed, the request is a suspect and must not
// run beside other requests.
func (d *Dispatcher) handleServerFailure(ctx context.Context, s *registrar.Server, f *sender.Failure, digest string) (crashed bool) {
	failedAt := d.cfg.Clock.Now()
	switch f.Cause {
	case sender.CauseDial:
		s.SetHealthy(false)
	case sender.CauseConnectionLost:
		if d.probe(ctx, s, failedAt) == sender.ConditionDead {
			d.cfg.Retrier.RecordCrash(digest, s.Name())
			return true
		}
	case sender.CauseTimeout:
		ctx := context.WithoutCancel(ctx)
		d.background.Go(func() { d.probe(ctx, s, failedAt) })
	}
	return false
}

// probe checks the server even if the context of the request has ended.
func (d *Dispatcher) probe(ctx context.Context, s *registrar.Server, failedAt time.Time) sender.Condition {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return d.cfg.Prober.Confirm(ctx, s, failedAt)
}
