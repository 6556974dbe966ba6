package limiter

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// BenchmarkAdmit measures the decision on a request for which a token is held.
func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{8, 64, 250} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			borrower, names := benchmarkBorrower(workspaces)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				i := 0
				for pb.Next() {
					i++
					if d := borrower.Admit(context.Background(), names[i%len(names)]); !d.Admitted {
						b.Fatal(d.Reason)
					}
				}
			})
		})
	}
}

// benchmarkBorrower holds more tokens than the benchmark uses.
func benchmarkBorrower(workspaces int) (borrower *Borrower, names []string) {
	const tokens = 1 << 40
	clock := clockwork.NewRealClock()
	var d declarer.Declaration
	for i := range workspaces {
		names = append(names, fmt.Sprintf("workspace-%03d", i))
		d.Workspaces = append(d.Workspaces, declarer.Workspace{Name: names[i], Rate: 1, Burst: 1})
	}
	ledger := newTestLedger(clock)
	ledger.Install(d)
	for i := range ledger.shards {
		for _, a := range ledger.shards[i].accounts {
			a.current.ID = 1
			a.current.Amount = tokens
			a.current.ExpiresAt = clock.Now().Add(24 * ContractTerm * 3600)
		}
	}
	return NewBorrower(clock, ledger, silentCaller{}), names
}
