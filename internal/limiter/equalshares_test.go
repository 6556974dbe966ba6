package limiter

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Guards against a baseline that admits more or less than an entry's share,
// which would distort the comparison of refusals.
func TestEqualShares(t *testing.T) {
	clock := clockwork.NewFakeClock()
	declaration := declarer.Declaration{Workspaces: []declarer.Workspace{{Name: "large", Rate: 8, Burst: 16}}}
	shares := NewEqualShares(clock, 4)
	shares.Install(declaration)

	assertAdmits(t, shares, "large", 0)
	clock.Advance(time.Second)
	assertAdmits(t, shares, "large", 2)
	clock.Advance(time.Minute)
	shares.Install(declaration)
	assertAdmits(t, shares, "large", 4)
	d := shares.Admit(t.Context(), "large")
	assert.Equal(t, d.Reason, ReasonExceeded)
	assert.Equal(t, d.RetryAfter, 500*time.Millisecond)
	assert.Equal(t, shares.Admit(t.Context(), "unknown").Reason, ReasonUnknownWorkspace)
}

// assertAdmits checks how many requests are admitted at once.
func assertAdmits(t *testing.T, e *EqualShares, workspace string, expected int) {
	t.Helper()
	n := 0
	for n <= expected && e.Admit(t.Context(), workspace).Admitted {
		n++
	}
	assert.Equal(t, n, expected)
}
