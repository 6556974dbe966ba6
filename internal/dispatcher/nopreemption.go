package dispatcher

// NoPreemption is a Preemptor that never cancels batch items. It is a baseline
// for measurements.
type NoPreemption struct{}

// Preempt implements Preemptor. It reports none as missing, so that peers are
// not asked to preempt either.
func (NoPreemption) Preempt(string, int) (ended, missing int) { return 0, 0 }

// PreemptAtLeastOne implements Preemptor.
func (NoPreemption) PreemptAtLeastOne(string, int) (ended int) { return 0 }
