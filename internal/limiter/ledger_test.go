package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const testServer = "lm-desk-1"

// A borrowingTest is a ledger under test with a lender whose answers the test
// delivers.
type borrowingTest struct {
	*lendingTest
	directory *Directory
	ledger    *Ledger
}

func newBorrowing(d declarer.Declaration) *borrowingTest {
	b := &borrowingTest{lendingTest: newLending(d)}
	b.directory = NewDirectory(b.clock)
	b.directory.Announce(0, "entry-1", 7)
	b.ledger = NewLedger(b.clock, "entry-2", b.directory)
	b.ledger.Install(d)
	return b
}

// withSlot gives the ledger a slot that is usable at once.
func (b *borrowingTest) withSlot() *borrowingTest {
	b.ledger.SetSlot(&Slot{
		Number: 0, Version: 1, ValidUntil: b.clock.now.Add(time.Hour),
		UsableFrom: b.clock.now, Confirmed: map[int]bool{0: true},
	})
	return b
}

// answer is the lender's answer to a batch.
func (b *borrowingTest) answer(batch *Batch) BorrowAnswer {
	return b.lender.Lend("entry-2", batch.Request)
}

// prefetch collects and delivers once.
func (b *borrowingTest) prefetch() {
	for _, batch := range b.ledger.Collect() {
		b.ledger.Deliver(batch, b.answer(batch))
	}
}

// request decides on a request, asking the lender if necessary.
func (b *borrowingTest) request(t *testing.T) Decision {
	t.Helper()
	decision, w := b.ledger.Request(testWorkspace)
	if w == nil {
		return decision
	}
	batch, _, ok := b.ledger.AskFor(w)
	assert.Assert(t, ok && batch != nil)
	b.ledger.Deliver(batch, b.answer(batch))
	return <-w.Done()
}

// hold makes the ledger hold tokens ahead of demand.
func (b *borrowingTest) hold(t *testing.T) {
	t.Helper()
	b.prefetch()
	for range 20 {
		assert.Assert(t, b.request(t).Admitted)
	}
	b.clock.advance(PrefetchPeriod)
	b.prefetch()
	assert.Assert(t, b.ledger.Tokens(testWorkspace) >= minPrefetch)
}

func assertReason(t *testing.T, d Decision, want Reason) {
	t.Helper()
	assert.Equal(t, d.Reason, want)
}

// Guards against one message for each request when many wait, and against
// requests that wait for an ask that did not count them.
func TestAsksAreCoalesced(t *testing.T) {
	b := newBorrowing(declared(1000, 100, 0))
	var waiters []*Waiter
	for i := range 10 {
		_, w := b.ledger.Request(testWorkspace)
		assert.Equal(t, w.Asks, i == 0)
		waiters = append(waiters, w)
	}
	batch, _, _ := b.ledger.AskFor(waiters[0])
	assert.Equal(t, batch.Request.Asks[0].AtOnce, 10)
	_, late := b.ledger.Request(testWorkspace)
	assert.Assert(t, !late.Asks)
	_, _, ok := b.ledger.AskFor(waiters[0])
	assert.Assert(t, !ok)
	answer := b.answer(batch)
	answer.Grants[0].Ahead = 0
	restart := b.ledger.Deliver(batch, answer)
	for _, w := range waiters {
		assertReason(t, <-w.Done(), ReasonLent)
	}
	assert.Equal(t, len(restart), 1)
	batch, _, _ = b.ledger.AskFor(restart[0])
	assert.Equal(t, batch.Request.Asks[0].AtOnce, 1)
	b.ledger.Deliver(batch, b.answer(batch))
	assertReason(t, <-late.Done(), ReasonLent)
}

