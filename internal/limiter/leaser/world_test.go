package leaser

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Faults are the probabilities of faults of one message or call.
type faults struct {
	linkLoss     float64
	linkRepeat   float64
	linkDelay    float64 // Of a delay of up to maxDelay instead of about 1 ms.
	platformLoss float64
}

const maxDelay = 12 * time.Second

// A world runs several instances in one goroutine on simulated time, links
// and a simulated platform.
type world struct {
	now         time.Time
	seed        uint64
	rng         *rand.Rand
	events      eventHeap
	sequence    int
	faults      faults
	store       *fakeStore
	nodes       []*node
	cuts        map[[2]string]bool
	declaration declarer.Declaration
	revision    int
	admissions  *admissions
	permits     *permitWatch
}

// An event runs at its time, or when its node is awake again.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newWorld(seed uint64, d declarer.Declaration, nodes int) *world {
	w := &world{
		now:         time.Unix(1_000_000, 0),
		seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		cuts:        map[[2]string]bool{},
		declaration: d,
	}
	w.store = newFakeStore(w)
	w.admissions = newAdmissions(w)
	w.permits = &permitWatch{world: w, inUse: map[limiter.Permit]*node{}}
	for i := range nodes {
		n := &node{world: w, id: fmt.Sprintf("entry-%d", i), clock: worldClock{world: w}}
		w.nodes = append(w.nodes, n)
		w.after(w.between(0, 200*time.Millisecond), nil, n.boot)
	}
	return w
}

// age is the time since the start.
func (w *world) age() time.Duration {
	return w.now.Sub(time.Unix(1_000_000, 0))
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// chance is true with a probability.
func (w *world) chance(p float64) bool {
	return p > 0 && w.rng.Float64() < p
}

// after schedules f. With a node, f runs only in the node's present process,
// and while the node is frozen it waits.
func (w *world) after(d time.Duration, n *node, f func()) {
	w.sequence++
	run := f
	if n != nil {
		process := n.process
		run = func() {
			switch {
			case n.process != process || n.leaser == nil:
			case w.now.Before(n.frozenUntil):
				w.after(n.frozenUntil.Sub(w.now), n, f)
			default:
				f()
				n.poll()
			}
		}
	}
	heap.Push(&w.events, event{at: w.now.Add(d), sequence: w.sequence, run: run})
}

// run advances the world.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// every runs f in each period on a node until its process ends.
func (w *world) every(d time.Duration, n *node, f func()) {
	w.after(d, n, func() {
		f()
		w.every(d, n, f)
	})
}

// reachable tells whether a message gets through now.
func (w *world) reachable(from, to string) bool {
	return from == to || (!w.cuts[[2]string{from, to}] && !w.chance(w.faults.linkLoss))
}

// callReachable is reachable for calls that run side by side: its chance
// depends on the time and the instances only, not on the order of calls.
func (w *world) callReachable(from, to string) bool {
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, w.now.UnixNano(), from, "/", to)
	return !w.cuts[[2]string{from, to}] && rand.New(rand.NewPCG(h.Sum64(), 2)).Float64() >= w.faults.linkLoss
}

// latency is the delay of one message.
func (w *world) latency() time.Duration {
	if w.chance(w.faults.linkDelay) {
		return w.between(0, maxDelay)
	}
	return w.between(500*time.Microsecond, 1500*time.Microsecond)
}

// send runs f on a node after the delay of a message; the message may be lost
// or repeated.
func (w *world) send(from string, to *node, f func()) {
	if w.reachable(from, to.id) {
		w.post(w.latency(), to, f)
	}
	if w.chance(w.faults.linkRepeat) {
		w.post(w.latency()+w.between(0, maxDelay), to, f)
	}
}

