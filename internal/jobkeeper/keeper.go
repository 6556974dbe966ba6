package jobkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/steerer"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// shardCount is the number of parts of the table of jobs.
const shardCount = 16

// A Store is the part of the platform's store that a keeper needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
}

// Links are the links to the peers.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// Policies gives the policy in force.
type Policies interface {
	Table() *steerer.Table
}

// Terms tells whether this instance may rely on what it holds. *enroller.Enroller
// satisfies it.
type Terms interface {
	Term() (term int, held bool)
}

// Placer chooses the backend servers of items.
type Placer interface {
	Acquire(q balancer.Query) (*balancer.Placement, error)
	WaitRoom(service string) <-chan struct{}
}

// A Config holds what a keeper needs.
type Config struct {
	Self      enroller.Member
	Prefix    string // Of the keys of jobs.
	EndPrefix string // Of the keys that end jobs.
	// MembersPrefix is that of the keys of instances, which are bound to their
	// leases. A job is taken over only while its owner's key is as it was seen.
	MembersPrefix string
	Store         Store
	Links         Links
	Policies      Policies
	Terms         Terms
	Placer        Placer
	Engines       forwarder.Engines
	Retention     time.Duration // How long the results of a finished job are kept.
	Clock         storer.Clock
	Logger        logrus.FieldLogger
	Meter         metric.Meter
}

// A Keeper holds the jobs of this instance, and reads those of others.
type Keeper struct {
	cfg     Config
	shards  [shardCount]shard
	pumps   pumps
	copies  copies
	items   metric.Int64Counter
	sweeps  chan struct{} // Asks for a look at the records of all jobs.
	running conc.WaitGroup

	mu      sync.Mutex
	base    context.Context // Of all items; set by Start.
	members map[string]enroller.Member
	enders  map[string]bool // Jobs that were ended, by the keys in the store.
	// creating holds the jobs whose acceptance is being written.
	creating map[string]bool
	// doubted holds the jobs whose acceptance may have been written, though its
	// answer was lost.
	doubted map[string]bool
	// lapsed holds the instances that vanished or leave, and whether this instance
	// has looked for their jobs since.
	lapsed map[string]bool
	// adopted tells since when jobs are this instance's, for those that came lately.
	adopted map[string]time.Time
	// verified is the term in which the records of all owned jobs were seen.
	verified int
	leaving  bool
}

type shard struct {
	mu   sync.Mutex
	jobs map[string]*job // By job ID.
}

// New registers the handlers of a keeper. It is called before the links start.
func New(cfg Config) (k *Keeper, err error) {
	defer func() { err = merry.Prepend(err, "make a keeper of jobs") }()
	k = &Keeper{
		cfg:     cfg,
		sweeps:  make(chan struct{}, 1),
		members: map[string]enroller.Member{},
		enders:  map[string]bool{},

		creating: map[string]bool{},
		doubted:  map[string]bool{},
		lapsed:   map[string]bool{},
		adopted:  map[string]time.Time{},
	}
	for i := range k.shards {
		k.shards[i].jobs = map[string]*job{}
	}
	k.pumps.init(k)
	k.copies.init()
	cfg.Links.Handle(linker.KindJob, linker.HandlerFunc(k.handleJob))
	k.items, err = cfg.Meter.Int64Counter("jobkeeper.runs", metric.WithDescription("Runs of items by what ended them"))
	return k, err
}

func (k *Keeper) shard(id string) *shard {
	return &k.shards[xxhash.Sum64String(id)%shardCount]
}

func (k *Keeper) owned(id string) (*job, bool) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	return j, ok
}

// Start runs items and looks for jobs without owner until the context ends.
// Then it writes the results that are not in the store yet.
func (k *Keeper) Start(ctx context.Context) <-chan error {
	k.mu.Lock()
	k.base = ctx
	k.mu.Unlock()
	ended := make(chan error, 1)
	var loops conc.WaitGroup
	k.running.Go(func() { k.saveLoop(ctx) })
	loops.Go(func() {
		defer close(ended)
		k.sweepLoop(ctx)
		k.running.Wait()
		ended <- k.flushAll(context.WithoutCancel(ctx))
	})
	return ended
}

// SetMembers says which instances may own jobs. The jobs of one that vanished or
// leaves fall to one heir, which looks for them.
func (k *Keeper) SetMembers(m enroller.Membership) {
	members := make(map[string]enroller.Member, len(m.Peers))
	for _, peer := range m.Peers {
		members[peer.ID] = peer
	}
	k.mu.Lock()
	for id, former := range k.members {
		if now, present := members[id]; !present || now.Leaving && !former.Leaving {
			k.lapsed[id] = false
		}
	}
	for id, member := range members {
		if canOwn(member) {
			delete(k.lapsed, id)
		}
	}
	k.members = members
	due := len(k.inheritances()) > 0
	k.mu.Unlock()
	if due {
		k.askSweep()
	}
}

