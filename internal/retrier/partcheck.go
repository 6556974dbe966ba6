package retrier

import "context"

// PartStates tells the states of parts. *Parts implements it.
type PartStates interface {
	// State returns the state of the first of the parts that is not sound, and that
	// part.
	State(parts []PartDigest) (PartState, PartDigest)
}

// Trials decides which request may try whether a quarantined part still crashes
// servers.
type Trials interface {
	// Begin reports whether this is the only request of the fleet that may try the
	// part now.
	Begin(ctx context.Context, part PartDigest) bool
}

// A PartCheck decides for one request whether the parts of its prompt allow another
// attempt. One goroutine uses it.
type PartCheck struct {
	States PartStates
	Trials Trials
	Parts  []PartDigest

	onTrial bool // This request alone may try a quarantined part.
}

// Allowed reports whether the request may be sent to a server after a number of
// attempts that may have run it. If it returns false, or for a trial, it also returns
// the quarantined part. A trial makes one attempt.
func (c *PartCheck) Allowed(ctx context.Context, attempts int) (allowed bool, part PartDigest) {
	if len(c.Parts) == 0 || c.onTrial && attempts == 0 {
		return true, PartDigest{}
	}
	state, part := c.States.State(c.Parts)
	if state == PartSound {
		return true, PartDigest{}
	}
	c.onTrial = state == PartOnTrial && attempts == 0 && c.Trials.Begin(ctx, part)
	return c.onTrial, part
}
