package apportioner

// Peek returns what Admit would decide, without any change of state. limited is false for
// a workspace without a contract or with an unlimited one.
func (a *Apportioner) Peek(workspace string) (d Decision, limited bool) {
	now := a.clock.Now()
	reach := a.reachability(now)
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.buckets[workspace]
	if !ok || known.contract.Rate <= 0 {
		return Decision{Admitted: true}, false
	}
	b := *known // Its map is only read.
	return b.admit(reach, now), true
}
