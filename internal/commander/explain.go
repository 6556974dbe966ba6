package commander

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/explainer"
)

// An ExplainCmd tells what happened to a request, from the logs of the instances.
type ExplainCmd struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"attempt ID of a request, or ID of a job or item"`
	Files []string `arg:"positional" placeholder:"FILE" help:"log files, one for each instance [default: standard input]"`
}

func (cmd *ExplainCmd) run(stdout, stderr io.Writer) (err error) {
	var e explainer.Explainer
	if err := cmd.read(&e); err != nil {
		return err
	}
	story := e.Timeline(cmd.ID)
	if len(story) == 0 {
		return merry.Errorf("no log line names %q", cmd.ID)
	}
	if n := e.SkippedLines(); n > 0 {
		fmt.Fprintf(stderr, "%d lines are no log lines and were left out\n", n)
	}
	return explainer.Write(stdout, story)
}

func (cmd *ExplainCmd) read(e *explainer.Explainer) error {
	if len(cmd.Files) == 0 {
		return e.Read("", os.Stdin)
	}
	for _, file := range cmd.Files {
		if err := readFile(e, file); err != nil {
			return err
		}
	}
	return nil
}

// readFile reads the log of one instance, which its file is named after.
func readFile(e *explainer.Explainer, file string) (err error) {
	f, err := os.Open(file)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return e.Read(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), f)
}