// post schedules f for whatever process the node then has.
func (w *world) post(d time.Duration, n *node, f func()) {
	w.after(d, nil, func() {
		if n.leaser != nil {
			w.after(0, n, f)
		}
	})
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// A worldClock tells the world's time. The simulation makes no timers.
type worldClock struct {
	clockwork.Clock
	world *world
}

func (c worldClock) Now() time.Time { return c.world.now }

// A node is an instance. Its process is replaced at a restart.
type node struct {
	world       *world
	id          string
	clock       worldClock
	process     int
	leaser      *Leaser // Nil while the instance is down.
	frozenUntil time.Time
	revision    int
	platformCut bool
	deaf        bool // Heartbeats don't arrive.
	heard       map[string]time.Time
	waiting     map[*limiter.Waiter]string // Workspaces of requests that wait.
}

// boot starts a new process.
func (n *node) boot() {
	if n.leaser != nil {
		return
	}
	n.process++
	n.heard = map[string]time.Time{}
	n.waiting = map[*limiter.Waiter]string{}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	n.leaser = New(Config{
		InstanceID: n.id,
		Clock:      n.clock,
		Logger:     logger,
		Store:      nodeStore{fakeStore: n.world.store, node: n},
		Caller:     n,
		Roster:     n,
	})
	n.revision = -1
	n.install(n.world.declaration, n.world.revision)
	n.every(stepPeriod, func() {
		for _, k := range n.leaser.keepers() {
			k.step(context.Background())
		}
	})
	n.every(limiter.PrefetchPeriod, func() {
		for _, b := range n.leaser.ledger.Collect() {
			n.exchange(b, nil)
		}
	})
	n.every(500*time.Millisecond, n.beat)
}

// install installs a revision unless a later one is in force.
func (n *node) install(d declarer.Declaration, revision int) {
	if revision > n.revision {
		n.revision = revision
		n.leaser.Install(d)
	}
}

func (n *node) every(d time.Duration, f func()) {
	n.world.after(n.world.between(0, d), n, func() {
		f()
		n.world.every(d, n, f)
	})
}

// kill ends the process.
func (n *node) kill() {
	n.process++
	n.leaser = nil
	n.world.permits.dropAll(n)
}

// beat sends heartbeats.
func (n *node) beat() {
	lendings, slot := n.leaser.Lendings(), n.leaser.SlotVersion()
	for _, peer := range n.world.nodes {
		if peer != n && !peer.deaf {
			n.world.send(n.id, peer, func() {
				peer.heard[n.id] = n.world.now
				peer.leaser.ObserveLendings(n.id, lendings, slot)
			})
		}
	}
}

// Live implements Roster.
func (n *node) Live() []registrar.Instance {
	live := []registrar.Instance{{ID: n.id}}
	for id, at := range n.heard {
		if n.world.now.Sub(at) < 2*time.Second {
			live = append(live, registrar.Instance{ID: id})
		}
	}
	return live
}

// Call implements Caller for promises, which the simulation answers at once.
func (n *node) Call(_ context.Context, peer string, _ linker.Kind, request, response any) error {
	to := n.world.node(peer)
	if to == nil || to.leaser == nil || n.world.now.Before(to.frozenUntil) || !n.world.callReachable(n.id, peer) {
		return linker.ErrUnreachable
	}
	r := request.(PromiseRequest)
	promised := to.leaser.shard(r.Shard).promise(n.id, r)
	if !n.world.callReachable(peer, n.id) {
		return linker.ErrUnknownEffect
	}
	*response.(*PromiseAnswer) = PromiseAnswer{Promised: promised}
	return nil
}

// request offers one request of a workspace.
func (n *node) request(workspace string) {
	decision, w := n.leaser.ledger.Request(workspace)
	if w == nil {
		n.world.admissions.record(workspace, decision)
		return
	}
	n.waiting[w] = workspace
	n.world.after(limiter.AskTimeout, n, func() {
		if _, waits := n.waiting[w]; waits {
			delete(n.waiting, w)
			n.world.admissions.record(workspace, n.leaser.ledger.Withdraw(w, limiter.ReasonLenderUnreachable))
		}
	})
	if w.Asks {
		n.ask(w)
	}
}

// poll records the requests that were decided on.
func (n *node) poll() {
	for w, workspace := range n.waiting {
		select {
		case decision := <-w.Done():
			delete(n.waiting, w)
			n.world.admissions.record(workspace, decision)
		default:
		}
	}
}

// ask does what Borrower.ask does.
func (n *node) ask(w *limiter.Waiter) {
	batch, pause, ok := n.leaser.ledger.AskFor(w)
	switch {
	case !ok:
	case batch == nil:
		n.world.after(pause, n, func() { n.ask(w) })
	default:
		n.exchange(batch, w)
	}
}

// exchange does what Borrower.exchange does, and goes on asking for w.
func (n *node) exchange(b *limiter.Batch, w *limiter.Waiter) {
	done := false
	end := func(waiting []*limiter.Waiter) {
		done = true
		for _, other := range waiting {
			n.ask(other)
		}
		if w != nil {
			n.ask(w)
		}
	}
	n.world.after(limiter.AskTimeout, n, func() {
		if !done {
			end(n.leaser.ledger.Abandon(b, true))
		}
	})
	process := n.process
	answered := func(answer limiter.BorrowAnswer) {
		if !done && n.process == process {
			end(n.leaser.ledger.Deliver(b, answer))
		}
	}
	lender := n.world.node(b.Lender)
	if lender == nil {
		return
	}
	n.world.send(n.id, lender, func() {
		answer := lender.leaser.lender.Lend(n.id, b.Request)
		n.world.send(lender.id, n, func() { answered(answer) })
	})
}
