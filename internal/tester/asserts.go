package tester

import (
	"context"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/poll"
)

const (
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 10 * time.Millisecond
	// alwaysTimeoutMargin is added to the poll timeout in Always, which ends
	// the poll itself when the period has passed.
	alwaysTimeoutMargin = 30 * time.Second
)

// A Condition returns nil when it holds, otherwise an error that says why it
// does not.
type Condition func() error

// Eventually fails the test unless the condition holds within the timeout.
func Eventually(t testing.TB, timeout time.Duration, what string, condition Condition) {
	t.Helper()
	start := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := condition(); err != nil {
			return poll.Continue("%s: not met after %s: %v", what, time.Since(start).Round(time.Millisecond), err)
		}
		return poll.Success()
	}, poll.WithTimeout(timeout), poll.WithDelay(pollInterval))
}

// Always fails the test unless the condition holds at every check during the
// period.
func Always(t testing.TB, period time.Duration, what string, condition Condition) {
	t.Helper()
	start := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		elapsed := time.Since(start)
		if err := condition(); err != nil {
			return poll.Error(merry.Prependf(err, "%s: stopped holding after %s", what, elapsed.Round(time.Millisecond)))
		}
		if elapsed >= period {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(period+alwaysTimeoutMargin), poll.WithDelay(pollInterval))
}

// Start starts a process for a test. It is killed when the test ends; a
// failed test logs the end of its output.
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
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	addresses, err := p.WaitListening(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return p, addresses
}

// NewDeployment starts a deployment for a test. An empty folder or empty
// binaries get defaults. It is closed when the test ends; a failed test logs
// the end of the output of all processes.
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
