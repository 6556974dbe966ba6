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
// to standard output without blocking the role.
func runOnPlatform(path string, stdout io.Writer, role platform.Role) (err error) {
	reloads, stop := reloadSignals() // First, since a SIGHUP ends the process until it is handled.
	defer stop()
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	out := reporter.NewBoundedWriter(stdout)
	logCtx, endLog := context.WithCancel(context.Background())
	drained := out.Start(logCtx)
	defer func() {
		endLog()
		err = errors.Join(err, <-drained)
	}()
	logger, err := reporter.NewLogger(reporter.LogConfig{}, out)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return role(ctx, platform.Process{
		Settings: settings,
		Logger:   logger,
		Reloads:  reloads,
		Load:     func() (platform.Settings, error) { return platform.LoadSettings(path) },
	})
}

// reloadSignals returns a channel that receives SIGHUPs, which would otherwise
// end the process.
func reloadSignals() (reloads <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}
