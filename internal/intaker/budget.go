// Package intaker bounds what callers can make a process hold while their requests are
// being received: bytes, connections, and the size and time of request heads.
package intaker

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Errors of reading a request. The request was not received whole, so it has not run.
var (
	ErrOverloaded  = merry.New("the process receives too much at once")
	ErrHeadTooLong = merry.New("the head has too many lines")
	ErrBodyTooLong = merry.New("the body is larger than the limit")
)

const (
	defaultMemoryMB = 512
	// budgetDivisor is the part of a machine's memory for requests that are received.
	// On the smallest machines (144 MB) it leaves 24 MB: a process holds 31 MB in normal
	// operation, and the garbage collector works harder from 100 MB on.
	budgetDivisor = 6
	// largeShare is the part of a budget that is available to requests of more than
	// smallBytes, so that large requests do not keep out small ones.
	largeShare = 0.75
	smallBytes = 64 << 10
	// answersDivisor is the part of a budget for answers, beside it. It bounds those of
	// which callers may have many for one request.
	answersDivisor = 4
	// releaseDelay lets a burst end before its buffers are released, and releaseInterval
	// limits how often the garbage collector is run for it.
	releaseDelay    = time.Second
	releaseInterval = 10 * time.Second
	// poolGenerations is the number of collections after which a sync.Pool has let go
	// of what it holds.
	poolGenerations = 2
)

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

type state int

const (
	waiting   state = iota // For the first byte of a request.
	receiving              // A request.
	running                // A request that was received whole.
	evicted                // Its request is refused, or its connection closed.
)

// A Budget is the number of bytes that all connections of a process may hold for their
// requests. A single lock guards it, because what one connection takes is missing for
// all others.
type Budget struct {
	clock  Clock
	logger logrus.FieldLogger
	limit  int64

	processing processingLimit

	mu       sync.Mutex
	used     int64
	answers  int64 // Bytes of answers that are held.
	burst    bool  // More than half was in use since buffers were last released.
	evicted  int64
	accounts map[*Account]struct{}
	released chan struct{} // Receives a value at the end of a burst.
}

// NewBudget returns a budget for a machine with the given memory, or with the default
// memory if it is 0.
func NewBudget(memoryMB int, clock Clock, logger logrus.FieldLogger) *Budget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	limit := int64(memoryMB) << 20 / budgetDivisor
	return &Budget{
		clock: clock, logger: logger, limit: limit, processing: newProcessingLimit(limit),
		accounts: map[*Account]struct{}{}, released: make(chan struct{}, 1),
	}
}

// Usage returns the bytes in use and how many connections have lost their share.
func (b *Budget) Usage() (used, evictions int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.evicted
}

// Start returns memory to the operating system after each burst, until the context ends.
// Buffers of finished requests stay in pools for two collections, and an idle process
// collects only every two minutes.
func (b *Budget) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				return
			case <-b.released:
			}
			if !sleep(ctx, releaseDelay) {
				return
			}
			for range poolGenerations {
				debug.FreeOSMemory()
			}
			used, evictions := b.Usage()
			b.logger.WithFields(logrus.Fields{"bytes": used, "limit-bytes": b.limit, "evictions": evictions}).Info("released the buffers of a burst of requests")
			if !sleep(ctx, releaseInterval) {
				return
			}
		}
	})
	return ended
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// add changes the bytes in use. The caller holds b.mu.
func (b *Budget) add(n int64) {
	b.used += n
	if b.used > b.limit/2 {
		b.burst = true
	}
	if n < 0 && b.burst && b.used < b.limit/8 {
		b.burst = false
		select {
		case b.released <- struct{}{}:
		default:
		}
	}
}

// evict takes the share of an account. The caller holds b.mu.
func (b *Budget) evict(a *Account) {
	b.add(-a.held)
	a.held, a.state = 0, evicted
	a.gate.open--
	b.evicted++
	delete(b.accounts, a)
}

// A Gate bounds the connections of a listener.
type Gate struct {
	Budget   *Budget
	MaxConns int

	open int // Guarded by the lock of the budget.
}

// Open returns an account for a new connection. If the gate is full, the connection
// that has made no progress for longest is evicted, first of those on which no request
// was ever received whole. It fails if all connections have requests that run. Evicted
// connections are cut by calling cut.
func (g *Gate) Open(cut func()) (a *Account, err error) {
	b := g.Budget
	var victim *Account
	b.mu.Lock()
	if g.open >= g.MaxConns {
		victim = g.oldest()
		if victim == nil {
			b.mu.Unlock()
			return nil, ErrOverloaded
		}
		b.evict(victim)
	}
	a = &Account{gate: g, cut: cut, mark: b.clock.Now()}
	g.open++
	b.accounts[a] = struct{}{}
	b.mu.Unlock()
	if victim != nil {
		victim.cut()
	}
	return a, nil
}

