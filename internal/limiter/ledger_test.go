package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const testServer = "lm-desk-1"

// A ledgerTest is a ledger with a lender. The test passes the requests and
// answers between them.
type ledgerTest struct {
	*lenderTest
	directory *Directory
	ledger    *Ledger
}

func newLedgerTest(d declarer.Declaration) *ledgerTest {
	b := &ledgerTest{lenderTest: newLenderTest(d)}
	b.directory = NewDirectory(b.clock)
	b.directory.Announce(0, "entry-1", 7)
	b.ledger = NewLedger(b.clock, "entry-2", b.directory)
	b.ledger.Install(d)
	return b
}

func (b *ledgerTest) withUsableSlot() *ledgerTest {
	b.ledger.SetSlot(&Slot{
		Number: 0, Version: 1, ValidUntil: b.clock.now.Add(time.Hour),
		UsableFrom: b.clock.now, Confirmed: map[int]bool{0: true},
	})
	return b
}

// answer returns the lender's answer to a batch.
func (b *ledgerTest) answer(batch *Batch) BorrowAnswer {
	return b.lender.Lend("entry-2", batch.Message)
}

// prefetch sends the batches that are due and delivers the answers.
func (b *ledgerTest) prefetch() {
	for _, batch := range b.ledger.DueBatches() {
		b.ledger.HandleAnswer(batch, b.answer(batch))
	}
}

// request makes a request, asking the lender if necessary.
func (b *ledgerTest) request(t *testing.T) Decision {
	t.Helper()
	decision, w := b.ledger.Request(testWorkspace)
	if w == nil {
		return decision
	}
	batch, _, ok := b.ledger.NextBatch(w)
	assert.Assert(t, ok && batch != nil)
	b.ledger.HandleAnswer(batch, b.answer(batch))
	return <-w.Done()
}

