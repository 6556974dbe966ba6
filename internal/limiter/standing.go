package limiter

import "time"

// GiveBackTimeout is how long tokens given back without an answer count
// against the slot's burst. After it the lender has either accepted them or
// never will, because the contract has expired by both clocks.
const GiveBackTimeout = MaxContractLifetime + ContractMargin

// A standingBucket is a workspace's token bucket of the standing slot that
// this instance holds. tokens + givenBack <= allotment.Burst at all times.
type standingBucket struct {
	allotment Allotment
	slot      int64 // Version of the slot that tokens belongs to; zero when none is usable.
	tokens    float64
	filledAt  time.Time

	// givenBack are tokens given back in a lender request that is not
	// answered yet.
	givenBack         float64
	givenBackSlot     int64
	givenBackContract uint64
	givenBackSequence uint64
	givenBackExpiry   time.Time
}

// advance brings the bucket up to now. A slot that has become usable starts
// empty.
func (s *standingBucket) advance(slot *Slot, shard int, now time.Time) {
	if s.givenBack > 0 && !now.Before(s.givenBackExpiry) {
		// Until givenBackExpiry the tokens took up room in the bucket; what
		// exceeded the rest of the room was discarded.
		s.refill(s.givenBackExpiry)
		s.givenBack = 0
	}
	if !slot.usable(shard, now) {
		s.slot = 0
		s.tokens = 0
		return
	}
	if s.slot != slot.Version {
		s.slot = slot.Version
		s.tokens = 0
		s.filledAt = now
	}
	s.refill(now)
}

// refill adds the tokens accrued up to a time.
func (s *standingBucket) refill(until time.Time) {
	if s.slot != 0 && until.After(s.filledAt) {
		s.tokens += s.allotment.Rate * until.Sub(s.filledAt).Seconds()
		s.filledAt = until
	}
	s.clamp()
}

// clamp discards tokens above the burst.
func (s *standingBucket) clamp() {
	s.tokens = max(0, min(s.tokens, float64(s.allotment.Burst)-s.givenBack))
}

// setAllotment changes the bucket's rate and burst from now on.
func (s *standingBucket) setAllotment(allotment Allotment, slot *Slot, shard int, now time.Time) {
	s.advance(slot, shard, now)
	s.allotment = allotment
	s.clamp()
}

// take uses a token, if there is one. The bucket must be advanced to now.
func (s *standingBucket) take() bool {
	if s.tokens < 1-tokenEpsilon {
		return false
	}
	s.tokens = max(0, s.tokens-1)
	return true
}

// refills reports whether the bucket gains tokens.
func (s *standingBucket) refills() bool {
	return s.slot != 0 && s.allotment.Rate > 0
}

// expectedOverflow is the number of tokens that would be discarded by the
// next prefetch.
func (s *standingBucket) expectedOverflow() float64 {
	if s.slot == 0 || s.givenBack > 0 {
		return 0
	}
	over := s.tokens + s.allotment.Rate*PrefetchPeriod.Seconds() - float64(s.allotment.Burst)
	return max(0, min(over, s.tokens))
}

// giveBack moves tokens into a lender request.
func (s *standingBucket) giveBack(amount float64, r *LenderRequest, now time.Time) {
	s.tokens -= amount
	s.givenBack = amount
	s.givenBackSlot = s.slot
	s.givenBackContract = r.Contract
	s.givenBackSequence = r.Sequence
	s.givenBackExpiry = now.Add(GiveBackTimeout)
	r.GiveBack = amount
}

// confirmGiveBack clears givenBack when the lender has answered that request
// or a later one under the same contract, after which it refuses the earlier
// one.
func (s *standingBucket) confirmGiveBack(contract, sequence uint64, now time.Time) {
	if s.givenBack > 0 && contract == s.givenBackContract && sequence >= s.givenBackSequence {
		s.refill(now)
		s.givenBack = 0
	}
}

// undoGiveBack restores the tokens of a lender request that was not sent.
func (s *standingBucket) undoGiveBack(contract, sequence uint64, now time.Time) {
	if s.givenBack > 0 && contract == s.givenBackContract && sequence == s.givenBackSequence {
		s.refill(now)
		if s.slot == s.givenBackSlot {
			s.tokens += s.givenBack
		}
		s.givenBack = 0
	}
}

// untilNext is the time until the bucket has a whole token.
func (s *standingBucket) untilNext() time.Duration {
	if !s.refills() || s.allotment.Burst < 1 {
		return 0
	}
	return seconds(max(0, 1-s.tokens) / s.allotment.Rate)
}
