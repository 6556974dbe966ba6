package balancer

import (
	"errors"
	"time"
)

// lossObservation is how long a server that stays listed after a lost connection is
// observed before the loss counts as survived. The platform removes the entry of a
// server that is silent for three heartbeats of about a second.
const lossObservation = 6 * time.Second

// crashNotice is the time after a lost connection within which a crash that caused it
// is found by the first refused probe.
const crashNotice = time.Second

// A LossVerdict says what became of a server after a connection to it was lost.
type LossVerdict int

// The verdicts on losses.
const (
	LossOpen     LossVerdict = iota // Not known yet.
	LossSurvived                    // The server runs on, so the work did not crash it.
	LossFatal                       // The server is gone, or has started again.
)

// recordProbe records the result of a probe, and reports whether it shows that the
// server has crashed: nothing listens at its address, which two probes have found. One
// may be refused because the server has too many connections.
func (s *server) recordProbe(err error, startedAt, now time.Time) (crashed bool) {
	s.health.recordProbe(err == nil, now)
	switch {
	case err == nil:
		s.soundAt = latest(s.soundAt, startedAt)
		s.refusedAt = time.Time{}
	case !errors.Is(err, ErrRefused):
	case s.refusedAt.IsZero():
		s.refusedAt = startedAt
	case s.crashedAt.Before(s.refusedAt):
		s.crashedAt = s.refusedAt
		return true
	}
	return false
}

// JudgeLoss tells what became of a server after a connection to it was lost at the
// given time.
func (b *Balancer) JudgeLoss(server string, at time.Time) LossVerdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := b.cfg.Clock.Now()
	for _, p := range b.pools {
		if verdict, listed := p.judgeLoss(server, at, now, b.cfg.Peers); listed {
			return verdict
		}
	}
	return LossFatal
}

// Survived reports whether a server runs on after a connection to it was lost.
func (b *Balancer) Survived(server string, at time.Time) bool {
	return b.JudgeLoss(server, at) == LossSurvived
}

func (p *pool) judgeLoss(id string, at, now time.Time, peers Peers) (verdict LossVerdict, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, listed := p.servers[id]
	if !listed {
		return LossFatal, false
	}
	crashed := !s.crashedAt.Before(at) && s.crashedAt.Sub(at) < crashNotice && !p.onlyCutOffHere(s.Service, peers)
	switch {
	case s.installedAt.After(at), crashed:
		return LossFatal, true
	case s.soundAt.After(at), now.Sub(at) >= lossObservation:
		return LossSurvived, true
	}
	return LossOpen, true
}

// Crashed reports whether a server has crashed since a connection to it was lost.
func (b *Balancer) Crashed(server string, at time.Time) bool {
	return b.JudgeLoss(server, at) == LossFatal
}
