package balancer

import "slices"

// Replace cuts batch work short for other batch work, which gets its slot. The reserve for
// online requests does not change, so it is not asked for. It returns ErrFull if the work
// does not run any more, or its server may not get new work now.
func (b *Balancer) Replace(old *Placement, q Query) (*Placement, error) {
	p := old.pool
	now := b.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := old.server
	i := slices.Index(s.batch, old)
	pause := p.queue.waiting || now.Sub(p.onlineRefusedAt) < batchPause
	if i < 0 || pause || p.servers[s.ID] != s || old.ThroughPeer || p.reach.cutOff || s.load()-s.preemptedRunning > s.Slots {
		return nil, ErrFull
	}
	paceWait, _ := s.paceWait(q, b.cfg.Pacer)
	if !s.eligible(q) || s.health.suspected(now) || max(s.limitWait(q, b.cfg.Throttle), paceWait) > 0 {
		return nil, ErrFull
	}
	placement := &Placement{
		Backend: s.Backend, Load: s.load() - 1, class: Batch, work: q.Work, pool: p, server: s, cfg: b.cfg,
		startedAt: now, wakeProber: b.wakeProber, preempted: make(chan struct{}),
	}
	s.health.startAttempt(now)
	if b.cfg.Throttle != nil {
		b.cfg.Throttle.Take(s.Start())
	}
	if b.cfg.Pacer != nil {
		b.cfg.Pacer.Take(s.Start())
	}
	s.local.Batch++
	s.preemptedRunning++
	old.wasPreempted, old.wasReplaced = true, true
	s.batch[i] = placement
	old.signalPreemption()
	return placement, nil
}

// WasReplaced reports whether the work was preempted for other batch work.
func (p *Placement) WasReplaced() bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.wasReplaced
}
