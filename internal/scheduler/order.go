package scheduler

import "time"

// FirstCameFirst means that the job was accepted before all others.
const FirstCameFirst Reason = "first-came-first"

// A Candidate is the first job of a workspace in a lane.
type Candidate struct {
	Job      Job
	Position time.Time // As the order computed it.
	Served   float64   // Decayed work done of the workspace in tokens.
}

// An Order says which job gives the next chunk.
type Order interface {
	// Position is the time by which the jobs of a workspace are sorted. The
	// pace is the time per item at this entry.
	Position(j Job, pace time.Duration) time.Time
	// Choose returns the index of the candidate that comes next. There is at
	// least one.
	Choose(now time.Time, candidates []Candidate) (i int, reason Reason)
}

// A FairOrder shares the capacity of a lane by work done and prefers jobs that
// are about to be late within an allowance.
type FairOrder struct {
	UrgentAllowance float64 // Tokens by which a workspace with urgent jobs may run ahead of the least served.
}

// Position implements Order. It is the latest time at which this entry alone
// could start the rest of the job and end it in time.
func (FairOrder) Position(j Job, pace time.Duration) time.Time {
	return j.Due.Add(-time.Duration(j.Remaining) * pace)
}

// Choose implements Order.
func (o FairOrder) Choose(now time.Time, candidates []Candidate) (chosen int, reason Reason) {
	for i, c := range candidates {
		best := candidates[chosen]
		if c.Served < best.Served || c.Served == best.Served && c.Job.Workspace < best.Job.Workspace {
			chosen = i
		}
	}
	least := candidates[chosen].Served
	reason = FairShare
	var first time.Time
	for i, c := range candidates {
		if c.Position.After(now) || c.Served > least+o.UrgentAllowance {
			continue
		}
		if first.IsZero() || c.Position.Before(first) {
			chosen, first, reason = i, c.Position, DueSoon
		}
	}
	return chosen, reason
}

// A FirstComeOrder takes jobs in the order in which they were accepted. It
// exists to be measured against.
type FirstComeOrder struct{}

// Position implements Order.
func (FirstComeOrder) Position(j Job, _ time.Duration) time.Time {
	return j.AcceptedAt
}

// Choose implements Order.
func (FirstComeOrder) Choose(_ time.Time, candidates []Candidate) (chosen int, reason Reason) {
	for i, c := range candidates {
		if c.Position.Before(candidates[chosen].Position) {
			chosen = i
		}
	}
	return chosen, FirstCameFirst
}
