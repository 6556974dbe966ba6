package leaser

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// faults are the probabilities of faults of one message or call.
type faults struct {
	linkLoss     float64
	linkRepeat   float64
	linkDelay    float64 // Probability of a delay of up to maxDelay instead of about 1 ms.
	platformLoss float64
}

const maxDelay = 12 * time.Second

// A simulation runs several instances in one goroutine with simulated time,
// links and platform.
type simulation struct {
	now          time.Time
	seed         uint64
	rng          *rand.Rand
	events       []event // In the order in which they run.
	faults       faults
	store        *fakeStore
	instances    []*simInstance
	cutLinks     map[[2]string]bool
	platformDown bool
	declaration  declarer.Declaration
	revision     int
	admissions   *admissionChecker
	permits      *permitChecker
}

// An event runs at its time, or when its instance is no longer paused.
type event struct {
	at  time.Time
	run func()
}

func newSimulation(seed uint64, d declarer.Declaration, count int) *simulation {
	sim := &simulation{
		now:         time.Unix(1_000_000, 0),
		seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		cutLinks:    map[[2]string]bool{},
		declaration: d,
	}
	sim.store = newFakeStore(simulatedClock{sim: sim})
	sim.admissions = newAdmissionChecker(sim)
	sim.permits = &permitChecker{sim: sim, inUse: map[limiter.Permit]*simInstance{}}
	for i := range count {
		inst := &simInstance{sim: sim, id: fmt.Sprintf("entry-%d", i), clock: simulatedClock{sim: sim}}
		sim.instances = append(sim.instances, inst)
		sim.after(sim.randomDuration(0, 200*time.Millisecond), nil, inst.start)
	}
	return sim
}

// elapsed is the time since the start of the simulation.
func (sim *simulation) elapsed() time.Duration {
	return sim.now.Sub(time.Unix(1_000_000, 0))
}

func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

// randomTrue returns true with probability p.
func (sim *simulation) randomTrue(p float64) bool {
	return p > 0 && sim.rng.Float64() < p
}

// after schedules f. With an instance, f runs only in the instance's current
// process, and waits while the instance is paused.
func (sim *simulation) after(d time.Duration, inst *simInstance, f func()) {
	run := f
	if inst != nil {
		process := inst.process
		run = func() {
			switch {
			case inst.process != process || inst.leaser == nil:
			case sim.now.Before(inst.pausedUntil):
				sim.after(inst.pausedUntil.Sub(sim.now), inst, f)
			default:
				f()
				inst.recordDecisions()
			}
		}
	}
	e := event{at: sim.now.Add(d), run: run}
	i := sort.Search(len(sim.events), func(i int) bool { return sim.events[i].at.After(e.at) })
	sim.events = slices.Insert(sim.events, i, e)
}

// run advances the time and runs the events up to it.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// reachable reports whether a message sent now arrives.
func (sim *simulation) reachable(from, to string) bool {
	return from == to || (!sim.cutLinks[[2]string{from, to}] && !sim.randomTrue(sim.faults.linkLoss))
}

// callReachable is reachable for concurrent calls: the result depends on the
// time and the instances only, not on the order of the calls, so that a seed
// is repeatable.
func (sim *simulation) callReachable(from, to string) bool {
	h := fnv.New64a()
	fmt.Fprint(h, sim.seed, sim.now.UnixNano(), from, "/", to)
	return !sim.cutLinks[[2]string{from, to}] && rand.New(rand.NewPCG(h.Sum64(), 2)).Float64() >= sim.faults.linkLoss
}

// latency returns the delay of one message.
func (sim *simulation) latency() time.Duration {
	if sim.randomTrue(sim.faults.linkDelay) {
		return sim.randomDuration(0, maxDelay)
	}
	return sim.randomDuration(500*time.Microsecond, 1500*time.Microsecond)
}