// borrowAhead creates demand so that the ledger borrows tokens ahead of it.
func (b *ledgerTest) borrowAhead(t *testing.T) {
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
// requests that wait for a lender request that did not include them.
func TestWaitersShareLenderRequest(t *testing.T) {
	b := newLedgerTest(declared(1000, 100, 0))
	var waiters []*Waiter
	for i := range 10 {
		_, w := b.ledger.Request(testWorkspace)
		assert.Equal(t, w.MustAsk, i == 0)
		waiters = append(waiters, w)
	}
	batch, _, _ := b.ledger.NextBatch(waiters[0])
	assert.Equal(t, batch.Message.Requests[0].AtOnce, 10)
	_, late := b.ledger.Request(testWorkspace)
	assert.Assert(t, !late.MustAsk)
	_, _, ok := b.ledger.NextBatch(waiters[0])
	assert.Assert(t, !ok)
	answer := b.answer(batch)
	answer.Grants[0].Ahead = 0
	restart := b.ledger.HandleAnswer(batch, answer)
	for _, w := range waiters {
		assertReason(t, <-w.Done(), ReasonLent)
	}
	assert.Equal(t, len(restart), 1)
	batch, _, _ = b.ledger.NextBatch(restart[0])
	assert.Equal(t, batch.Message.Requests[0].AtOnce, 1)
	b.ledger.HandleAnswer(batch, b.answer(batch))
	assertReason(t, <-late.Done(), ReasonLent)
}

// Guards against the use of expired tokens after a pause of the process or
// after a late answer: the lender may have lent them again.
func TestExpiredTokensAreNotUsed(t *testing.T) {
	t.Run("pause", func(t *testing.T) {
		b := newLedgerTest(declared(1000, 100, 0))
		b.borrowAhead(t)
		b.clock.advance(ContractTerm)
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
	t.Run("late answer", func(t *testing.T) {
		b := newLedgerTest(declared(1000, 100, 0))
		_, w := b.ledger.Request(testWorkspace)
		batch, _, _ := b.ledger.NextBatch(w)
		answer := b.answer(batch)
		b.clock.advance(LenderTimeout + time.Millisecond)
		b.ledger.HandleAnswer(batch, answer)
		assertReason(t, <-w.Done(), ReasonExceeded)
		b.prefetch()
		b.clock.advance(time.Second)
		b.assertFree(t, 100)
	})
	t.Run("answer after a long pause", func(t *testing.T) {
		b := newLedgerTest(declared(1000, 100, 0))
		b.borrowAhead(t)
		for range 30 {
			b.ledger.Request(testWorkspace)
		}
		b.clock.advance(PrefetchPeriod)
		batches := b.ledger.DueBatches()
		answer := b.answer(batches[0])
		b.clock.advance(ContractTerm)
		b.ledger.HandleAnswer(batches[0], answer)
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
	t.Run("unanswered request", func(t *testing.T) {
		b := newLedgerTest(declared(1000, 100, 0))
		_, w := b.ledger.Request(testWorkspace)
		batch, _, _ := b.ledger.NextBatch(w)
		b.ledger.HandleFailure(batch, true)
		assertReason(t, <-w.Done(), ReasonLenderUnreachable)
		b.ledger.HandleAnswer(batch, b.answer(batch))
		assert.Equal(t, b.ledger.Tokens(testWorkspace), 0.0)
	})
}

// Guards against tokens of a failed lender that are dropped before they
// expire, or reported to its successor.
func TestLenderChange(t *testing.T) {
	b := newLedgerTest(declared(1000, 100, 0))
	b.borrowAhead(t)
	held := b.ledger.Tokens(testWorkspace)
	b.directory.Announce(0, "entry-3", 9)
	b.clock.advance(PrefetchPeriod)
	for _, batch := range b.ledger.DueBatches() {
		assert.Equal(t, batch.Lender, "entry-3")
		assert.Equal(t, batch.Message.Requests[0].Held, 0)
		assert.Equal(t, batch.Message.Requests[0].Contract, uint64(0))
		b.ledger.HandleFailure(batch, true)
	}
	assert.Equal(t, b.ledger.Tokens(testWorkspace), held)
	assertReason(t, b.request(t), ReasonBorrowed)
	b.directory.Announce(0, "entry-1", 7)
	assert.Equal(t, b.directory.Lookup(0).Lender, "entry-3")
}

// Guards against standing tokens that are counted twice while they are given
// back, and against use of a slot before or after the time for which it is
// held.
func TestStandingShare(t *testing.T) {
	d := declared(100, 100, 0.4) // Each slot has a burst of 10 and a rate of 10 per second.
	tokens := func(b *ledgerTest) float64 { return b.ledger.Tokens(testWorkspace) }
	giveBack := func(t *testing.T) (*ledgerTest, *Batch) {
		b := newLedgerTest(d).withUsableSlot()
		b.prefetch()
		b.clock.advance(time.Second)
		batch := b.ledger.DueBatches()[0]
		assert.Assert(t, batch.Message.Requests[0].GiveBack > 0)
		assert.Assert(t, b.ledger.GiveBackPending())
		return b, batch
	}
	t.Run("spent first", func(t *testing.T) {
		b := newLedgerTest(d).withUsableSlot()
		b.clock.advance(time.Second)
		assertReason(t, b.request(t), ReasonStanding)
	})
	t.Run("given back without an answer", func(t *testing.T) {
		b, batch := giveBack(t)
		b.clock.advance(time.Second)
		assert.Equal(t, tokens(b), 10-batch.Message.Requests[0].GiveBack)
		b.ledger.HandleFailure(batch, true)
		b.clock.advance(GiveBackTimeout - 2*time.Second)
		assert.Assert(t, b.ledger.GiveBackPending())
		b.clock.advance(time.Second)
		assert.Assert(t, !b.ledger.GiveBackPending())
		assert.Equal(t, tokens(b), 10-batch.Message.Requests[0].GiveBack)
		b.clock.advance(time.Second)
		assert.Equal(t, tokens(b), 10.0)
	})
	t.Run("answered", func(t *testing.T) {
		b, batch := giveBack(t)
		b.ledger.HandleAnswer(batch, b.answer(batch))
		assert.Assert(t, !b.ledger.GiveBackPending())
	})
	t.Run("not sent", func(t *testing.T) {
		b, batch := giveBack(t)
		b.ledger.HandleFailure(batch, false)
		assert.Equal(t, tokens(b), 10.0)
	})
	t.Run("refused after an unanswered request", func(t *testing.T) {
		l := newLenderTest(declared(0.001, 100, 0))
		g := l.ask("entry-2", LenderRequest{Sequence: 1})
		a := LenderRequest{Epoch: g.Epoch, Contract: g.Contract, Answered: 1, GiveBack: 2}
		a.Sequence = 2
		l.ask("entry-2", a)
		free := l.lender.Free(WorkspaceSubject(testWorkspace))
		a.Sequence = 3
		l.ask("entry-2", a)
		l.assertFree(t, free)
	})
	t.Run("not usable", func(t *testing.T) {
		b := newLedgerTest(d).withUsableSlot()
		slot := *b.ledger.slot.Load()
		for name, change := range map[string]func(s *Slot){
			"unconfirmed": func(s *Slot) { s.Confirmed = nil },
			"too early":   func(s *Slot) { s.UsableFrom = b.clock.now.Add(time.Minute) },
			"expired":     func(s *Slot) { s.ValidUntil = b.clock.now },
		} {
			changed := slot
			change(&changed)
			b.ledger.SetSlot(&changed)
			b.clock.advance(time.Second)
			assert.Equal(t, tokens(b), 0.0, name)
		}
	})
}

// Guards against a leaving instance that keeps borrowed tokens until its
// contracts expire.
func TestReturnAll(t *testing.T) {
	b := newLedgerTest(declared(1000, 100, 0))
	b.borrowAhead(t)
	for _, batch := range b.ledger.ReturnAll() {
		assert.Assert(t, !batch.Borrows())
		b.ledger.HandleAnswer(batch, b.answer(batch))
	}
	b.clock.advance(time.Second)
	b.assertFree(t, 100)
}

// Guards against batch items that keep running after their permits were lent
// to others, and against permits that are lost while they are renewed.
func TestPermits(t *testing.T) {
	acquire := func(t *testing.T) (*ledgerTest, Permit) {
		b := newLedgerTest(declared(1, 1, 0))
		_, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, !ok)
		b.prefetch()
		permit, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, ok)
		return b, permit
	}
	t.Run("expires before its contract", func(t *testing.T) {
		b, permit := acquire(t)
		b.clock.advance(ContractTerm - permitStopMargin)
		assert.Assert(t, b.clock.now.Before(permit.ExpiresAt()))
		b.ledger.DueBatches()
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
			t.Fatal("a renewed permit expired")
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
	t.Run("after a change of the lender", func(t *testing.T) {
		b, permit := acquire(t)
		b.directory.Announce(0, "entry-3", 9)
		b.ledger.DueBatches()
		_, ok := b.ledger.AcquirePermit(testServer)
		assert.Assert(t, !ok)
		b.clock.advance(ContractTerm)
		b.ledger.DueBatches()
		<-permit.Expired()
	})
	t.Run("as many as the demand", func(t *testing.T) {
		b := newLedgerTest(declared(1, 1, 0))
		for range 3 {
			_, ok := b.ledger.AcquirePermit(testServer)
			assert.Assert(t, !ok)
		}
		b.prefetch()
		for i := range 4 {
			_, ok := b.ledger.AcquirePermit(testServer)
			assert.Equal(t, ok, i < 3)
		}
		<-b.ledger.permitsLent
	})
}
