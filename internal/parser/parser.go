// Package parser parses the command line of a program with subcommands.
package parser

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes that all programs share.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// A Program is a program with subcommands.
type Program struct {
	Name   string
	Stdout io.Writer
	Stderr io.Writer
}

// Subcommand parses arguments into dest, a pointer to a struct with a field for
// each subcommand, and returns the selected subcommand. If it returns nil, it
// has written help or a usage error and the program must exit with code.
func (p Program) Subcommand(arguments []string, dest any) (subcommand any, code int) {
	parser, err := arg.NewParser(arg.Config{Program: p.Name, Out: p.Stderr}, dest)
	if err != nil {
		fmt.Fprintln(p.Stderr, err)
		return nil, ExitUsage
	}

	err = parser.Parse(arguments)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(p.Stdout, parser.SubcommandNames()...)
		return nil, ExitOK
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(p.Stderr, parser.SubcommandNames()...)
		p.Report(err)
		return nil, ExitUsage
	}
	if subcommand = parser.Subcommand(); subcommand == nil {
		parser.WriteHelp(p.Stderr)
	}
	return subcommand, ExitUsage
}

// Report writes an error to Stderr.
func (p Program) Report(err error) {
	fmt.Fprintln(p.Stderr, "error:", err)
}