// send runs f on an instance after the delay of a message; the message may be
// lost or repeated.
func (sim *simulation) send(from string, to *simInstance, f func()) {
	if sim.reachable(from, to.id) {
		sim.deliver(sim.latency(), to, f)
	}
	if sim.randomTrue(sim.faults.linkRepeat) {
		sim.deliver(sim.latency()+sim.randomDuration(0, maxDelay), to, f)
	}
}

// deliver schedules f for the process that the instance has at that time.
func (sim *simulation) deliver(d time.Duration, inst *simInstance, f func()) {
	sim.after(d, nil, func() {
		if inst.leaser != nil {
			sim.after(0, inst, f)
		}
	})
}

func (sim *simulation) instance(id string) *simInstance {
	return sim.instances[slices.IndexFunc(sim.instances, func(inst *simInstance) bool { return inst.id == id })]
}

func (sim *simulation) randomInstance() *simInstance {
	return sim.instances[sim.rng.IntN(len(sim.instances))]
}

// running lists the instances that have a process, which may be paused.
func (sim *simulation) running() []*simInstance {
	return slices.DeleteFunc(slices.Clone(sim.instances), func(inst *simInstance) bool { return inst.leaser == nil })
}

// A simulatedClock returns the simulated time. The simulation uses no timers.
type simulatedClock struct {
	clockwork.Clock
	sim *simulation
}

func (c simulatedClock) Now() time.Time { return c.sim.now }

// A simInstance is a simulated instance. A restart replaces its process.
type simInstance struct {
	sim              *simulation
	id               string
	clock            simulatedClock
	process          int
	leaser           *Leaser // Nil while the instance is down.
	pausedUntil      time.Time
	revision         int
	platformCut      bool
	missesHeartbeats bool // Heartbeats to this instance are lost.
	heartbeatAt      map[string]time.Time
	waiting          map[*limiter.Waiter]string // Workspaces of the waiting requests.
}

// isRunning reports whether the instance has a process that is not paused.
func (inst *simInstance) isRunning() bool {
	return inst.leaser != nil && !inst.sim.now.Before(inst.pausedUntil)
}

// start starts a new process, if none is running.
func (inst *simInstance) start() {
	if inst.leaser != nil {
		return
	}
	inst.process++
	inst.heartbeatAt = map[string]time.Time{}
	inst.waiting = map[*limiter.Waiter]string{}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	inst.leaser = New(Config{
		InstanceID: inst.id,
		Clock:      inst.clock,
		Logger:     logger,
		Store:      instanceStore{fakeStore: inst.sim.store, instance: inst},
		Caller:     inst,
		Membership: inst,
	})
	inst.revision = -1
	inst.install(inst.sim.declaration, inst.sim.revision)
	first := inst.sim.randomDuration(0, stepInterval)
	inst.every(first, stepInterval, func() {
		for _, m := range inst.leaser.managers() {
			m.step(context.Background())
		}
	})
	inst.every(first, limiter.PrefetchPeriod, func() {
		for _, b := range inst.leaser.ledger.DueBatches() {
			inst.sendBatch(b, nil)
		}
	})
	inst.every(first, 500*time.Millisecond, inst.sendHeartbeats)
}

// install installs a revision unless a later one is installed.
func (inst *simInstance) install(d declarer.Declaration, revision int) {
	if revision > inst.revision {
		inst.revision = revision
		inst.leaser.Install(d)
	}
}

// every runs f after first and then in each period d until the process ends.
func (inst *simInstance) every(first, d time.Duration, f func()) {
	inst.sim.after(first, inst, func() {
		f()
		inst.every(d, d, f)
	})
}

// kill ends the process.
func (inst *simInstance) kill() {
	inst.process++
	inst.leaser = nil
	inst.sim.permits.dropAll(inst)
}

func (inst *simInstance) sendHeartbeats() {
	lendings, slot := inst.leaser.Lendings(), inst.leaser.SlotVersion()
	for _, peer := range inst.sim.instances {
		if peer != inst && !peer.missesHeartbeats {
			inst.sim.send(inst.id, peer, func() {
				peer.heartbeatAt[inst.id] = inst.sim.now
				peer.leaser.ObserveLendings(inst.id, lendings, slot)
			})
		}
	}
}

