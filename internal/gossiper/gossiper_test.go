package gossiper

import (
	"context"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/admitter"
	"github.com/quetzalhitch/quetzalhitch/internal/apportioner"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/follower"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

const (
	service   = "model"
	workspace = "w1"
)

type noLinks struct{}

func (noLinks) Call(context.Context, string, linker.Kind, any, any) error {
	return linker.ErrUnreachable
}

func (noLinks) Handle(linker.Kind, linker.Handler) {}

type noOwners struct{}

func (noOwners) NewlyOwnedJobs() []string     { return nil }
func (noOwners) RecordOwner(string, []string) {}

func (noOwners) WaitingTokens() []admitter.Waiting        { return []admitter.Waiting{} }
func (noOwners) RecordWaiting(string, []admitter.Waiting) {}

type noSuspects struct{}

func (noSuspects) Report() []retrier.PartReport      { return nil }
func (noSuspects) ApplyReports([]retrier.PartReport) {}

type noLimits struct{}

func (noLimits) Report() []throttler.Report                      { return nil }
func (noLimits) ApplyReports(string, string, []throttler.Report) {}

type noReaches struct{}

func (noReaches) ApplyReaches(string, []balancer.ServiceReach) {}

// A fakeSource records the version that it was told to observe.
type fakeSource struct{ observed int64 }

func (*fakeSource) Snapshot() follower.Snapshot          { return follower.Snapshot{} }
func (*fakeSource) OfferSnapshot(follower.Snapshot) bool { return false }
func (*fakeSource) Version() int64                       { return 1 }
func (*fakeSource) ChangedAt() int64                     { return 1 }
func (*fakeSource) Connected() bool                      { return true }
func (s *fakeSource) ObservePeerVersion(changedAt int64) { s.observed = changedAt }

type fixture struct {
	g        *Gossiper
	source   *fakeSource
	clock    *clockwork.FakeClock
	balancer *balancer.Balancer
	quotas   *apportioner.Apportioner
}

func newFixture() *fixture {
	clock := clockwork.NewFakeClock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &fixture{clock: clock, source: &fakeSource{}, balancer: balancer.New(balancer.Config{Clock: clock, Logger: logger}), quotas: apportioner.New(clock)}
	r.balancer.Install([]balancer.Backend{{ID: "s1", Service: service, Slots: 4}})
	r.quotas.Install([]apportioner.Contract{{Workspace: workspace, Rate: 1, Burst: 1000}})
	r.quotas.SetMembers([]string{"b"})
	r.g = New(Config{
		Self: enroller.Member{ID: "a", Incarnation: "a1"}, Links: noLinks{}, Balancer: r.balancer, Quotas: r.quotas,
		OnReport: func(string) {}, JobOwners: noOwners{}, Suspects: noSuspects{}, Limits: noLimits{}, Reaches: noReaches{}, Clock: clock, Logger: logger,
		Sources: map[string]Source{"members": r.source},
	})
	r.g.SetPeers([]enroller.Member{{ID: "b"}})
	return r
}

// receiveReport handles a report from b.
func (r *fixture) receiveReport(t *testing.T, incarnation string, sequence uint64, online int, admitted uint64) {
	t.Helper()
	payload, err := linker.Marshal(Report{
		Incarnation: incarnation, Sequence: sequence,
		Loads:  []balancer.ServerLoad{{Server: "s1", Load: balancer.Load{Online: online}}},
		Usages: []apportioner.Usage{{Workspace: workspace, Admitted: admitted, Level: 1000}},
	})
	assert.NilError(t, err)
	_, err = r.g.handleReport(t.Context(), "b", payload)
	assert.NilError(t, err)
}

func assertLoad(t *testing.T, r *fixture, want int) {
	t.Helper()
	p, err := r.balancer.Acquire(balancer.Query{Service: service, MaxWait: 1 << 40})
	assert.NilError(t, err)
	defer p.Release(balancer.OutcomeDone)
	assert.Equal(t, p.Load, want)
}

// TestOutdatedReports guards against reports that a network cut delayed. Their counts
// are lower than the last ones, as after a restart, so that all requests that the peer
// ever admitted were counted again (site lh-order-desk, incident inc-c5a2).
func TestOutdatedReports(t *testing.T) {
	r := newFixture()
	r.receiveReport(t, "b1", 1, 1, 400)
	r.receiveReport(t, "b1", 3, 3, 402)
	t.Run("a report with a lower sequence is ignored", func(t *testing.T) {
		r.receiveReport(t, "b1", 2, 2, 401)
		assertLoad(t, r, 3)
		d := r.quotas.Admit(workspace)
		assert.Assert(t, d.Level > 300, "%v tokens are left", d.Level)
	})
	t.Run("a new incarnation starts a new sequence", func(t *testing.T) {
		r.receiveReport(t, "b2", 1, 0, 1)
		assertLoad(t, r, 0)
	})
	// Guards against an instance whose watch of the members hangs from the start. It
	// knew no peer, and so no report showed that its copies were out of date (soak,
	// seed 1).
	t.Run("a report of an unknown instance updates the observed version", func(t *testing.T) {
		r.g.applyReport("c", Report{Changes: map[string]int64{"members": 7}})
		assert.Equal(t, r.source.observed, int64(7))
	})
	// Guards against two or more times the rate of a workspace while an instance knows
	// no peers (soak, seed 10: 165 runs where 152 are allowed).
	t.Run("an unknown instance has its share of the rate", func(t *testing.T) {
		r := newFixture()
		r.receiveReport(t, "b1", 1, 0, 0)
		before := r.quotas.Admit(workspace).Level
		r.g.applyReport("c", Report{})
		after := r.quotas.Admit(workspace).Level
		assert.Assert(t, after < 0.7*before, "%v tokens of %v are left", after, before)
	})
	t.Run("the load of an unknown instance is ignored", func(t *testing.T) {
		r.g.applyReport("c", Report{Loads: []balancer.ServerLoad{{Server: "s1", Load: balancer.Load{Online: 4}}}})
		assertLoad(t, r, 0)
	})
}

// TestFallbackCall guards against an instance that takes part in no exchange because
// it does not know its peers while they wait for its calls (soak, seed 10).
func TestFallbackCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &peer{lastReportAt: clock.Now()}
	assert.Assert(t, !p.claimFallbackCall(clock.Now()))
	clock.Advance(fallbackCallDelay)
	assert.Assert(t, p.claimFallbackCall(clock.Now()))
	assert.Assert(t, !p.claimFallbackCall(clock.Now()), "called again at once")
	clock.Advance(fallbackCallDelay)
	assert.Assert(t, p.claimFallbackCall(clock.Now()))
}

