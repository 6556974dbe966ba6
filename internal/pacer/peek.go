package pacer

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

// Peek returns what Wait returns, without any change of state.
func (p *Pacer) Peek(start throttler.Server, canWait, throughPeer bool) (wait time.Duration, limited bool) {
	if !p.active.Load() {
		return 0, false
	}
	sh := p.shard(start.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	known := sh.servers[start.ID]
	if known == nil {
		return 0, false
	}
	s, now := *known, p.cfg.Clock.Now()
	v := p.view.Load()
	l, cause := v.services[s.service], ""
	if l.strict && s.removedAt.IsZero() {
		cause = s.coldCause(l, p.cfg.Evacuations, now)
	}
	if s.ramp != nil {
		p.rank(&s, v)
		ramp := *s.ramp
		s.ramp = &ramp
	}
	if cause == "" && (s.ramp == nil || s.ramp.ended(s.rank, s.members, now)) {
		return 0, false
	}
	return p.waitOf(&s, l, cause, canWait, throughPeer, now), true
}
