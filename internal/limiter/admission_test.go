package limiter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A localLender calls a lender in the same process.
type localLender struct {
	lender *Lender
}

func (l localLender) Borrow(_ context.Context, b *Batch) (BorrowAnswer, error) {
	return l.lender.Lend("borrower", b.Message), nil
}

// newBenchmarkBorrower returns a borrower of n workspaces whose rates are
// never reached.
func newBenchmarkBorrower(b *testing.B, n int) *Borrower {
	b.Helper()
	clock := clockwork.NewRealClock()
	d := declarer.Declaration{Limits: declarer.Limits{StandingShare: 0.2, StandingSlots: 8, RateShards: 4}}
	for i := range n {
		d.Workspaces = append(d.Workspaces,
			declarer.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1e6, Burst: 1e6})
	}
	lender, directory := NewLender(clock, "lender"), NewDirectory(clock)
	lender.Install(d)
	for shard := range d.Limits.RateShards {
		lender.Begin(shard, 1, clock.Now().Add(time.Hour))
		lender.SetSlots(shard, SlotTable{})
		directory.Announce(shard, "lender", 1)
	}
	ledger := NewLedger(clock, "borrower", directory)
	ledger.Install(d)
	return NewBorrower(clock, ledger, localLender{lender: lender})
}

// Guards against a cost per admission that grows with the number of
// workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{8, 250} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			borrower := newBenchmarkBorrower(b, n)
			ctx, cancel := context.WithCancel(b.Context())
			end := borrower.Start(ctx)
			defer func() {
				cancel()
				if err := <-end; err != nil {
					b.Error(err)
				}
			}()
			b.ReportAllocs()
			names := make([]string, n)
			for j := range names {
				names[j] = fmt.Sprintf("workspace-%d", j)
			}
			// A new lender lends nothing until LenderTimeout + ContractMargin
			// have passed, when tokens that an earlier lender lent to waiting
			// requests have expired.
			poll.WaitOn(b, func(poll.LogT) poll.Result {
				if d := borrower.Admit(ctx, names[0]); !d.Admitted {
					return poll.Continue("refused: %s", d.Reason)
				}
				return poll.Success()
			})
			refused, i := 0, 0
			for b.Loop() {
				if !borrower.Admit(ctx, names[i%n]).Admitted {
					refused++
				}
				i++
			}
			b.ReportMetric(float64(refused)/float64(i), "refused/op")
		})
	}
}
