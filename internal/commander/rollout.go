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

// statusPollInterval limits the status requests of one command.
const statusPollInterval = 250 * time.Millisecond

// A statusReader returns the revisions in force on the instances.
type statusReader interface {
	Status(ctx context.Context) (administrator.StatusAnswer, error)
}

// A rollout tracks the confirmation of a revision by all instances.
type rollout struct {
	status    statusReader
	revision  int64
	instances []administrator.Instance // From the latest answer.
	progress  *progress
}

// wait polls the status until every instance has confirmed the revision or the
// timeout expires. Failed requests are retried.
func (r *rollout) wait(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	defer r.progress.clear()
	for {
		r.progress.show("%d of %d instances have confirmed", r.confirmed(), len(r.instances))
		if r.complete() {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if answer, err := r.status.Status(ctx); err == nil {
			r.instances = answer.Instances
		}
	}
}

// report prints each instance and returns an error unless all have confirmed.
func (r *rollout) report(w io.Writer) error {
	if err := printInstances(w, r.instances, r.revision); err != nil {
		return err
	}
	if r.complete() {
		return nil
	}
	err := merry.Errorf("revision %d is accepted, but only %d of %d instances have confirmed it", r.revision, r.confirmed(), len(r.instances))
	return &exitError{code: exitUnconfirmed, err: err}
}

// complete reports whether all instances have confirmed. An empty list means
// that the instances are unknown.
func (r *rollout) complete() bool {
	return len(r.instances) > 0 && r.confirmed() == len(r.instances)
}

func (r *rollout) confirmed() (n int) {
	for _, instance := range r.instances {
		if instance.Revision >= r.revision {
			n++
		}
	}
	return n
}

// printInstances prints whether a revision is in force on each instance.
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
