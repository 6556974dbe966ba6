package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/runner"
)

// exitSecondSignal is the exit code after a second signal, which aborts requests
// in flight.
const exitSecondSignal = 130

// An EntryCmd runs an entry instance.
type EntryCmd struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of the instance (TOML)"`
}

func (c *EntryCmd) run(stdout, stderr io.Writer) (err error) {
	settings, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	logger, err := reporter.NewLogger(reporter.LogConfig{
		Format: reporter.LogFormat(settings.Log.Format),
		Level:  settings.Log.Level,
	}, stderr)
	if err != nil {
		return err
	}
	entry, err := runner.New(settings, runner.Options{
		Clock:  clockwork.NewRealClock(),
		Logger: logger,
		Output: stdout,
	})
	if err != nil {
		return err
	}

	limitMemory(settings.MemoryMB)
	ctx, cancel := signalContext()
	defer cancel()
	return entry.Run(ctx)
}

// memoryLimitRatio is the part of the memory of the machine that is Go's soft memory limit,
// above which the garbage collector runs more often.
const memoryLimitRatio = 0.7

// limitMemory sets the soft memory limit, unless the environment does.
func limitMemory(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryLimitRatio * (1 << 20)))
	}
}

// signalContext returns a context that is cancelled by the first SIGINT or
// SIGTERM. A second signal ends the process at once.
func signalContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitSecondSignal)
	}()
	return ctx, cancel
}
