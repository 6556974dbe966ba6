package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

var testLimits = Limits{OrderTimeout: 10 * time.Second, SafetyMargin: 2 * time.Second, UpdatesPerModel: 1}

func testState() State {
	start := time.Unix(1000, 0)
	return State{
		Now:       start.Add(20 * time.Second),
		LeaseTerm: LeaseTerm{FencingNumber: 7, Since: start, Until: start.Add(50 * time.Second)},
		Declaration: declarer.Declaration{
			Models: []declarer.Model{{Name: "lm-desk", Version: "2"}},
			BackendServers: []declarer.BackendServer{
				{Name: "a", Kind: declarer.Engine, Models: []string{"lm-desk"}, Fencing: true},
				{Name: "b", Kind: declarer.Engine, Models: []string{"lm-desk"}},
				{Name: "c", Kind: declarer.Service},
			},
		},
		Observations: []Observation{{Server: "a"}, {Server: "b"}},
		WeightLoads:  10,
	}
}

func assertPlan(t *testing.T, s State, want ...Decision) {
	t.Helper()
	got := Plan(s, testLimits)
	assert.Equal(t, len(got), len(want), "%+v", got)
	for i := range want {
		assert.Equal(t, got[i].Order.Server.Name, want[i].Order.Server.Name)
		assert.Equal(t, got[i].Order.Kind, want[i].Order.Kind)
		assert.Equal(t, got[i].Order.FencingNumber, s.LeaseTerm.FencingNumber)
		assert.Equal(t, got[i].Deferred, want[i].Deferred)
		assert.Equal(t, got[i].Reason, want[i].Reason)
	}
}

func decision(server string, kind OrderKind, deferred bool, reason Reason) Decision {
	return Decision{
		Order:    Order{Server: declarer.BackendServer{Name: server}, Kind: kind},
		Deferred: deferred,
		Reason:   reason,
	}
}

// Guards against orders that do not lead to the declared models, and against
// orders that may reach a server after those of the next holder.
func TestPlan(t *testing.T) {
	t.Run("missing models", func(t *testing.T) {
		assertPlan(
			t, testState(),
			decision("a", OrderLoad, false, ReasonMissing),
			decision("b", OrderLoad, false, ReasonMissing),
		)
	})
	t.Run("nothing to do", func(t *testing.T) {
		s := testState()
		served := []LoadedModel{{Name: "lm-desk", Version: "2"}}
		s.Observations = []Observation{{Server: "a", Models: served}, {Server: "b", Models: served}}
		assertPlan(t, s)
	})
	t.Run("an unreachable engine gets no orders", func(t *testing.T) {
		s := testState()
		s.Observations = s.Observations[:1]
		assertPlan(t, s, decision("a", OrderLoad, false, ReasonMissing))
	})
	t.Run("one server of a model is updated at a time", func(t *testing.T) {
		s := testState()
		old := []LoadedModel{{Name: "lm-desk", Version: "1"}}
		s.Observations = []Observation{{Server: "a", Models: old}, {Server: "b", Models: old}}
		assertPlan(
			t, s,
			decision("a", OrderLoad, false, ReasonVersion),
			decision("b", OrderLoad, true, ReasonUpdateLimit),
		)
	})
	t.Run("a model that is not declared is unloaded", func(t *testing.T) {
		s := testState()
		s.Observations = []Observation{{
			Server: "a",
			Models: []LoadedModel{{Name: "lm-desk", Version: "2"}, {Name: "old", Version: "1"}},
		}}
		assertPlan(t, s, decision("a", OrderUnload, false, ReasonNotDeclared))
	})
	t.Run("loads beyond the weight store's rate are deferred", func(t *testing.T) {
		s := testState()
		s.WeightLoads = 1
		assertPlan(
			t, s,
			decision("a", OrderLoad, false, ReasonMissing),
			decision("b", OrderLoad, true, ReasonWeightStoreRate),
		)
	})
	t.Run("orders that could outlast the lease are deferred", func(t *testing.T) {
		s := testState()
		s.LeaseTerm.Until = s.Now.Add(testLimits.OrderTimeout)
		assertPlan(
			t, s,
			decision("a", OrderLoad, true, ReasonLeaseEnds),
			decision("b", OrderLoad, true, ReasonLeaseEnds),
		)
	})
	t.Run("a new holder waits if a server ignores fencing numbers", func(t *testing.T) {
		s := testState()
		s.LeaseTerm.Since = s.Now.Add(-testLimits.OrderTimeout)
		assertPlan(
			t, s,
			decision("a", OrderLoad, false, ReasonMissing),
			decision("b", OrderLoad, true, ReasonPredecessor),
		)
	})
}
