package apportioner

import (
	"math"
	"time"
)

// A bucket is the token bucket of one workspace as estimated by this instance.
type bucket struct {
	contract      Contract
	fraction      float64 // Fraction of the contract that the level refers to.
	level         float64 // Tokens left to all reachable instances; negative after admissions that were reported late.
	granted       float64 // Tokens of the level that this instance may use until the next grant.
	admitted      uint64  // Requests admitted by this instance since it started.
	lastRequestAt time.Time

	grantedAt   time.Time // Time of the last grant.
	demand      float64   // Requests per second, decaying exponentially.
	shareDemand float64   // Demand at the last grant. Shares are computed from it, so that a partition does not change them.
	updatedAt   time.Time
	peers       map[string]peerUsage // By instance ID.
	synced      bool                 // The level of a peer was received.
}

// A peerUsage is the last report of a peer.
type peerUsage struct {
	admitted   uint64
	demand     float64
	reportedAt time.Time
	sessions   int // Sessions of the peer at that time.
}

func newBucket(c Contract, reach reachability, now time.Time, empty bool) *bucket {
	b := &bucket{contract: c, fraction: reach.fraction, level: c.startLevel() * reach.fraction, updatedAt: now, peers: map[string]peerUsage{}}
	if empty {
		b.level = 0
	}
	b.granted = b.level * b.share(reach, now)
	return b
}

// startLevel returns the number of tokens that all instances together assume to be
// left when they start.
func (c Contract) startLevel() float64 {
	tolerated := toleratedFraction*(c.Rate*toleranceWindow.Seconds()+c.Burst) + toleratedRequests
	return min(maxStartFraction*c.Burst, startToleranceFraction*tolerated)
}

// setContract applies a new contract. A lower burst takes effect at once.
func (b *bucket) setContract(c Contract, reach reachability, now time.Time) {
	b.advance(reach, now)
	b.contract = c
	b.level = min(b.level, c.Burst*reach.fraction)
}

// share returns the fraction of the refill of all reachable instances that this
// instance may use.
func (b *bucket) share(reach reachability, now time.Time) float64 {
	reachable := max(reach.fraction*float64(reach.total), 1)
	equal := 1 / reachable
	total := b.shareDemand
	for _, p := range b.peers {
		if now.Sub(p.reportedAt) < peerTimeout {
			total += p.demand
		}
	}
	if total <= 0 {
		return equal
	}
	floor := minShareFraction * equal
	return floor + (1-minShareFraction)*b.shareDemand/total
}

// advance refills the bucket for the time since the last update.
func (b *bucket) advance(reach reachability, now time.Time) {
	b.rescale(reach)
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	refill := b.contract.Rate * reach.fraction * elapsed
	share := b.share(reach, now)
	b.level = min(b.level+refill, b.contract.Burst*reach.fraction)
	b.granted = min(b.granted+refill*share, max(1, b.contract.Burst*reach.fraction*share))
	b.demand *= math.Exp(-elapsed / demandWindow.Seconds())
}

// rescale scales the level when instances become reachable or unreachable: they
// bring their share of the remaining tokens, or take it with them.
func (b *bucket) rescale(reach reachability) {
	if reach.fraction == b.fraction {
		return
	}
	scale := reach.fraction / b.fraction
	b.fraction = reach.fraction
	if b.level > 0 {
		b.level *= scale
	}
	b.granted = min(b.granted, max(1, b.level))
}

func (b *bucket) admit(reach reachability, now time.Time) Decision {
	b.advance(reach, now)
	b.demand += 1 / demandWindow.Seconds()
	b.lastRequestAt = now
	d := Decision{Level: b.level, Share: b.share(reach, now)}
	if !b.mayAdmit(reach) {
		d.RetryAfter = b.retryAfter(reach, d.Share)
		return d
	}
	b.level--
	b.granted--
	b.admitted++
	d.Admitted = true
	return d
}

// mayAdmit reports whether this instance may use a token.
func (b *bucket) mayAdmit(reach reachability) bool {
	if b.granted >= 1 {
		return b.level >= 1-b.slack(reach)
	}
	threshold := borrowThreshold * b.contract.Burst * reach.fraction
	borrowed := max(1, threshold/float64(reach.total))
	return b.granted >= 1-borrowed && b.level >= max(1, threshold)
}

// slack lets an instance use its granted tokens while the level, which is known
// with a delay, is slightly below one.
func (b *bucket) slack(reach reachability) float64 {
	return min(1, 0.05*b.contract.Burst*reach.fraction)
}

// retryAfter estimates the time until this instance has a token.
func (b *bucket) retryAfter(reach reachability, share float64) time.Duration {
	rate := b.contract.Rate * reach.fraction * share
	if rate <= 0 {
		return time.Second
	}
	missing := max(1-b.granted, 1-b.level, 0.1)
	return time.Duration(missing / rate * float64(time.Second))
}

// applyReport subtracts what a peer admitted since its last report. What it
// admitted while it was unreachable came from its own share, so the first report
// of a session only sets the start of the count.
func (b *bucket) applyReport(id string, u Usage, sessions int, newSession bool, reach reachability, now time.Time) {
	b.advance(reach, now)
	last, known := b.peers[id]
	switch {
	case sessions == 0:
		return // Not a member that admits requests.
	case known && last.sessions != sessions, !b.synced && newSession:
		b.level = min(max(float64(u.Level), b.level), b.contract.Burst*reach.fraction)
		b.synced = true
	case !b.synced:
		// Neither level includes the admissions of the other instance so far.
		ours := b.level - min(float64(u.Admitted), float64(u.Demand))
		theirs := float64(u.Level) - min(float64(b.admitted), b.demand)
		b.level = min(max(ours, theirs), b.contract.Burst*reach.fraction)
		b.synced = true
	case !known || u.Admitted < last.admitted:
		// The peer has not reported the workspace before, or was restarted.
		b.level -= min(float64(u.Admitted), float64(u.Demand))
	default:
		b.level -= float64(u.Admitted - last.admitted)
	}
	b.level = max(b.level, -b.contract.Burst-maxDebtTime.Seconds()*b.contract.Rate)
	b.peers[id] = peerUsage{admitted: u.Admitted, demand: float64(u.Demand), reportedAt: now, sessions: sessions}
}

// grant lets this instance use its share of the remaining tokens.
func (b *bucket) grant(reach reachability, now time.Time) {
	if now.Sub(b.grantedAt) < min(time.Duration(reach.total)*grantIntervalPerMember, maxGrantInterval) {
		return
	}
	b.advance(reach, now)
	b.grantedAt = now
	b.shareDemand = b.demand
	b.granted = max(b.granted, b.level*b.share(reach, now))
}
