// Command measure starts a deployment of stand-ins and entries on this
// machine, sends it the load of a scenario and reports the measures.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// args are the command line arguments, a subcommand for each task.
type args struct {
	Compare *compareCmd `arg:"subcommand:compare" help:"compare a result with batch work and one without"`
	List    *listCmd    `arg:"subcommand:list"    help:"list scenarios and baselines"`
	Run     *runCmd     `arg:"subcommand:run"     help:"run a scenario"`
	Slopes  *slopesCmd  `arg:"subcommand:slopes"  help:"measure how the cost of control grows with the size"`
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
	parser, err := arg.NewParser(arg.Config{Program: "measure", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}

	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}

	cmd, ok := parser.Subcommand().(runnable)
	if !ok {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	if err := cmd.run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitFailure
	}
	return exitOK
}