// Live implements Membership.
func (inst *simInstance) Live() []registrar.Instance {
	live := []registrar.Instance{{ID: inst.id}}
	for id, at := range inst.heartbeatAt {
		if inst.sim.now.Sub(at) < 2*time.Second {
			live = append(live, registrar.Instance{ID: id})
		}
	}
	return live
}

// Call implements Caller for messages between managers, which the simulation
// answers at once.
func (inst *simInstance) Call(ctx context.Context, peer string, _ linker.Kind, request, response any) error {
	to := inst.sim.instance(peer)
	if !to.isRunning() || !inst.sim.callReachable(inst.id, peer) {
		return linker.ErrUnreachable
	}
	answer := to.answer(ctx, inst.id, request)
	if !inst.sim.callReachable(peer, inst.id) {
		return linker.ErrUnknownEffect
	}
	reflect.ValueOf(response).Elem().Set(reflect.ValueOf(answer))
	return nil
}

// answer does what the message handlers do.
func (inst *simInstance) answer(ctx context.Context, sender string, request any) any {
	switch r := request.(type) {
	case PromiseRequest:
		return PromiseAnswer{Promised: inst.leaser.shard(r.Shard).promise(sender, r)}
	case PledgeRequest:
		return PledgeAnswer{Pledged: inst.leaser.slot.pledge(r.Slot)}
	case limiter.HandOver:
		return inst.leaser.takeOver(ctx, r)
	default:
		panic(fmt.Sprintf("no handler of %T", request))
	}
}

// request offers one request of a workspace.
func (inst *simInstance) request(workspace string) {
	defer inst.recordDecisions()
	decision, w := inst.leaser.ledger.Request(workspace)
	if w == nil {
		inst.sim.admissions.record(workspace, decision)
		return
	}
	inst.waiting[w] = workspace
	inst.sim.after(limiter.LenderTimeout, inst, func() {
		if _, waits := inst.waiting[w]; waits {
			delete(inst.waiting, w)
			inst.sim.admissions.record(workspace, inst.leaser.ledger.Withdraw(w, limiter.ReasonLenderUnreachable))
		}
	})
	if w.MustAsk {
		inst.ask(w)
	}
}

// recordDecisions records the requests that were decided on.
func (inst *simInstance) recordDecisions() {
	for w, workspace := range inst.waiting {
		select {
		case decision := <-w.Done():
			delete(inst.waiting, w)
			inst.sim.admissions.record(workspace, decision)
		default:
		}
	}
}

// ask does what Borrower.ask does.
func (inst *simInstance) ask(w *limiter.Waiter) {
	batch, pause, ok := inst.leaser.ledger.NextBatch(w)
	switch {
	case !ok:
	case batch == nil:
		inst.sim.after(pause, inst, func() { inst.ask(w) })
	default:
		inst.sendBatch(batch, w)
	}
}

// sendBatch does what Borrower.send does, and continues to ask for w.
func (inst *simInstance) sendBatch(b *limiter.Batch, w *limiter.Waiter) {
	done := false
	finish := func(waiting []*limiter.Waiter) {
		done = true
		for _, other := range waiting {
			inst.ask(other)
		}
		if w != nil {
			inst.ask(w)
		}
	}
	inst.sim.after(limiter.LenderTimeout, inst, func() {
		if !done {
			finish(inst.leaser.ledger.HandleFailure(b, true))
		}
	})
	process := inst.process
	handleAnswer := func(answer limiter.BorrowAnswer) {
		if !done && inst.process == process {
			finish(inst.leaser.ledger.HandleAnswer(b, answer))
		}
	}
	lender := inst.sim.instance(b.Lender)
	inst.sim.send(inst.id, lender, func() {
		answer := lender.leaser.lender.Lend(inst.id, b.Message)
		inst.sim.send(lender.id, inst, func() { handleAnswer(answer) })
	})
}
