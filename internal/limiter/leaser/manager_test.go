package leaser

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// newSettledSimulation returns a simulation without faults in which all
// shards are lent and all slots are confirmed.
func newSettledSimulation(count int) *simulation {
	sim := newSimulation(1, testDeclaration(), count)
	sim.run(30 * time.Second)
	return sim
}

// lenderOf returns the instance that lends a shard, or nil.
func (sim *simulation) lenderOf(shard int) *simInstance {
	for _, inst := range sim.running() {
		for _, lending := range inst.leaser.Lendings() {
			if lending.Shard == shard {
				return inst
			}
		}
	}
	return nil
}

// nonLender returns an instance that does not lend shard 0.
func (sim *simulation) nonLender() *simInstance {
	if sim.lenderOf(0) == sim.instances[0] {
		return sim.instances[1]
	}
	return sim.instances[0]
}

// epochOf returns the epoch in which a shard is lent.
func epochOf(inst *simInstance, shard int) int64 {
	return inst.leaser.shards[shard].epoch
}

// Guards against lending that ends during a platform outage although every
// slot holder promises, and against a lender that continues although one does
// not.
func TestPlatformOutage(t *testing.T) {
	t.Run("all promise", func(t *testing.T) {
		sim := newSettledSimulation(4)
		lender, epoch := sim.lenderOf(0), epochOf(sim.lenderOf(0), 0)
		sim.platformDown = true
		for range 120 {
			sim.run(time.Second)
			assert.Equal(t, sim.lenderOf(0), lender)
		}
		sim.platformDown = false
		sim.run(time.Second)
		assert.Equal(t, sim.lenderOf(0), lender)
		assert.Assert(t, epochOf(lender, 0) > epoch)
		assert.Assert(t, lender.leaser.lender.Free(limiter.WorkspaceSubject("large")) > 0)
	})
	t.Run("one is down", func(t *testing.T) {
		sim := newSettledSimulation(4)
		sim.nonLender().kill()
		sim.platformDown = true
		sim.run(lenderLeaseTTL)
		assert.Assert(t, sim.lenderOf(0) == nil)
		sim.platformDown = false
		sim.run(15 * time.Second)
		assert.Assert(t, sim.lenderOf(0) != nil)
	})
}

// Guards against a failed lender that is not replaced, and against a leaving
// one that keeps its shards or its slot.
func TestLenderReplacement(t *testing.T) {
	t.Run("killed", func(t *testing.T) {
		sim := newSettledSimulation(4)
		lender := sim.lenderOf(0)
		lender.kill()
		sim.run(lenderLeaseTTL + 3*time.Second)
		assert.Assert(t, sim.lenderOf(0) != nil)
		assert.Assert(t, sim.lenderOf(1) != nil)
	})
	t.Run("leaves", func(t *testing.T) {
		sim := newSettledSimulation(4)
		lender := sim.lenderOf(0)
		number := lender.leaser.slot.slot.Number
		lender.leaser.Leave(context.Background())
		assert.Equal(t, len(lender.leaser.Lendings()), 0)
		_, held := sim.store.entries[fmt.Sprint(slotPrefix, number)]
		assert.Assert(t, !held)
		sim.run(4 * time.Second)
		assert.Assert(t, sim.lenderOf(0) != nil && sim.lenderOf(0) != lender)
	})
	t.Run("hands over its pools", func(t *testing.T) {
		sim := newSettledSimulation(4)
		lender := sim.lenderOf(0)
		free := lender.leaser.lender.Free(limiter.WorkspaceSubject("large"))
		assert.Assert(t, free > 0)
		lender.leaser.Leave(context.Background())
		successor := sim.lenderOf(0)
		assert.Assert(t, successor != nil && successor != lender)
		assert.Equal(t, lender.leaser.directory.Lookup(0).Lender, successor.id)
		assert.Equal(t, successor.leaser.lender.Free(limiter.WorkspaceSubject("large")), free)
	})
	t.Run("no successor", func(t *testing.T) {
		sim := newSettledSimulation(2)
		lender := sim.lenderOf(0)
		sim.nonLender().kill()
		lender.leaser.Leave(context.Background())
		assert.Assert(t, sim.lenderOf(0) == nil)
		assert.Equal(t, sim.store.entries["lender/0"].Version, int64(0))
	})
	t.Run("killed before a slot was confirmed", func(t *testing.T) {
		sim := newSimulation(1, testDeclaration(), 4)
		for sim.lenderOf(0) == nil || len(slotEntries(sim)) < 4 {
			sim.run(50 * time.Millisecond)
		}
		lender := sim.lenderOf(0)
		sim.run(3 * time.Second) // Not enough to confirm the slots, but the instances know each other.
		for _, inst := range sim.instances {
			inst.leaser.slot.slot.Confirmed = map[int]bool{}
			inst.leaser.slot.confirmed = false
		}
		lender.kill()
		sim.run(lenderLeaseTTL + promiseDuration + 5*time.Second)
		assert.Assert(t, sim.lenderOf(0) != nil)
	})
	t.Run("leaves with a promise", func(t *testing.T) {
		sim := newSettledSimulation(4)
		lender, holder := sim.lenderOf(0), sim.nonLender()
		r := PromiseRequest{Shard: 0, Epoch: epochOf(lender, 0), Table: tableVersion(sim), Term: promiseDuration}
		assert.Assert(t, holder.leaser.shards[0].promise(lender.id, r))
		holder.leaser.Leave(context.Background())
		_, held := sim.store.entries[fmt.Sprint(slotPrefix, holder.leaser.slot.slot.Number)]
		assert.Assert(t, held)
	})
}

