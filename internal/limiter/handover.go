package limiter

import "time"

// A HandOver is what a leaving lender tells its successor about a rate shard,
// so that the successor can lend at once.
type HandOver struct {
	Shard int            `cbor:"shard"`
	Epoch int64          `cbor:"epoch"` // Of the leaving lender; the successor replaces the record only if it has this version.
	Pools []PoolSnapshot `cbor:"pools"`
}

// A PoolSnapshot is the state of a pool when its lender stopped lending.
type PoolSnapshot struct {
	Subject string  `cbor:"subject"`
	Free    float64 `cbor:"free"` // Tokens or permits available to lend.
	Lent    int     `cbor:"lent"` // May be in use for MaxContractLifetime.
}

// HandOver stops lending a shard and returns what a successor needs. It
// reports false when this instance does not lend the shard.
func (l *Lender) HandOver(number int) (h HandOver, ok bool) {
	if s := l.shard(number); s != nil {
		return s.handOver(l.clock.Now())
	}
	return HandOver{}, false
}

// ImportPools takes over the pools of the previous lender. No other lender
// may have been in between. It is called right after Begin and SetSlots.
func (l *Lender) ImportPools(h HandOver) {
	if s := l.shard(h.Shard); s != nil {
		s.importPools(h, l.clock.Now())
	}
}

func (s *lenderShard) handOver(now time.Time) (h HandOver, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return HandOver{}, false
	}
	h = HandOver{Shard: s.number, Epoch: s.issuer.Epoch}
	for name, p := range s.pools {
		p.advance(now)
		lent := p.outstanding + p.previousReserve(now)
		h.Pools = append(h.Pools, PoolSnapshot{Subject: name, Free: p.free, Lent: lent})
	}
	s.stop()
	return h, true
}

func (s *lenderShard) importPools(h HandOver, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handed := range h.Pools {
		if p, ok := s.pools[handed.Subject]; ok && s.lends(now) {
			p.importSnapshot(handed, now)
		}
	}
}

// importSnapshot takes over the state of a pool from which this lender has
// lent nothing yet. A share smaller than the earlier lender's applies at
// once.
func (p *pool) importSnapshot(h PoolSnapshot, now time.Time) {
	p.advance(now)
	p.hasHandOver = true
	p.previousLent = max(0, h.Lent)
	p.free = max(0, h.Free)
	p.clamp(now)
}