// Guards against the use of tokens after a pause of the process or after a
// late answer, when the lender counts them as ended.
func TestNothingIsUsedAfterItsEnd(t *testing.T) {
	t.Run("pause", func(t *testing.T) {
		b := newBorrowing(declared(1000, 100, 0))
		b.hold(t)
		b.clock.advance(ContractTerm)
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
	t.Run("late answer", func(t *testing.T) {
		b := newBorrowing(declared(1000, 100, 0))
		_, w := b.ledger.Request(testWorkspace)
		batch, _, _ := b.ledger.AskFor(w)
		answer := b.answer(batch)
		b.clock.advance(AskTimeout + time.Millisecond)
		b.ledger.Deliver(batch, answer)
		assertReason(t, <-w.Done(), ReasonExceeded)
		b.prefetch()
		b.clock.advance(time.Second)
		b.assertFree(t, 100)
	})
	t.Run("answer after a long pause", func(t *testing.T) {
		b := newBorrowing(declared(1000, 100, 0))
		b.hold(t)
		for range 30 {
			b.ledger.Request(testWorkspace)
		}
		b.clock.advance(PrefetchPeriod)
		batches := b.ledger.Collect()
		answer := b.answer(batches[0])
		b.clock.advance(ContractTerm)
		b.ledger.Deliver(batches[0], answer)
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
	t.Run("abandoned ask", func(t *testing.T) {
		b := newBorrowing(declared(1000, 100, 0))
		_, w := b.ledger.Request(testWorkspace)
		batch, _, _ := b.ledger.AskFor(w)
		b.ledger.Abandon(batch, true)
		assertReason(t, <-w.Done(), ReasonLenderUnreachable)
		b.ledger.Deliver(batch, b.answer(batch))
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
}

// Guards against tokens of a lost lender that are dropped, or reported to its
// successor.
func TestChangeOfTheLender(t *testing.T) {
	b := newBorrowing(declared(1000, 100, 0))
	b.hold(t)
	held := b.ledger.Tokens(testWorkspace)
	b.directory.Announce(0, "entry-3", 9)
	b.clock.advance(PrefetchPeriod)
	for _, batch := range b.ledger.Collect() {
		assert.Equal(t, batch.Lender, "entry-3")
		assert.Equal(t, batch.Request.Asks[0].Held, 0)
		assert.Equal(t, batch.Request.Asks[0].Contract, uint64(0))
		b.ledger.Abandon(batch, true)
	}
	assert.Equal(t, b.ledger.Tokens(testWorkspace), held)
	assertReason(t, b.request(t), ReasonBorrowed)
	b.directory.Announce(0, "entry-1", 7)
	assert.Equal(t, b.directory.Row(0).Lender, "entry-3")
}

// Guards against standing tokens that exist twice while they are given back,
// and against a slot that is used too early or too long.
func TestStandingShare(t *testing.T) {
	d := declared(100, 100, 0.4) // 10 tokens and 10 a second for each slot.
	level := func(b *borrowingTest) float64 { return b.ledger.Tokens(testWorkspace) }
	inTransit := func(t *testing.T) (*borrowingTest, *Batch) {
		b := newBorrowing(d).withSlot()
		b.prefetch()
		b.clock.advance(time.Second)
		batch := b.ledger.Collect()[0]
		assert.Assert(t, batch.Request.Asks[0].GiveBack > 0)
		assert.Assert(t, b.ledger.InTransit())
		return b, batch
	}
	t.Run("spent first", func(t *testing.T) {
		b := newBorrowing(d).withSlot()
		b.clock.advance(time.Second)
		assertReason(t, b.request(t), ReasonStanding)
	})
	t.Run("counts while in transit", func(t *testing.T) {
		b, batch := inTransit(t)
		b.clock.advance(time.Second)
		assert.Equal(t, level(b), 10-batch.Request.Asks[0].GiveBack)
		b.ledger.Abandon(batch, true)
		b.clock.advance(TransitTerm - 2*time.Second)
		assert.Assert(t, b.ledger.InTransit())
		b.clock.advance(time.Second)
		assert.Assert(t, !b.ledger.InTransit())
		assert.Equal(t, level(b), 10-batch.Request.Asks[0].GiveBack)
		b.clock.advance(time.Second)
		assert.Equal(t, level(b), 10.0)
	})
	t.Run("answered", func(t *testing.T) {
		b, batch := inTransit(t)
		b.ledger.Deliver(batch, b.answer(batch))
		assert.Assert(t, !b.ledger.InTransit())
	})
	t.Run("not handed over", func(t *testing.T) {
		b, batch := inTransit(t)
		b.ledger.Abandon(batch, false)
		assert.Equal(t, level(b), 10.0)
	})
	t.Run("refused behind an unanswered ask", func(t *testing.T) {
		l := newLending(declared(0.001, 100, 0))
		g := l.ask("entry-2", Ask{Sequence: 1})
		a := Ask{Epoch: g.Epoch, Contract: g.Contract, Answered: 1, GiveBack: 2}
		a.Sequence = 2
		l.ask("entry-2", a)
		free := l.lender.Free(WorkspaceSubject(testWorkspace))
		a.Sequence = 3
		l.ask("entry-2", a)
		l.assertFree(t, free)
	})
	t.Run("not usable", func(t *testing.T) {
		b := newBorrowing(d).withSlot()
		slot := *b.ledger.slot.Load()
		for name, change := range map[string]func(s *Slot){
			"unconfirmed": func(s *Slot) { s.Confirmed = nil },
			"too early":   func(s *Slot) { s.UsableFrom = b.clock.now.Add(time.Minute) },
			"lapsed":      func(s *Slot) { s.ValidUntil = b.clock.now },
		} {
			changed := slot
			change(&changed)
			b.ledger.SetSlot(&changed)
			b.clock.advance(time.Second)
			assert.Equal(t, level(b), 0.0, name)
		}
	})
}

// Guards against what a leaving instance keeps from the others until its
// contracts end.
func TestHandBack(t *testing.T) {
	b := newBorrowing(declared(1000, 100, 0))
	b.hold(t)
	for _, batch := range b.ledger.HandBack() {
		assert.Assert(t, !batch.Wants())
		b.ledger.Deliver(batch, b.answer(batch))
	}
	b.clock.advance(time.Second)
	b.assertFree(t, 100)
}

// Guards against batch items that go on after their permits are lent to
// others, and against permits that are lost while they are renewed.
func TestPermits(t *testing.T) {
	acquire := func(t *testing.T) (*borrowingTest, Permit) {
		b := newBorrowing(declared(1, 1, 0))
		_, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, !ok)
		b.prefetch()
		permit, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, ok)
		return b, permit
	}
	t.Run("ends before its contract", func(t *testing.T) {
		b, permit := acquire(t)
		b.clock.advance(ContractTerm - permitGuard)
		assert.Assert(t, b.clock.now.Before(permit.ExpiresAt()))
		b.ledger.Collect()
		<-permit.Expired()
		permit.Release()
	})
	t.Run("renewed", func(t *testing.T) {
		b, permit := acquire(t)
		for range 50 {
			b.clock.advance(PrefetchPeriod)
			b.prefetch()
		}
		select {
		case <-permit.Expired():
			t.Fatal("a renewed permit ended")
		default:
		}
		assert.Assert(t, b.clock.now.Before(permit.ExpiresAt()))
	})
	t.Run("released", func(t *testing.T) {
		b, permit := acquire(t)
		permit.Release()
		permit.Release()
		for range 4 {
			b.clock.advance(PrefetchPeriod)
			b.prefetch()
		}
		assert.Equal(t, b.lender.Free(EngineSubject(testServer)), 4.0)
	})
	t.Run("of an old lender", func(t *testing.T) {
		b, permit := acquire(t)
		b.directory.Announce(0, "entry-3", 9)
		b.ledger.Collect()
		_, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, !ok)
		b.clock.advance(ContractTerm)
		b.ledger.Collect()
		<-permit.Expired()
	})
	t.Run("up to the demand", func(t *testing.T) {
		b := newBorrowing(declared(1, 1, 0))
		for range 3 {
			_, ok := b.ledger.AcquirePermit(testServer)
			assert.Assert(t, !ok)
		}
		b.prefetch()
		for i := range 4 {
			_, ok := b.ledger.AcquirePermit(testServer)
			assert.Equal(t, ok, i < 3)
		}
		<-b.ledger.arrived
	})
}