// Guards against a restarted instance that acquires another slot, or uses its
// old one while actions of its previous process may still take effect.
func TestRestartReclaimsSlot(t *testing.T) {
	sim := newSettledSimulation(4)
	inst := sim.instances[2]
	version := inst.leaser.SlotVersion()
	inst.kill()
	inst.start()
	sim.run(2 * time.Second)
	assert.Equal(t, inst.leaser.SlotVersion(), version)
	_, ok := inst.leaser.slot.mayLend(0, sim.now)
	assert.Assert(t, !ok)
	assert.Equal(t, inst.leaser.ledger.Tokens("large"), 0.0)
	sim.run(promiseDuration + leaseMargin)
	_, ok = inst.leaser.slot.mayLend(0, sim.now)
	assert.Assert(t, ok)
	assert.Assert(t, inst.leaser.ledger.Tokens("large") > 0)
}

// Guards against promises that allow two lenders.
func TestPromises(t *testing.T) {
	sim := newSettledSimulation(4)
	lender, holder := sim.lenderOf(0), sim.nonLender()
	m := holder.leaser.shards[0]
	r := PromiseRequest{Shard: 0, Epoch: epochOf(lender, 0), Table: tableVersion(sim), Term: time.Hour}
	t.Run("not to a replaced lender", func(t *testing.T) {
		old := r
		old.Epoch--
		assert.Assert(t, !m.promise(lender.id, old))
	})
	t.Run("no campaign before it expires", func(t *testing.T) {
		assert.Assert(t, m.promise(lender.id, r))
		assert.Assert(t, !m.startCampaign(sim.now.Add(promiseDuration-time.Millisecond)))
	})
	t.Run("not for a table that lacks a slot", func(t *testing.T) {
		sim := newSettledSimulation(4)
		old := PromiseRequest{Shard: 0, Epoch: epochOf(sim.lenderOf(0), 0), Table: tableVersion(sim), Term: promiseDuration}
		assert.Assert(t, sim.nonLender().leaser.slot.pledge(old.Table+1))
		assert.Assert(t, !sim.nonLender().leaser.shards[0].promise(sim.lenderOf(0).id, old))
	})
	t.Run("not to two lenders", func(t *testing.T) {
		assert.Assert(t, !m.promise("entry-9", r))
	})
	t.Run("none during a campaign", func(t *testing.T) {
		assert.Assert(t, m.startCampaign(sim.now.Add(promiseDuration)))
		assert.Assert(t, !m.promise(lender.id, r))
	})
}

// A faultyStore loses the answers of the next calls.
type faultyStore struct {
	Store
	putFails    int  // Number of writes whose answers are lost.
	putHappens  bool // The failed writes take effect.
	revokeFails int
}

func (s *faultyStore) Put(ctx context.Context, r storer.PutRequest) (storer.Entry, error) {
	if s.putFails == 0 {
		return s.Store.Put(ctx, r)
	}
	s.putFails--
	if s.putHappens {
		_, _ = s.Store.Put(ctx, r)
	}
	return storer.Entry{}, storer.ErrUnknownEffect
}