// oldest returns the connection to evict. The caller holds the lock of the budget.
func (g *Gate) oldest() (victim *Account) {
	for a := range g.Budget.accounts {
		switch {
		case a.gate != g || a.state == running:
		case victim == nil || victim.served && !a.served:
			victim = a
		case a.served == victim.served && a.mark.Before(victim.mark):
			victim = a
		}
	}
	return victim
}

// An Account is the share of one connection in a budget.
type Account struct {
	gate *Gate
	cut  func() // Wakes the connection after its eviction.

	// All fields are guarded by the lock of the budget.
	state  state
	served bool // A request was received whole.
	held   int64
	answer int64     // Bytes of the answer that is held.
	mark   time.Time // Of the last progress.
}

// Begin notes the first byte of a request.
func (a *Account) Begin() {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.state == waiting {
		a.state, a.mark = receiving, b.clock.Now()
	}
}

// Take adds n bytes, which the connection is about to receive, to its share. If the
// budget is used up, the connections that are receiving and have made no progress for
// longest lose their shares, which may be this one.
func (a *Account) Take(n int64) error {
	b := a.gate.Budget
	b.mu.Lock()
	victims, err := b.makeRoom(a, n)
	if err == nil {
		b.add(n)
		a.held += n
		a.mark = b.clock.Now()
	}
	b.mu.Unlock()
	for _, victim := range victims {
		victim.cut()
	}
	return err
}

// Progress notes that a request which has its whole share goes on to arrive.
func (a *Account) Progress() error {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.state == evicted {
		return ErrOverloaded
	}
	a.mark = b.clock.Now()
	return nil
}

// makeRoom evicts accounts until a can take n bytes. The caller holds b.mu.
func (b *Budget) makeRoom(a *Account, n int64) (victims []*Account, err error) {
	limit := b.limit
	if a.held+n > smallBytes {
		limit = int64(largeShare * float64(b.limit))
	}
	for a.state != evicted && b.used+n > limit {
		victim := b.stalled()
		if victim == nil {
			return victims, ErrOverloaded
		}
		b.evict(victim)
		if victim != a {
			victims = append(victims, victim)
		}
	}
	if a.state == evicted {
		return victims, ErrOverloaded
	}
	return victims, nil
}

// stalled returns the receiving account with a share whose last progress is the oldest.
// The caller holds b.mu.
func (b *Budget) stalled() (victim *Account) {
	for a := range b.accounts {
		if a.state == receiving && a.held > 0 && (victim == nil || a.mark.Before(victim.mark)) {
			victim = a
		}
	}
	return victim
}

// HoldAnswer notes that the answer to a request that runs takes n bytes until Idle or Close.
// An answer of any size finds room if no other is held, but large ones leave room for
// small ones.
func (a *Account) HoldAnswer(n int64) error {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.releaseAnswer() // Of the request before, if this one was read with it.
	limit := b.limit / answersDivisor
	if n > smallBytes {
		limit = int64(largeShare * float64(limit))
	}
	if b.answers > 0 && b.answers+n > limit {
		return ErrOverloaded
	}
	b.answers += n
	a.answer += n
	return nil
}

// releaseAnswer notes that the answer is no longer held. The caller holds the lock of the
// budget.
func (a *Account) releaseAnswer() {
	a.gate.Budget.answers -= a.answer
	a.answer = 0
}

// Complete notes that the request was received whole and holds n bytes while it runs.
// It returns ErrOverloaded if the connection was evicted before; the request must not
// run then. After Complete the connection is not evicted until Idle.
func (a *Account) Complete(n int64) error {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.state == evicted {
		return ErrOverloaded
	}
	b.add(n - a.held)
	a.state, a.served, a.held = running, true, n
	return nil
}

// Idle notes that the request has been answered.
func (a *Account) Idle() {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.state == evicted {
		return
	}
	b.add(-a.held)
	a.releaseAnswer()
	a.state, a.held, a.mark = waiting, 0, b.clock.Now()
}

// Close returns the share of a connection that has closed.
func (a *Account) Close() {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.accounts[a]; !ok {
		return
	}
	delete(b.accounts, a)
	b.add(-a.held)
	a.releaseAnswer()
	a.held, a.state = 0, evicted
	a.gate.open--
}

func (a *Account) isEvicted() bool {
	b := a.gate.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.state == evicted
}
