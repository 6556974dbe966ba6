package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A WaitFlag bounds the wait for the instances. A revision must be in force on
// all of them within 18 s.
type WaitFlag struct {
	Wait time.Duration `arg:"--wait" default:"18s" help:"how long to wait until every instance has confirmed the revision"`
}

// An ApplyCmd applies a release note.
type ApplyCmd struct {
	OperatorFlags
	WaitFlag
	File   string `arg:"positional,required" placeholder:"FILE" help:"release note"`
	DryRun bool   `arg:"--dry-run" help:"only show what would change"`
}

func (cmd *ApplyCmd) run(stdout, stderr io.Writer) (err error) {
	note, err := os.ReadFile(cmd.File)
	if err != nil {
		return merry.Wrap(err)
	}
	if _, faults := declarer.ParseReleaseNote(cmd.File, note); len(faults) > 0 {
		return printFaults(stdout, faults)
	}
	client, err := cmd.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	answer, err := client.Apply(ctx, cmd.File, note, cmd.DryRun)
	if err != nil {
		return reportError(stdout, err)
	}
	if answer.DryRun {
		fmt.Fprintf(stdout, "revision %d would have %d changes\n", answer.Revision, len(answer.Changes))
		printChanges(stdout, answer.Changes)
		return nil
	}
	fmt.Fprintf(stdout, "revision %d accepted, apply %s\n", answer.Revision, answer.ApplyID)
	printChanges(stdout, answer.Changes)
	return cmd.waitForRollout(ctx, client, answer, stdout, stderr)
}

// waitForRollout waits until every instance has a revision in force and prints
// the instances.
func (f WaitFlag) waitForRollout(ctx context.Context, client *administrator.Client, answer administrator.ApplyAnswer, stdout, stderr io.Writer) error {
	r := &rollout{
		status:    client,
		revision:  answer.Revision,
		instances: answer.Instances,
		progress:  newProgress(stderr),
	}
	r.wait(ctx, f.Wait)
	return r.report(stdout)
}

func printChanges(w io.Writer, changes []declarer.Change) {
	for _, change := range changes {
		if change.Name == "" {
			fmt.Fprintf(w, "  %s %s\n", change.Kind, change.Object)
			continue
		}
		fmt.Fprintf(w, "  %s %s %s\n", change.Kind, change.Object, change.Name)
	}
}
