package commander

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/platform"
)

// runOnPlatform reads the settings and runs a role until a signal. Log lines go
// to standard output and never block.
func runOnPlatform(path string, stdout io.Writer, role platform.Role) (err error) {
	reloads, stop := reloadSignals() // First, since a signal would end the process before.
	defer stop()
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	out := reporter.NewBoundedWriter(stdout)
	logCtx, endLog := context.WithCancel(context.Background())
	written := out.Start(logCtx)
	defer func() {
		endLog()
		err = errors.Join(err, <-written)
	}()
	logger, err := reporter.NewLogger(reporter.LogConfig{}, out)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	return role(ctx, platform.Process{
		Settings: settings,
		Logger:   logger,
		Reloads:  reloads,
		Load:     func() (platform.Settings, error) { return platform.LoadSettings(path) },
	})
}

// reloadSignals returns a channel that receives each SIGHUP, which would end the
// process otherwise.
func reloadSignals() (reloads <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
