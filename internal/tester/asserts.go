package tester

import (
	"context"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/poll"
)

const (
	// pollInterval is the interval at which conditions are asked for.
	pollInterval = 10 * time.Millisecond
	// alwaysGrace is added to the limit of a poll that ends by itself.
	alwaysGrace = 30 * time.Second
)

// A Condition returns nil when it holds, otherwise what is missing.
type Condition func() error

// Eventually fails the test unless the condition holds within the limit.
func Eventually(t testing.TB, limit time.Duration, what string, condition Condition) {
	t.Helper()
	start := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := condition(); err != nil {
			return poll.Continue("%s: not after %s: %v", what, time.Since(start).Round(time.Millisecond), err)
		}
		return poll.Success()
	}, poll.WithTimeout(limit), poll.WithDelay(pollInterval))
}

// Always fails the test unless the condition holds whenever it is asked for
// during the whole period.
func Always(t testing.TB, period time.Duration, what string, condition Condition) {
	t.Helper()
	start := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		elapsed := time.Since(start)
		if err := condition(); err != nil {
			return poll.Error(merry.Prependf(err, "%s: ceased to hold after %s", what, elapsed.Round(time.Millisecond)))
		}
		if elapsed >= period {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(period+alwaysGrace), poll.WithDelay(pollInterval))
}

// Start starts a process for a test. It is killed when the test ends; a
// failed test shows the end of its output.
func Start(t testing.TB, c Command) *Process {
	t.Helper()
	if c.Folder == "" {
		c.Folder = t.ArtifactDir()
	}
	p, err := StartProcess(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Log(p.Tail())
		}
	})
	return p
}

// StartListening starts a process for a test and waits until it listens.
func StartListening(t testing.TB, c Command) (*Process, Addresses) {
	t.Helper()
	p := Start(t, c)
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	addresses, err := p.WaitListening(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return p, addresses
}

// NewDeployment starts a deployment for a test. The folder and the binaries
// are set when they are empty. It is closed when the test ends; a failed test
// shows the end of the output of all processes.
func NewDeployment(t testing.TB, cfg DeploymentConfig) *Deployment {
	t.Helper()
	if cfg.Folder == "" {
		cfg.Folder = t.ArtifactDir()
	}
	if cfg.Binaries == (Binaries{}) {
		cfg.Binaries = SharedBinaries(t)
	}
	d, err := StartDeployment(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		if t.Failed() {
			t.Log(d.Tail())
		}
	})
	return d
}
