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

// An ExplainCmd shows what happened to a request according to the logs of the
// instances, or where a request would go now according to a running instance.
type ExplainCmd struct {
	PreviewFlags
	ID    string   `arg:"positional" placeholder:"ID" help:"attempt ID of a request, or ID of a job or item"`
	Files []string `arg:"positional" placeholder:"FILE" help:"log files, one for each instance [default: standard input]"`
}

func (cmd *ExplainCmd) run(stdout, stderr io.Writer) (err error) {
	switch {
	case cmd.Instance != "" && cmd.ID != "":
		return merry.New("--instance explains a request that is not sent; it takes no ID")
	case cmd.Instance != "":
		return cmd.PreviewFlags.run(stdout)
	case cmd.ID == "":
		return merry.New("ID is required, or --instance")
	}
	var e explainer.Explainer
	if err := cmd.read(&e); err != nil {
		return err
	}
	lines := e.Timeline(cmd.ID)
	if len(lines) == 0 {
		return merry.Errorf("no log line mentions %q", cmd.ID)
	}
	if n := e.SkippedLines(); n > 0 {
		fmt.Fprintf(stderr, "skipped %d lines that are not log lines\n", n)
	}
	return explainer.Write(stdout, lines)
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

// readFile reads the log of one instance. The file name without its extension is
// the name of the instance.
func readFile(e *explainer.Explainer, file string) (err error) {
	f, err := os.Open(file)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return e.Read(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), f)
}
