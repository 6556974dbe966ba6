package limiter

import "time"

// A HandOver is what a leaving lender tells its successor about a rate shard,
// so that the successor can lend at once.
type HandOver struct {
	Shard int          `cbor:"shard"`
	Epoch int64        `cbor:"epoch"` // Of the leaving lender; the successor replaces just its record.
	Pools []HandedPool `cbor:"pools"`
}

// A HandedPool is a pool when its lender stopped lending.
type HandedPool struct {
	Subject string  `cbor:"subject"`
	Free    float64 `cbor:"free"` // Tokens or permits that could be lent.
	Lent    int     `cbor:"lent"` // May be in use for EndOfContracts.
}

// HandOver stops lending a shard and returns what a successor has to know. It
// reports false when the shard is not lent.
func (l *Lender) HandOver(number int) (h HandOver, ok bool) {
	if s := l.shard(number); s != nil {
		return s.handOver(l.clock.Now())
	}
	return HandOver{}, false
}

// Inherit takes over the pools of the lender before, which nobody followed in
// between. It is called right after Begin and SetSlots.
func (l *Lender) Inherit(h HandOver) {
	if s := l.shard(h.Shard); s != nil {
		s.inherit(h, l.clock.Now())
	}
}

func (s *lenderShard) handOver(now time.Time) (h HandOver, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return HandOver{}, false
	}
	h = HandOver{Shard: s.number, Epoch: s.term.Epoch}
	for name, p := range s.pools {
		p.settle(now)
		lent := p.outstanding + p.reserve(now)
		h.Pools = append(h.Pools, HandedPool{Subject: name, Free: p.free, Lent: lent})
	}
	s.stop()
	return h, true
}

func (s *lenderShard) inherit(h HandOver, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handed := range h.Pools {
		if p, ok := s.pools[handed.Subject]; ok && s.lends(now) {
			p.inherit(handed, now)
		}
	}
}

// inherit takes over a pool from which this lender has lent nothing yet. A
// smaller part than the earlier lender's binds at once.
func (p *pool) inherit(h HandedPool, now time.Time) {
	p.settle(now)
	p.handedOver = true
	p.lentBefore = max(0, h.Lent)
	p.free = max(0, h.Free)
	p.clamp(now)
}
