package commander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
)

// statusInterval spaces the questions of one operator out.
const statusInterval = 250 * time.Millisecond

// A statusReader tells where a configuration is in force.
type statusReader interface {
	Status(ctx context.Context) (administrator.StatusAnswer, error)
}

// A confirmation follows a revision into force on every instance.
type confirmation struct {
	status    statusReader
	revision  int64
	instances []administrator.Instance // As last heard of.
	progress  *progress
}

// wait asks until every instance has confirmed the revision, for a bounded
// time. A failed question is asked again.
func (c *confirmation) wait(ctx context.Context, bound time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	defer c.progress.clear()
	for {
		c.progress.show("%d of %d instances have confirmed", c.confirmed(), len(c.instances))
		if c.complete() {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if answer, err := c.status.Status(ctx); err == nil {
			c.instances = answer.Instances
		}
	}
}

// print prints each instance and fails unless all have confirmed.
func (c *confirmation) print(w io.Writer) error {
	if err := printInstances(w, c.instances, c.revision); err != nil {
		return err
	}
	if c.complete() {
		return nil
	}
	err := merry.Errorf("revision %d is accepted, but only %d of %d instances have confirmed it", c.revision, c.confirmed(), len(c.instances))
	return &exitError{code: exitPending, err: err}
}

// complete reports whether all instances have confirmed. Without instances
// nothing is known.
func (c *confirmation) complete() bool {
	return len(c.instances) > 0 && c.confirmed() == len(c.instances)
}

func (c *confirmation) confirmed() (n int) {
	for _, instance := range c.instances {
		if instance.Revision >= c.revision {
			n++
		}
	}
	return n
}

// printInstances prints where a revision is in force.
func printInstances(w io.Writer, instances []administrator.Instance, revision int64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tFAILURE DOMAIN\tCONFIRMED\tSTATE")
	for _, instance := range instances {
		state := "not yet"
		if instance.Revision >= revision {
			state = "in force"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", instance.ID, instance.FailureDomain, instance.Revision, state)
	}
	return merry.Wrap(table.Flush())
}
