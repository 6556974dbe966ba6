// Package commander implements the subcommands of the quetzalhitch binary, each
// in its own file.
package commander

import (
	"errors"
	"io"

	"github.com/quetzalhitch/quetzalhitch/internal/parser"
)

// Exit codes of the binary in addition to those of package parser.
const (
	exitUnconfirmed = 3 // Accepted, but not confirmed by every instance in time.
	exitInDoubt     = 4 // It is unknown whether the change was accepted.

	exitIncomplete = 5 // A job ended without completing all its items.
)

// Args are the command line arguments of the binary.
type Args struct {
	Apply   *ApplyCmd   `arg:"subcommand:apply" help:"apply a release note"`
	Check   *CheckCmd   `arg:"subcommand:check" help:"report the faults of settings, declarations and release notes"`
	Dev     *DevCmd     `arg:"subcommand:dev" help:"run two entries and example backend servers in this process"`
	Entry   *EntryCmd   `arg:"subcommand:entry" help:"run an entry instance"`
	Explain *ExplainCmd `arg:"subcommand:explain" help:"show what happened to a request according to the logs of the instances, or where it would go now"`
	Job     *JobCmd     `arg:"subcommand:job" help:"submit, watch and cancel batch jobs"`
	Key     *KeyCmd     `arg:"subcommand:key" help:"grant and withdraw keys of workspaces"`
	Serve   *ServeCmd   `arg:"subcommand:serve" help:"run an instance on the platform"`
	Status  *StatusCmd  `arg:"subcommand:status" help:"show the configuration in force and which instances have confirmed it"`
	Storage *StorageCmd `arg:"subcommand:storage" help:"run the storage role on the platform, on a host with a disk"`
	Version *VersionCmd `arg:"subcommand:version" help:"print the version"`
}

// Description is shown at the top of the help text.
func (Args) Description() string {
	return "quetzalhitch serves online and batch inference on one fleet."
}

// A runnable is a subcommand with its parsed arguments.
type runnable interface {
	run(stdout, stderr io.Writer) error
}

// An exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Main parses args, runs the chosen subcommand and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed Args
	program := parser.Program{Name: "quetzalhitch", Stdout: stdout, Stderr: stderr}
	chosen, code := program.Subcommand(args, &parsed)
	cmd, ok := chosen.(runnable)
	if !ok {
		return code
	}
	if err := cmd.run(stdout, stderr); err != nil {
		program.Report(err)
		return exitCode(err)
	}
	return parser.ExitOK
}

func exitCode(err error) int {
	var withCode *exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return parser.ExitFailure
}
