package dispatcher

import (
	"context"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// confirmTimeout bounds the probe after a lost connection.
const confirmTimeout = 2 * time.Second

// learn draws conclusions about a server, and about the request, from a failed
// exchange. A lost connection is followed by a probe before anything else:
// if the server died, the request is a suspect and must not run beside others.
func (d *Dispatcher) learn(ctx context.Context, s *registrar.Server, f *sender.Failure, digest string) {
	failed := d.cfg.Clock.Now()
	switch f.Cause {
	case sender.CauseDial:
		s.SetHealthy(false)
	case sender.CauseLost:
		if d.confirm(ctx, s, failed) == sender.ConditionDead {
			d.cfg.Retrier.RecordDeath(digest, s.Name())
		}
	case sender.CauseSilent:
		ctx := context.WithoutCancel(ctx)
		d.background.Go(func() { d.confirm(ctx, s, failed) })
	}
}

// confirm probes although the request may be over.
func (d *Dispatcher) confirm(ctx context.Context, s *registrar.Server, failed time.Time) sender.Condition {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	return d.cfg.Prober.Confirm(ctx, s, failed)
}
