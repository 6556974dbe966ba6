package jobkeeper

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
)

// afterMalformed handles an answer that cannot be one to the item. The server counts as
// faulty unless servers other than this one have answered items of the job in the same way:
// then the job is the likely cause, which must not take sound servers from others. The
// runs of the item become rarer.
func (t *task) afterMalformed(server, cause string) (outcome, balancer.Outcome) {
	o := outcome{retryDelay: backoff(t.recordMalformed() - 1), cause: cause}
	if only := t.job.recordMalformedAt(server); only {
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

// recordMalformedAt records a malformed answer of a server, and reports whether all such
// answers to items of the job were of this server.
func (j *job) recordMalformedAt(server string) (only bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.malformedAt == nil {
		j.malformedAt = map[string]bool{}
	}
	j.malformedAt[server] = true
	return len(j.malformedAt) == 1
}

// afterOversized handles an answer that is larger than its item allows. The item begins
// again.
func (k *Keeper) afterOversized(t *task, server string) (outcome, balancer.Outcome) {
	k.log(t.job.manifest.Job).WithFields(logrus.Fields{"item": t.item.ID, reporter.FieldBackendServer: server, "dropped-events": t.discard()}).
		Warn("item begins again: the answer is larger than the item allows")
	o, placement := t.afterMalformed(server, "oversized")
	if placement == balancer.OutcomeLost {
		k.endless.record(server, k.now())
	}
	return o, placement
}

// recordCut records that the answer of a server was cut.
func (t *task) recordCut(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutAt == nil {
		t.cutAt = map[string]time.Time{}
	}
	t.cutAt[server] = now
}

// endlessAnswerPeriod is the time around an answer without end in which other answers of
// its server that were cut may have had no end either. It covers the longest run of an item.
const endlessAnswerPeriod = itemRunTimeout

// An endlessAnswerSet holds the servers that gave an answer without end, each with the time
// of the last one.
type endlessAnswerSet struct {
	mu sync.Mutex
	at map[string]time.Time // By server.
}

func (s *endlessAnswerSet) record(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]time.Time{}
	}
	for other, at := range s.at {
		if now.Sub(at) > 2*endlessAnswerPeriod { // No unfinished run is that old.
			delete(s.at, other)
		}
	}
	s.at[server] = now
}

// includes reports whether a server gave an answer without end within endlessAnswerPeriod
// of the time at which another of its answers was cut.
func (s *endlessAnswerSet) includes(cutAt map[string]time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, cut := range cutAt {
		if at, ok := s.at[server]; ok && at.Sub(cut).Abs() <= endlessAnswerPeriod {
			return true
		}
	}
	return false
}

// discardDoubtfulText drops the text of an item if a part of it comes from a cut answer of
// a server that gave answers without end around that time: any of its events may be false.
// A whole answer is not in doubt. It reports whether text was dropped.
func (k *Keeper) discardDoubtfulText(t *task) bool {
	t.mu.Lock()
	doubtful := k.endless.includes(t.cutAt)
	dropped := 0
	if doubtful {
		dropped = t.discardLocked()
	}
	t.mu.Unlock()
	if doubtful {
		k.log(t.job.manifest.Job).WithFields(logrus.Fields{"item": t.item.ID, "dropped-events": dropped}).
			Warn("item begins again: a server whose answer to it was cut gives answers without end")
	}
	return doubtful
}

// afterEnd handles the end of an answer that a server has sent in full. The item begins
// again if its text may hold events that belong to no answer. One sign is a run that was
// asked to go on after the last event and had none left: the events before may have been
// more than those of the answer.
func (k *Keeper) afterEnd(t *task, eventsBefore int) outcome {
	again := outcome{retryDelay: itemRetryDelay, cause: "doubtful-text"}
	if k.discardDoubtfulText(t) {
		return again
	}
	if eventsBefore > 0 && t.progress().Events == eventsBefore {
		k.log(t.job.manifest.Job).WithFields(logrus.Fields{"item": t.item.ID, "dropped-events": t.discard()}).
			Info("item begins again: no event was left after those of an answer that was cut")
		return again
	}
	return outcome{state: StateCompleted}
}
