package apportioner

import (
	"math"
	"time"
)

// An account is the bucket of one workspace as this instance knows it.
type account struct {
	contract Contract
	group    float64   // Part of the contract that the level is measured against.
	level    float64   // Tokens left to the group; negative after admissions that were learned late.
	own      float64   // Tokens of the level that this instance may use before it hears of the others again.
	admitted uint64    // By this instance since it started.
	askedAt  time.Time // Of the last request.

	grantedAt time.Time // Of the last grant.
	demand    float64   // Requests per second, decaying.
	shared    float64   // Demand when a peer was heard last. Shares follow it, so that a cut leaves them as they are.
	updated   time.Time
	peers     map[string]peerUsage // By instance ID.
	informed  bool                 // A peer has told its level.
}

// A peerUsage is the last report of a peer.
type peerUsage struct {
	admitted uint64
	demand   float64
	at       time.Time
	joined   int // How often the peer had been heard after a silence.
}

func newAccount(c Contract, st standing, now time.Time, empty bool) *account {
	a := &account{contract: c, group: st.group, level: c.startLevel() * st.group, updated: now, peers: map[string]peerUsage{}}
	if empty {
		a.level = 0
	}
	a.own = a.level * a.share(st, now)
	return a
}

// startLevel is the number of tokens that all instances together assume to be
// left when they start anew.
func (c Contract) startLevel() float64 {
	tolerated := toleratedPart*(c.Rate*toleranceWindow.Seconds()+c.Burst) + toleratedRequests
	return min(maxStartLevel*c.Burst, startTolerance*tolerated)
}

// change takes over a new contract. A lower burst binds at once.
func (a *account) change(c Contract, st standing, now time.Time) {
	a.advance(st, now)
	a.contract = c
	a.level = min(a.level, c.Burst*st.group)
}

// share is the part of the group's refill that this instance may use.
func (a *account) share(st standing, now time.Time) float64 {
	together := max(st.group*float64(st.members), 1)
	equal := 1 / together
	total := a.shared
	for _, p := range a.peers {
		if now.Sub(p.at) < heardWithin {
			total += p.demand
		}
	}
	if total <= 0 {
		return equal
	}
	floor := minShare * equal
	return floor + (1-minShare)*a.shared/total
}

// advance refills the bucket for the time that has passed.
func (a *account) advance(st standing, now time.Time) {
	a.regroup(st)
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	refill := a.contract.Rate * st.group * elapsed
	share := a.share(st, now)
	a.level = min(a.level+refill, a.contract.Burst*st.group)
	a.own = min(a.own+refill*share, max(1, a.contract.Burst*st.group*share))
	a.demand *= math.Exp(-elapsed / demandMemory.Seconds())
}

// regroup keeps the part of the bucket that is filled when instances are heard
// again, or not any more: they come with their part of what is left, and take it
// with them.
func (a *account) regroup(st standing) {
	if st.group == a.group {
		return
	}
	scale := st.group / a.group
	a.group = st.group
	if a.level > 0 {
		a.level *= scale
	}
	a.own = min(a.own, max(1, a.level))
}

func (a *account) admit(st standing, now time.Time) Decision {
	a.advance(st, now)
	a.demand += 1 / demandMemory.Seconds()
	a.askedAt = now
	d := Decision{Level: a.level, Share: a.share(st, now)}
	if !a.hasToken(st) {
		d.RetryAfter = a.wait(st, d.Share)
		return d
	}
	a.level--
	a.own--
	a.admitted++
	d.Admitted = true
	return d
}

// hasToken reports whether this instance may use a token.
func (a *account) hasToken(st standing) bool {
	if a.own >= 1 {
		return a.level >= 1-a.slack(st)
	}
	half := lendLevel * a.contract.Burst * st.group
	lent := max(1, half/float64(st.members))
	return a.own >= 1-lent && a.level >= max(1, half)
}

// slack lets an instance use its own part of the refill while the level, which
// it knows late, is just below one.
func (a *account) slack(st standing) float64 {
	return min(1, 0.05*a.contract.Burst*st.group)
}

// wait is the time until this instance expects a token.
func (a *account) wait(st standing, share float64) time.Duration {
	rate := a.contract.Rate * st.group * share
	if rate <= 0 {
		return time.Second
	}
	missing := max(1-a.own, 1-a.level, 0.1)
	return time.Duration(missing / rate * float64(time.Second))
}

// learn counts what a peer admitted since its last report. What it admitted
// while it was not heard came from its own part, so that the first report after a
// silence only says where to count from.
func (a *account) learn(id string, u Usage, joined int, justHeard bool, st standing, now time.Time) {
	a.advance(st, now)
	last, known := a.peers[id]
	switch {
	case joined == 0:
		return // No instance that admits requests.
	case known && last.joined != joined, !a.informed && justHeard:
		a.level = min(max(float64(u.Level), a.level), a.contract.Burst*st.group)
		a.informed = true
	case !a.informed:
		// Each level lacks what the other instance admitted since they heard of each
		// other.
		own := a.level - min(float64(u.Admitted), float64(u.Demand))
		theirs := float64(u.Level) - min(float64(a.admitted), a.demand)
		a.level = min(max(own, theirs), a.contract.Burst*st.group)
		a.informed = true
	case !known || u.Admitted < last.admitted:
		// The peer admitted nothing of the workspace lately, or started anew.
		a.level -= min(float64(u.Admitted), float64(u.Demand))
	default:
		a.level -= float64(u.Admitted - last.admitted)
	}
	a.level = max(a.level, -a.contract.Burst-debtTime.Seconds()*a.contract.Rate)
	a.peers[id] = peerUsage{admitted: u.Admitted, demand: float64(u.Demand), at: now, joined: joined}
}

// grant lets this instance use its share of what is left.
func (a *account) grant(st standing, now time.Time) {
	if now.Sub(a.grantedAt) < min(time.Duration(st.members)*grantPerMember, maxGrantPeriod) {
		return
	}
	a.advance(st, now)
	a.grantedAt = now
	a.shared = a.demand
	a.own = max(a.own, a.level*a.share(st, now))
}
