package pacer

import "time"

const (
	// rampHolders is the number of instances, those with the highest hashes, that send to
	// a server from the start of its ramp.
	rampHolders = 3
	// firstJoin and maxRamp are the times within which the other instances join, one after
	// the other in the order of their hashes. After maxRamp the ramp has ended everywhere.
	firstJoin = time.Second
	maxRamp   = 4 * time.Second
	// startPerSlot and fullPerSlot are the requests per second and slot of a server that
	// all holders together send at the start and at the end of a ramp. A server that runs
	// a request in a quarter of a second completes fullPerSlot.
	startPerSlot, fullPerSlot = 0.5, 4.0
	// growth and decline change the rate of a holder after a response in time, and after a
	// late one, a refusal or a failure.
	growth, decline = 1.5, 0.5
	// minRate is the lowest rate of a holder, in requests per second: without requests a
	// server could not show that it has recovered.
	minRate = 0.5
	// rampBurst is the number of requests that a holder may send at once.
	rampBurst = 2.0
	// rampReserve is the part of a request that work that can wait leaves to other work.
	rampReserve = 0.5
)

// A ramp is the growing share of a server that comes back.
type ramp struct {
	cause    string
	beganAt  time.Time
	slots    int
	rate     float64 // Requests per second of this instance; zero until the first use.
	level    float64 // Requests that this instance may send now.
	filledAt time.Time
	full     bool // The rate has reached that of a full share.
}

// beginRamp begins a ramp, or begins it again. A server that has not had a request from
// here has just been seen for the first time, like all others. The caller holds the lock
// of the shard.
func (p *Pacer) beginRamp(s *server, cause string, now time.Time) {
	if p.cfg.Ramps && s.traffic.Load() {
		s.ramp = &ramp{cause: cause, beganAt: now, slots: max(s.slots, 1), level: 1, filledAt: now}
	}
}

// rampParticipants returns the number of holders of a ramp.
func (s *server) rampParticipants() int { return max(min(s.members, rampHolders), 1) }

// rampWait returns the time until this instance may send a request to a server in a ramp.
func (s *server) rampWait(canWait bool, now time.Time) time.Duration {
	if s.rank >= rampHolders {
		return max(s.ramp.beganAt.Add(joinTime(s.rank, s.members)).Sub(now), 0)
	}
	need := 1.0
	if canWait {
		need += rampReserve
	}
	s.ramp.refill(s.rampParticipants(), now)
	if s.ramp.level >= need {
		return 0
	}
	wait := time.Duration((need - s.ramp.level) / s.ramp.rate * float64(time.Second))
	return max(min(wait, s.ramp.beganAt.Add(maxRamp).Sub(now)), time.Millisecond)
}

// rampRate returns the requests per second that this instance may send.
func (s *server) rampRate() float64 {
	if s.rank >= rampHolders {
		return 0
	}
	return s.ramp.rate
}

// joinTime returns the time from the start of a ramp after which an instance that is no
// holder has no limit.
func joinTime(rank, members int) time.Duration {
	return firstJoin + (maxRamp-firstJoin)*time.Duration(rank-rampHolders+1)/time.Duration(max(members-rampHolders, 1))
}

// ended reports whether the server has its full share from an instance again.
func (r *ramp) ended(rank, members int, now time.Time) bool {
	if rank >= rampHolders {
		return now.Sub(r.beganAt) >= joinTime(rank, members)
	}
	return r.full || now.Sub(r.beganAt) >= maxRamp
}

func (r *ramp) refill(participants int, now time.Time) {
	if r.rate == 0 {
		r.rate = max(startPerSlot*float64(r.slots)/float64(participants), minRate)
	}
	if elapsed := now.Sub(r.filledAt); elapsed > 0 {
		r.level = min(r.level+r.rate*elapsed.Seconds(), rampBurst)
		r.filledAt = now
	}
}

// record changes the rate after a request has ended.
func (r *ramp) record(inTime bool, participants int, now time.Time) {
	r.refill(participants, now)
	if !inTime {
		r.rate = max(decline*r.rate, minRate)
		return
	}
	r.rate *= growth
	r.full = r.rate >= fullPerSlot*float64(r.slots)/float64(participants)
}
