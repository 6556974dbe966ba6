package scheduler

import "time"

// FirstAccepted means that the job was accepted before all other candidates.
const FirstAccepted Reason = "first-came-first"

// A Candidate is the first job of a workspace in a lane.
type Candidate struct {
	Job      Job
	SortTime time.Time // As returned by Policy.SortTime.
	Usage    float64   // Decayed usage of the workspace in tokens.
}

// A Policy chooses the job that supplies the next chunk.
type Policy interface {
	// SortTime returns the time by which the jobs of a workspace are sorted.
	// itemTime is the average time per item at this entry.
	SortTime(j Job, itemTime time.Duration) time.Time
	// Choose returns the index of the candidate that runs next. There is at
	// least one candidate.
	Choose(now time.Time, candidates []Candidate) (i int, reason Reason)
}

// A FairPolicy shares the capacity of a lane by token usage. It prefers jobs
// that are about to miss their due time, up to an allowance for each workspace.
type FairPolicy struct {
	UrgentAllowance float64 // Tokens by which the usage of a workspace with urgent jobs may exceed that of the least served one.
}

// SortTime implements Policy. It is the latest time at which this entry alone
// could start the rest of the job and still meet the due time.
func (FairPolicy) SortTime(j Job, itemTime time.Duration) time.Time {
	return j.Due.Add(-time.Duration(j.Remaining) * itemTime)
}

// Choose implements Policy.
func (p FairPolicy) Choose(now time.Time, candidates []Candidate) (chosen int, reason Reason) {
	for i, c := range candidates {
		best := candidates[chosen]
		if c.Usage < best.Usage || c.Usage == best.Usage && c.Job.Workspace < best.Job.Workspace {
			chosen = i
		}
	}
	least := candidates[chosen].Usage
	reason = FairShare
	var earliest time.Time
	for i, c := range candidates {
		if c.SortTime.After(now) || c.Usage > least+p.UrgentAllowance {
			continue
		}
		if earliest.IsZero() || c.SortTime.Before(earliest) {
			chosen, earliest, reason = i, c.SortTime, DueSoon
		}
	}
	return chosen, reason
}

// A FIFOPolicy runs jobs in the order in which they were accepted. It is the
// baseline for measurements of FairPolicy.
type FIFOPolicy struct{}

// SortTime implements Policy.
func (FIFOPolicy) SortTime(j Job, _ time.Duration) time.Time {
	return j.AcceptedAt
}

// Choose implements Policy.
func (FIFOPolicy) Choose(_ time.Time, candidates []Candidate) (chosen int, reason Reason) {
	for i, c := range candidates {
		if c.SortTime.Before(candidates[chosen].SortTime) {
			chosen = i
		}
	}
	return chosen, FirstAccepted
}
