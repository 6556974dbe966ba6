package jobkeeper

import "github.com/quetzalhitch/quetzalhitch/internal/balancer"

// afterMalformed handles an answer that cannot be one to the item. The server counts as
// faulty unless servers other than this one have answered items of the job in the same way:
// then the job is the likely cause, which must not take sound servers from others. The
// runs of the item become rarer.
func (t *task) afterMalformed(server, cause string) (outcome, balancer.Outcome) {
	o := outcome{retryDelay: backoff(t.recordMalformed() - 1), cause: cause}
	if t.job.isOnlyMalformedAt(server) {
		return o, balancer.OutcomeLost
	}
	return o, balancer.OutcomeCancelled
}

// recordMalformed counts a malformed answer and returns their number.
func (t *task) recordMalformed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.malformed++
	return t.malformed
}

// isOnlyMalformedAt records a malformed answer of a server, and reports whether all such
// answers to items of the job were of this server.
func (j *job) isOnlyMalformedAt(server string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.malformedAt == nil {
		j.malformedAt = map[string]bool{}
	}
	j.malformedAt[server] = true
	return len(j.malformedAt) == 1
}
