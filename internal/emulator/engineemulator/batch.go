package engineemulator

import (
	"context"
	"slices"
	"sync"
	"time"
)

// A batch runs sequences concurrently. Each step generates one token for every
// sequence and takes longer the more sequences there are.
type batch struct {
	cfg   Config
	loads *loadHistory
	wake  chan struct{} // Buffers one signal that a sequence was added.

	mu      sync.Mutex
	running []*sequence
}

// A sequence is a response that is being generated.
type sequence struct {
	tokens    chan int // Receives the index of each token; closed after the last.
	total     int
	generated int
}

func newBatch(cfg Config, loads *loadHistory) *batch {
	return &batch{cfg: cfg, loads: loads, wake: make(chan struct{}, 1)}
}

// add adds a sequence of n tokens to the batch.
func (b *batch) add(n int) *sequence {
	s := &sequence{tokens: make(chan int, n), total: n}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = append(b.running, s)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return s
}

// remove removes a sequence, whether or not it is complete.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(r *sequence) bool { return r == s })
}

func (b *batch) run(ctx context.Context) {
	for {
		if b.size() == 0 {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-time.After(b.stepTime()):
			b.step()
		case <-ctx.Done():
			return
		}
	}
}

func (b *batch) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running)
}

func (b *batch) stepTime() time.Duration {
	n := b.size()
	neighbours := max(min(n, b.cfg.Capacity)-1, 0)
	overload := max(n-b.cfg.Capacity, 0)
	growth := 1 + b.cfg.NeighbourCost*float64(neighbours) + b.cfg.OverloadCost*float64(overload)
	return time.Duration(float64(b.cfg.TokenTime) * growth)
}

func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, (*sequence).advance)
}

// advance generates one token and reports whether it was the last.
func (s *sequence) advance() bool {
	s.tokens <- s.generated
	s.generated++
	if s.generated < s.total {
		return false
	}
	close(s.tokens)
	return true
}

// A loadHistory records the recent load, because engines report their load with
// a lag.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	current int
	changes []loadChange // In chronological order; at most one is older than lag.
}

type loadChange struct {
	at   time.Time
	load int
}

func (h *loadHistory) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current += n
	now := time.Now()
	h.changes = append(h.changes, loadChange{at: now, load: h.current})
	h.prune(now)
}

func (h *loadHistory) prune(now time.Time) {
	for len(h.changes) > 1 && now.Sub(h.changes[1].at) >= h.lag {
		h.changes = h.changes[1:]
	}
}

func (h *loadHistory) currentLoad() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *loadHistory) reportedLoad(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	if len(h.changes) == 0 || now.Sub(h.changes[0].at) < h.lag {
		return 0
	}
	return h.changes[0].load
}
