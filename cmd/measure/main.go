// Command measure starts a deployment of emulators and entries on the local
// host, sends it the load of a scenario and reports the measurements.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/quetzalhitch/quetzalhitch/internal/parser"
)

// args holds the command-line arguments, with one field per subcommand.
type args struct {
	Compare *compareCmd `arg:"subcommand:compare" help:"compare a result with batch work and one without"`
	List    *listCmd    `arg:"subcommand:list"    help:"list scenarios and baselines"`
	Run     *runCmd     `arg:"subcommand:run"     help:"run a scenario"`
	Slopes  *slopesCmd  `arg:"subcommand:slopes"  help:"measure how control-plane overhead grows with deployment size"`
}

// A runnable is a subcommand with its parsed arguments.
type runnable interface {
	run(ctx context.Context, stdout io.Writer) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses arguments, runs the chosen subcommand and returns the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var parsed args
	program := parser.Program{Name: "measure", Stdout: stdout, Stderr: stderr}
	chosen, code := program.Subcommand(arguments, &parsed)
	cmd, ok := chosen.(runnable)
	if !ok {
		return code
	}
	if err := cmd.run(ctx, stdout); err != nil {
		program.Report(err)
		return parser.ExitFailure
	}
	return parser.ExitOK
}
