package commander

import (
	"context"
	"fmt"
	"io"
)

// A StatusCmd shows the configuration in force and the instances.
type StatusCmd struct {
	OperatorFlags
}

func (cmd *StatusCmd) run(stdout, _ io.Writer) (err error) {
	client, err := cmd.client()
	if err != nil {
		return err
	}
	answer, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	if answer.Revision == 0 {
		fmt.Fprintln(stdout, "no configuration is in force")
	} else {
		fmt.Fprintf(stdout, "revision %d, apply %s: %s\n", answer.Revision, answer.ApplyID, answer.Title)
	}
	return printInstances(stdout, answer.Instances, answer.Revision)
}
