package runner

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// A starter is a long-running object. The channel reports its end once.
type starter interface {
	Start(ctx context.Context) <-chan error
}

// A part is a named long-running object of an entry.
type part struct {
	name    string
	starter starter
}

// A stage is a set of parts that start and stop together.
type stage struct {
	log    logrus.FieldLogger
	cancel context.CancelFunc
	ends   conc.WaitGroup
	failed chan<- error // Receives the first end of a part that nobody asked for.
}

// startStage starts parts. They run on when parent ends, until stop.
func startStage(parent context.Context, log logrus.FieldLogger, failed chan<- error, parts ...part) *stage {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	s := &stage{log: log, cancel: cancel, failed: failed}
	for _, p := range parts {
		done := p.starter.Start(ctx)
		s.ends.Go(func() { s.await(ctx, p, done) })
	}
	return s
}

// await reads the end of a part.
func (s *stage) await(ctx context.Context, p part, done <-chan error) {
	err := <-done
	if ctx.Err() != nil {
		s.log.WithField("part", p.name).Debug("part stopped")
		return
	}
	if err == nil {
		err = merry.New("ended without being asked")
	}
	select {
	case s.failed <- merry.Prepend(err, p.name):
	default:
	}
}

// stop ends the parts and waits until all have ended.
func (s *stage) stop() {
	s.cancel()
	s.ends.Wait()
}
