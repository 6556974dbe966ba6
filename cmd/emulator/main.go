// Command emulator runs an emulator of one external system: the platform, a
// model engine or a plain service. Tests and measurements start it as a process.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/parser"
)

// args are the command line arguments, with a subcommand for each emulator.
type args struct {
	Engine   *engineCmd   `arg:"subcommand:engine"   help:"run a model engine"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run the platform"`
	Service  *serviceCmd  `arg:"subcommand:service"  help:"run a plain service"`
}

// A server is an emulator that listens on an address.
type server interface {
	// Start starts to listen and returns immediately. The channel receives the
	// result exactly once, after ctx has ended or the server has failed.
	Start(ctx context.Context) (address string, done <-chan error, err error)
}

// A controlledServer has a second address, on which tests set its faults.
type controlledServer interface {
	ControlAddress() string // Valid after Start.
}

// A subcommand holds the parsed arguments for one emulator.
type subcommand interface {
	server() server
}

// A startupReport is the JSON line on stdout that reports the addresses of the
// process.
type startupReport struct {
	Listening addresses `json:"listening"`
}

// addresses holds the addresses that the process listens on.
type addresses struct {
	HTTP    string `json:"http"`
	Control string `json:"control,omitempty"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses arguments, runs the selected emulator until ctx ends and returns
// the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var parsed args
	program := parser.Program{Name: "emulator", Stdout: stdout, Stderr: stderr}
	selected, code := program.Subcommand(arguments, &parsed)
	cmd, ok := selected.(subcommand)
	if !ok {
		return code
	}
	if err := serve(ctx, cmd, stdout); err != nil {
		program.Report(err)
		return parser.ExitFailure
	}
	return parser.ExitOK
}

// serve starts the emulator, reports its addresses and waits until it ends.
func serve(ctx context.Context, cmd subcommand, stdout io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "serve")
		}
	}()

	s := cmd.server()
	address, done, err := s.Start(ctx)
	if err != nil {
		return err
	}
	line := startupReport{Listening: addresses{HTTP: address}}
	if c, ok := s.(controlledServer); ok {
		line.Listening.Control = c.ControlAddress()
	}
	if err := json.NewEncoder(stdout).Encode(line); err != nil {
		return err
	}
	return <-done
}
