// Command emulator runs one stand-in for the surroundings of the system: the
// platform, a model engine or a plain service. Tests and measurements start
// it as a process.
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

// args are the command line arguments, a subcommand for each stand-in.
type args struct {
	Engine   *engineCmd   `arg:"subcommand:engine"   help:"run a model engine"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run the platform"`
	Service  *serviceCmd  `arg:"subcommand:service"  help:"run a plain service"`
}

// A server is a stand-in that listens on an address.
type server interface {
	// Start listens and returns at once. The channel receives the end exactly
	// once, after ctx has ended or the server has failed.
	Start(ctx context.Context) (address string, done <-chan error, err error)
}

// A controlled server has a second address for tests that set its faults.
type controlled interface {
	ControlAddress() string // Set once the server has started.
}

// A stand is a subcommand with its parsed arguments.
type stand interface {
	server() server
}

// A report is the line on stdout that tells whoever started the process where
// it listens.
type report struct {
	Listening listening `json:"listening"`
}

// listening holds the addresses of a process.
type listening struct {
	HTTP    string `json:"http"`
	Control string `json:"control,omitempty"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses arguments, runs the chosen stand-in until ctx ends and returns
// the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var parsed args
	program := parser.Program{Name: "emulator", Stdout: stdout, Stderr: stderr}
	chosen, code := program.Subcommand(arguments, &parsed)
	cmd, ok := chosen.(stand)
	if !ok {
		return code
	}
	if err := serve(ctx, cmd, stdout); err != nil {
		program.Report(err)
		return parser.ExitFailure
	}
	return parser.ExitOK
}

// serve starts the stand-in, reports its address and waits for its end.
func serve(ctx context.Context, cmd stand, stdout io.Writer) (err error) {
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
	line := report{Listening: listening{HTTP: address}}
	if c, ok := s.(controlled); ok {
		line.Listening.Control = c.ControlAddress()
	}
	if err := json.NewEncoder(stdout).Encode(line); err != nil {
		return err
	}
	return <-done
}
