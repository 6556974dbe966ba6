package runner

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// A starter is a long-running object. The channel receives its result when it
// ends.
type starter interface {
	Start(ctx context.Context) <-chan error
}

// A component is a named long-running object of an entry.
type component struct {
	name    string
	starter starter
}

// A componentGroup is a set of components that start and stop together.
type componentGroup struct {
	log     logrus.FieldLogger
	cancel  context.CancelFunc
	running conc.WaitGroup
	failed  chan<- error // Receives the error of the first component that ends unexpectedly.
}

// startGroup starts components. They run until stop, even if parent ends before.
func startGroup(parent context.Context, log logrus.FieldLogger, failed chan<- error, components ...component) *componentGroup {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	g := &componentGroup{log: log, cancel: cancel, failed: failed}
	for _, c := range components {
		done := c.starter.Start(ctx)
		g.running.Go(func() { g.await(ctx, c, done) })
	}
	return g
}

// await waits for a component to end, and reports it unless the group is stopping.
func (g *componentGroup) await(ctx context.Context, c component, done <-chan error) {
	err := <-done
	if ctx.Err() != nil {
		g.log.WithField("part", c.name).Debug("component stopped")
		return
	}
	if err == nil {
		err = merry.New("ended unexpectedly")
	}
	select {
	case g.failed <- merry.Prepend(err, c.name):
	default:
	}
}

// stop stops the components and waits until all have ended.
func (g *componentGroup) stop() {
	g.cancel()
	g.running.Wait()
}
