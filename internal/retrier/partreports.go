package retrier

import "time"

// Report returns the parts with news and, from time to time, those that are quarantined
// or on trial.
func (p *Parts) Report() []PartReport {
	return p.reports(func(rec *partRecord, now time.Time) bool {
		repeated := now.Sub(rec.changedAt)%quarantineReportPeriod < quarantineReportTime
		return rec.hasNews(now) || repeated && len(rec.counted()) >= crashesToSuspectPart && rec.quarantined(now)
	})
}

// News returns the parts of which something became known within partReportTime.
func (p *Parts) News() []PartReport { return p.reports((*partRecord).hasNews) }

func (rec *partRecord) hasNews(now time.Time) bool { return now.Sub(rec.changedAt) < partReportTime }

func (p *Parts) reports(included func(rec *partRecord, now time.Time) bool) (reports []PartReport) {
	now := p.cfg.Clock.Now()
	for _, d := range p.suspects() {
		p.update(d, now, false, func(rec *partRecord) {
			if included(rec, now) {
				reports = append(reports, rec.report(d, now))
			}
		})
	}
	return reports[:min(len(reports), maxReportedParts)]
}

// suspects returns the parts that are or were under suspicion.
func (p *Parts) suspects() (parts []PartDigest) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for d := range s.records {
			parts = append(parts, d)
		}
		s.mu.Unlock()
	}
	return parts
}

func (rec *partRecord) report(d PartDigest, now time.Time) PartReport {
	r := PartReport{Part: d, AnsweredAge: -1}
	if !rec.answeredAt.IsZero() {
		r.AnsweredAge = now.Sub(rec.answeredAt)
	}
	for _, c := range rec.crashes {
		if c.at.After(rec.answeredAt) {
			r.Crashes = append(r.Crashes, PartCrash{Server: c.server, Request: c.request, Age: now.Sub(c.at)})
		}
	}
	return r
}

// ApplyReports applies the reports of a peer. What is new in them is
// reported further, so that it reaches peers that have no link to the first one.
func (p *Parts) ApplyReports(reports []PartReport) {
	now := p.cfg.Clock.Now()
	for _, r := range reports[:min(len(reports), maxReportedParts)] {
		p.update(r.Part, now, len(r.Crashes) > 0, func(rec *partRecord) { rec.apply(r, now) })
	}
}

func (rec *partRecord) apply(r PartReport, now time.Time) {
	if r.AnsweredAge >= 0 {
		rec.recordAnswer(now.Add(-r.AnsweredAge), now)
	}
	for _, c := range r.Crashes[:min(len(r.Crashes), maxPartCrashes)] {
		at := now.Add(-max(c.Age, 0))
		if rec.addCrash(partCrash{server: c.Server, request: c.Request, at: at}) || !at.After(rec.answeredAt) {
			rec.changedAt = now // Also if the peer does not know of the answer.
		}
	}
}

// A StoredPart is a quarantine in the store.
type StoredPart struct {
	Part    PartDigest
	Crashes int // Crashes and trials so far; at least crashesToSuspectPart.
}

// ApplyStored applies all quarantines in the store. A quarantine that has changed
// starts again at this time, as the clocks of instances differ.
func (p *Parts) ApplyStored(stored []StoredPart) {
	now := p.cfg.Clock.Now()
	listed := make(map[PartDigest]int, len(stored))
	for _, q := range stored {
		listed[q.Part] = max(q.Crashes, crashesToSuspectPart)
		p.update(q.Part, now, true, func(rec *partRecord) {
			if rec.storedAt.IsZero() || rec.stored != listed[q.Part] {
				rec.stored, rec.storedAt = listed[q.Part], now
			}
		})
	}
	for _, d := range p.suspects() {
		if _, ok := listed[d]; !ok {
			p.update(d, now, false, func(rec *partRecord) { rec.stored, rec.storedAt = 0, time.Time{} })
		}
	}
}

// Unstored returns the quarantines that this instance has to store, since it counted
// the crash that led to them, and those that it has to remove from the store because
// the part was answered.
func (p *Parts) Unstored() (store []StoredPart, remove []PartDigest) {
	now := p.cfg.Clock.Now()
	for _, d := range p.suspects() {
		p.update(d, now, false, func(rec *partRecord) {
			n := len(rec.counted())
			switch {
			case !rec.storedAt.IsZero() && !rec.storedAt.After(rec.answeredAt):
				remove = append(remove, d)
			case rec.claimed && n >= crashesToSuspectPart && n > rec.stored:
				store = append(store, StoredPart{Part: d, Crashes: n})
			}
		})
	}
	return store, remove
}

// StartTrial begins a trial of a part that is due for one. Until the next trial is due,
// this instance lets no other request with the part run. The trial may only run if the
// quarantine that StartTrial returns replaces the one before in the store, so that no
// other instance begins it as well.
func (p *Parts) StartTrial(d PartDigest) (q StoredPart, ok bool) {
	now := p.cfg.Clock.Now()
	p.update(d, now, false, func(rec *partRecord) {
		if ok = rec.state(now) == PartOnTrial; ok {
			rec.stored, rec.storedAt = max(rec.stored, len(rec.counted()))+1, now
			q = StoredPart{Part: d, Crashes: rec.stored}
		}
	})
	return q, ok
}