// TestInStep guards against decisions on copies that lack changes which peers know, or
// that nobody has confirmed since this machine was suspended.
func TestInStep(t *testing.T) {
	hear := func(r *fixture, sequence uint64, changedAt int64) {
		r.g.applyReport("b", Report{Incarnation: "b1", Sequence: sequence, Changes: map[string]int64{"members": changedAt}})
	}
	r := newFixture()
	assert.Assert(t, !r.g.InStep("members"), "no peer was heard")
	hear(r, 1, 1)
	assert.Assert(t, r.g.InStep("members"))
	hear(r, 2, 2)
	assert.Assert(t, !r.g.InStep("members"), "a peer knows of a later change")
	hear(r, 3, 1)
	r.clock.Advance(peerTimeout)
	assert.Assert(t, !r.g.InStep("members"), "the last report is too old")
}

// TestAnyProvides guards against an instance that waits for a copy from a peer of an earlier
// build, which does not have it.
func TestAnyProvides(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes map[string]int64
		want    bool
	}{
		{name: "a peer that lacks the copy", changes: map[string]int64{"members": 7}},
		{name: "a peer whose copy has no changes", changes: map[string]int64{"members": 7, "ended-jobs": 0}, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFixture()
			payload, err := linker.Marshal(Report{Incarnation: "b1", Sequence: 1, Changes: test.changes, Connected: true})
			assert.NilError(t, err)
			_, err = r.g.handleReport(t.Context(), "b", payload)
			assert.NilError(t, err)
			assert.Assert(t, r.g.AnyReachesStore([]string{"b"}))
			assert.Equal(t, r.g.AnyProvides([]string{"b"}, "ended-jobs"), test.want)
		})
	}
}