func (s *faultyStore) RevokeLease(ctx context.Context, id int64) error {
	if s.revokeFails > 0 {
		s.revokeFails--
		return storer.ErrUnknownEffect
	}
	return s.Store.RevokeLease(ctx, id)
}

// Guards against a write with unknown outcome that is taken as successful or
// as failed. The record is read back, and no promise is made until the
// outcome is known.
func TestUncertainWrite(t *testing.T) {
	campaign := func(t *testing.T, change func(s *faultyStore)) (*simulation, *shardManager) {
		sim := newSettledSimulation(2)
		inst := sim.nonLender()
		sim.lenderOf(0).kill()
		for sim.store.entries["lender/0"].Version != 0 {
			sim.run(100 * time.Millisecond)
			sim.store.expire()
			inst.leaser.shards[0].absentSince = time.Time{}
			inst.leaser.shards[0].nextReadAt = sim.now.Add(time.Minute)
		}
		store := &faultyStore{Store: inst.leaser.cfg.Store, putFails: 1}
		change(store)
		inst.leaser.cfg.Store = store
		m := inst.leaser.shards[0]
		assert.Assert(t, m.startCampaign(sim.now))
		assert.ErrorIs(t, m.campaign(context.Background()), storer.ErrUnknownEffect)
		assert.Equal(t, m.phase, phaseCampaigning)
		assert.Assert(t, !m.promise("entry-9", PromiseRequest{Epoch: 1 << 40, Term: promiseDuration}))
		return sim, m
	}
	t.Run("took effect", func(t *testing.T) {
		_, m := campaign(t, func(s *faultyStore) { s.putHappens = true })
		assert.NilError(t, m.resolveWrite(context.Background(), m.leaser.cfg.Clock.Now()))
		assert.Equal(t, m.phase, phaseLending)
	})
	t.Run("had no effect", func(t *testing.T) {
		_, m := campaign(t, func(*faultyStore) {})
		assert.NilError(t, m.resolveWrite(context.Background(), m.leaser.cfg.Clock.Now()))
		assert.Equal(t, m.phase, phaseIdle)
	})
	t.Run("takes effect after the failed revocation", func(t *testing.T) {
		sim, m := campaign(t, func(s *faultyStore) { s.revokeFails = 1 })
		assert.ErrorIs(t, m.resolveWrite(context.Background(), sim.now), storer.ErrUnknownEffect)
		_, err := sim.store.put(storer.PutRequest{Key: m.key(), Value: m.leaser.recordValue(), LeaseID: m.uncertain.lease.ID})
		assert.NilError(t, err)
		assert.NilError(t, m.resolveWrite(context.Background(), sim.now))
		assert.Equal(t, m.phase, phaseIdle)
	})
	t.Run("slot", func(t *testing.T) {
		sim := newSimulation(1, testDeclaration(), 1)
		sim.run(time.Second / 4)
		inst := sim.instances[0]
		inst.kill()
		sim.store.revoke(1)
		inst.start()
		store := &faultyStore{Store: inst.leaser.cfg.Store, putFails: 1, putHappens: true, revokeFails: 1}
		inst.leaser.cfg.Store = store
		sim.run(10 * time.Second)
		assert.Equal(t, len(tableOf(slotEntries(sim)).Holders), 1)
		assert.Assert(t, inst.leaser.SlotVersion() != 0)
		assert.Equal(t, len(inst.leaser.slot.abandoned), 0)
	})
}

// tableVersion returns the version of the table of slots.
func tableVersion(sim *simulation) int64 { return tableOf(slotEntries(sim)).Version }

func slotEntries(sim *simulation) []storer.Entry {
	list, _ := instanceStore{fakeStore: sim.store, instance: sim.instances[0]}.List(context.Background(), slotPrefix)
	return list
}

// Guards against a number of platform calls that grows with the requests or
// with the number of idle instances.
func TestPlatformCalls(t *testing.T) {
	calls := func(load bool) int {
		sim := newSettledSimulation(5)
		if load {
			sim.startLoad()
		}
		sim.store.calls = 0
		sim.run(time.Minute)
		return sim.store.calls
	}
	idle, loaded := calls(false), calls(true)
	t.Logf("%d calls a minute idle, %d under load", idle, loaded)
	assert.Assert(t, loaded <= idle+2)
	// Two shards are renewed every 3 s, and their tables read every 30 s.
	assert.Assert(t, idle <= 2*(60/3+60/30)+10)
}