// inheritances are the lapsed instances whose jobs fall to this instance and were
// not looked for yet. The lock is held.
func (k *Keeper) inheritances() (ids []string) {
	for id, looked := range k.lapsed {
		if !looked && k.heir(id) == k.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (k *Keeper) askSweep() {
	select {
	case k.sweeps <- struct{}{}:
	default:
	}
}

// Submit accepts a job once, also where it is submitted again. A nil refusal
// means that the job is kept.
func (k *Keeper) Submit(ctx context.Context, m Manifest) *refuser.Refusal {
	if j, ok := k.owned(m.Job); ok {
		return sameWorkspace(j.manifest.Workspace, m.Workspace)
	}
	if k.isLeaving() {
		return refuser.New(refuser.Draining, refuser.NotRun, "the instance is leaving")
	}
	record := Record{
		Owner:       k.cfg.Self.ID,
		Incarnation: k.cfg.Self.Incarnation,
		Workspace:   m.Workspace,
		SubmittedAt: m.SubmittedAt,
		Total:       len(m.Items),
	}
	if !k.beginCreating(m.Job) {
		refusal := refuser.New(refuser.InDoubt, refuser.Unknown, "the job is being submitted by another request")
		return refusal
	}
	defer k.endCreating(m.Job)
	created, version, err := k.create(ctx, m, &record)
	if err != nil {
		return k.submitRefusal(m, err)
	}
	if created {
		k.adopt(newJob(m, record, version, nil))
		k.log(m.Job).WithFields(logrus.Fields{"workspace": m.Workspace, "items": len(m.Items), "version": version}).Info("job accepted")
		return nil
	}
	known, _, err := k.readRecord(ctx, m.Job)
	if err != nil {
		return refuser.New(refuser.InDoubt, refuser.Unknown, "the job exists but its record cannot be read now")
	}
	k.log(m.Job).WithFields(logrus.Fields{"workspace": m.Workspace, "owner": known.Owner}).Info("job was accepted before")
	if known.Owner == k.cfg.Self.ID {
		k.askSweep() // It was accepted by a write whose answer was lost.
	}
	return sameWorkspace(known.Workspace, m.Workspace)
}

func (k *Keeper) beginCreating(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.creating[id] {
		return false
	}
	k.creating[id] = true
	return true
}

func (k *Keeper) endCreating(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.creating, id)
}

// certain reports whether this instance surely still owns the jobs in its table.
func (k *Keeper) certain() bool {
	term, held := k.cfg.Terms.Term()
	k.mu.Lock()
	verified := k.verified
	k.mu.Unlock()
	if held && verified != term {
		k.askSweep()
	}
	return held && verified == term
}

func sameWorkspace(a, b string) *refuser.Refusal {
	if a == b {
		return nil
	}
	return refuser.New(refuser.JobConflict, refuser.NotRun, "another workspace submitted a job with this ID")
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// Leave stops the items of this instance; other instances take its jobs over.
func (k *Keeper) Leave() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
}

// adopt puts a job into the table and starts its open items.
func (k *Keeper) adopt(j *job) {
	s := k.shard(j.manifest.Job)
	s.mu.Lock()
	s.jobs[j.manifest.Job] = j
	s.mu.Unlock()
	k.mu.Lock()
	k.adopted[j.manifest.Job] = k.now()
	k.mu.Unlock()
	if k.hasEnded(j.manifest.Job) {
		k.endLocal(j)
		return
	}
	j.mu.Lock()
	open := make([]*work, 0, len(j.open))
	for i := range j.manifest.Items {
		if w, ok := j.open[j.manifest.Items[i].ID]; ok {
			open = append(open, w)
		}
	}
	j.mu.Unlock()
	for _, w := range open {
		k.pumps.add(w)
	}
}

// drop removes a job that another instance owns now.
func (k *Keeper) drop(j *job) {
	s := k.shard(j.manifest.Job)
	s.mu.Lock()
	if s.jobs[j.manifest.Job] == j {
		delete(s.jobs, j.manifest.Job)
	}
	s.mu.Unlock()
	k.stopItems(j)
}

// stopItems ends the items of a job that run or wait.
func (k *Keeper) stopItems(j *job) {
	j.mu.Lock()
	j.ended = true
	for _, w := range j.open {
		w.stop()
	}
	j.announce()
	j.mu.Unlock()
}

func (k *Keeper) log(job string) *logrus.Entry {
	return k.cfg.Logger.WithField("job", job)
}

func (k *Keeper) now() time.Time { return k.cfg.Clock.Now() }
