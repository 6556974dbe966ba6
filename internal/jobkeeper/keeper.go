package jobkeeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/admitter"
	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// shardCount is the number of shards of the job table.
	shardCount = 16
	// cacheDivisor is the part of Config.MaxHeldBytes for cached results.
	cacheDivisor = 2
)

// A Store is the part of the platform's store that a keeper needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	List(ctx context.Context, prefix string) (storer.Listing, error)
	Commit(ctx context.Context, t storer.Transaction) (version int64, err error)
}

// Links calls peers and handles their calls.
type Links interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
	Handle(kind linker.Kind, h linker.Handler)
}

// Policies provides the policy in force.
type Policies interface {
	Table() *routefinder.Table
}

// Terms reports the current enrollment term and whether this instance holds its
// lease. *enroller.Enroller satisfies it.
type Terms interface {
	Term() (term int, held bool)
}

// Placer chooses the backend servers of items, and tells whether a server survived the
// loss of a connection.
type Placer interface {
	Acquire(q balancer.Query) (*balancer.Placement, error)
	Replace(old *balancer.Placement, q balancer.Query) (*balancer.Placement, error)
	WaitCapacity(service string) <-chan struct{}
	Versions(service string) []string
	JudgeLoss(server string, at time.Time) balancer.LossVerdict
}

// A Config holds the settings and dependencies of a keeper.
type Config struct {
	Self      enroller.Member
	Prefix    string // Prefix of the keys of jobs.
	EndPrefix string // Prefix of the keys that mark jobs as ended.
	// MembersPrefix is the prefix of the keys of instances, which are bound to
	// their leases. A job is taken over only if its owner's key has not changed
	// since it was read.
	MembersPrefix string
	Store         Store
	Links         Links
	Policies      Policies
	Terms         Terms
	Placer        Placer
	BackendClient forwarder.BackendClient
	// MaxHeldBytes limits the manifests of open jobs that this instance accepts; 0 means no
	// limit. Jobs that it takes over count, but are not refused. A part of it limits, beside
	// that, the cached results of other instances' jobs.
	MaxHeldBytes int64
	Retention    time.Duration // How long a job and its results are kept after its submission.
	Clock        storer.Clock
	Logger       logrus.FieldLogger
	Meter        metric.Meter
}

// A Keeper runs the jobs of this instance and reads those of others.
type Keeper struct {
	cfg           Config
	shards        [shardCount]shard
	queues        queueSet
	cache         jobCache
	endless       endlessAnswerSet
	memory        *jobMemory
	admitter      *admitter.Admitter
	items         metric.Int64Counter
	sweepRequests chan struct{} // Requests a scan of the records of all jobs.
	orphans       orphanSet
	running       conc.WaitGroup

	mu      sync.Mutex
	runCtx  context.Context // Parent of the contexts of all items; set by Start.
	members map[string]enroller.Member
	// membersKnown is false until the first SetMembers. Before that this instance
	// cannot tell which jobs have no owner, and succeeds nobody.
	membersKnown bool
	endedJobs    map[string]bool // Jobs that were ended, by job ID.
	// storedEnds holds the versions of the ends of the last ApplyEnds, by job ID.
	storedEnds map[string]int64
	// creating holds the jobs that are being written to the store.
	creating map[string]bool
	// inDoubt holds the jobs that may have been written to the store although the
	// response was lost.
	inDoubt      map[string]bool
	departed     map[string]*departure  // Instances that vanished or are leaving, by ID.
	scannedAt    time.Time              // When the records of all jobs were last read.
	peersWaiting map[string]peerWaiting // By instance ID; also of some that are no members any more.
	allReported  bool                   // All members have reported since this instance started.
	// ownedSince holds the time from which this instance owns a job, for jobs that
	// are still reported to peers as newly owned.
	ownedSince map[string]time.Time
	// verifiedTerm is the last term in which the records of all owned jobs were
	// checked.
	verifiedTerm int
	leaving      bool
}

type shard struct {
	mu   sync.Mutex
	jobs map[string]*job // By job ID.
}

// New returns a keeper and registers its handlers. It must be called before the
// links start.
func New(cfg Config) (k *Keeper, err error) {
	defer func() { err = merry.Prepend(err, "create job keeper") }()
	k = &Keeper{
		cfg:           cfg,
		memory:        newJobMemory(cfg.MaxHeldBytes),
		admitter:      admitter.New(cfg.Clock),
		sweepRequests: make(chan struct{}, 1),
		members:       map[string]enroller.Member{},
		endedJobs:     map[string]bool{},

		creating: map[string]bool{},
		inDoubt:  map[string]bool{},
		departed: map[string]*departure{},

		peersWaiting: map[string]peerWaiting{},
		ownedSince:   map[string]time.Time{},
	}
	for i := range k.shards {
		k.shards[i].jobs = map[string]*job{}
	}
	k.queues.init(k)
	k.cache.init(cfg.MaxHeldBytes / cacheDivisor)
	cfg.Links.Handle(linker.KindJob, linker.HandlerFunc(k.handleJob))
	k.items, err = cfg.Meter.Int64Counter("jobkeeper.runs", metric.WithDescription("Runs of items by what ended them"))
	return k, errors.Join(err, k.memory.register(cfg.Meter))
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

// Start runs items and scans for jobs without an owner until the context ends.
// Then it writes the pending results to the store.
func (k *Keeper) Start(ctx context.Context) <-chan error {
	k.mu.Lock()
	k.runCtx = ctx
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

// SetMembers sets the instances that may own jobs. One successor takes over the
// jobs of an instance that vanished or is leaving.
func (k *Keeper) SetMembers(m enroller.Membership) {
	members := make(map[string]enroller.Member, len(m.Peers))
	for _, peer := range m.Peers {
		members[peer.ID] = peer
	}
	k.mu.Lock()
	k.forgetDeparted()
	for id, former := range k.members {
		if now, present := members[id]; !present || now.Leaving && !former.Leaving {
			k.departed[id] = &departure{at: k.now()}
		}
	}
	for id, member := range members {
		if canOwnJobs(member) {
			delete(k.departed, id)
		}
	}
	first := !k.membersKnown
	k.members, k.membersKnown = members, true
	pending := first || len(k.pendingTakeovers()) > 0
	k.mu.Unlock()
	if pending {
		k.requestSweep()
	}
}

// forgetDeparted forgets what is known of instances that went more than departureRetention
// ago. The caller holds k.mu.
func (k *Keeper) forgetDeparted() {
	now := k.now()
	for id, d := range k.departed {
		if now.Sub(d.at) > departureRetention {
			delete(k.departed, id)
		}
	}
	for id, report := range k.peersWaiting {
		if _, member := k.members[id]; !member && now.Sub(report.reportedAt) > departureRetention {
			delete(k.peersWaiting, id)
		}
	}
}

// pendingTakeovers returns the departed instances that this instance succeeds and
// whose jobs it has to scan for. The caller holds k.mu.
func (k *Keeper) pendingTakeovers() (ids []string) {
	now := k.now()
	for id, d := range k.departed {
		if d.needsScan(now) && k.successor(id) == k.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// A departure is what this instance knows of an instance that vanished or is leaving.
type departure struct {
	at          time.Time // When its entry was first missing, or said that it leaves.
	scans       int       // Scans for its jobs since.
	firstScanAt time.Time
}

// needsScan reports whether the records have to be scanned for jobs of the instance:
// at once, and again when none of its writes can take effect any more.
func (d *departure) needsScan(now time.Time) bool {
	return d.scans == 0 || d.scans == 1 && now.Sub(d.firstScanAt) >= inDoubtPeriod
}

func (k *Keeper) requestSweep() {
	select {
	case k.sweepRequests <- struct{}{}:
	default:
	}
}

// Submit accepts a job. Submitting the same job again has no effect. A nil
// refusal means that the job is in the store.
func (k *Keeper) Submit(ctx context.Context, m Manifest) *refuser.Refusal {
	if j, ok := k.owned(m.Job); ok {
		return checkSameWorkspace(j.manifest.Workspace, m.Workspace)
	}
	if k.isLeaving() {
		return refuser.New(refuser.Draining, refuser.NotRun, "the instance is leaving")
	}
	if _, held := k.cfg.Terms.Term(); !held {
		// Nobody would take the job over if this instance were lost now.
		refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the instance is not enrolled")
		refusal.RetryAfter = submitRetryAfter
		return refusal
	}
	if refusal := k.checkManifest(m); refusal != nil {
		return k.refuseUnlessAccepted(ctx, m, refusal)
	}
	held := m.heldBytes()
	if !k.memory.take(m.Workspace, held) {
		return k.refuseUnlessAccepted(ctx, m, memoryRefusal())
	}
	accepted := false
	defer func() {
		if !accepted {
			k.memory.add(m.Workspace, -held)
		}
	}()
	m.Guarantees = k.currentGuarantees(m)
	record := Record{
		Owner:       k.cfg.Self.ID,
		Incarnation: k.cfg.Self.Incarnation,
		Workspace:   m.Workspace,
		Route:       m.Route,
		SubmittedAt: m.SubmittedAt,
		Total:       len(m.Items),
		Tokens:      m.tokens(),

		WaitingTokens: m.tokens(),
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
		accepted = true
		k.addOwned(newJob(m, record, version, nil))
		k.log(m.Job).WithFields(logrus.Fields{"workspace": m.Workspace, "items": len(m.Items), "version": version}).Info("job accepted")
		return nil
	}
	known, _, err := k.readRecord(ctx, m.Job)
	if err != nil {
		return refuser.New(refuser.InDoubt, refuser.Unknown, "the job exists but its record cannot be read now")
	}
	k.log(m.Job).WithFields(logrus.Fields{"workspace": m.Workspace, "owner": known.Owner}).Info("job had already been accepted")
	if known.Owner == k.cfg.Self.ID {
		k.requestSweep() // An earlier write took effect although its response was lost.
	}
	return checkSameWorkspace(known.Workspace, m.Workspace)
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

// confirmsOwnership reports whether this instance holds its lease and has checked
// the records of its jobs in the current term. If not, another instance may have
// taken over jobs in its table.
func (k *Keeper) confirmsOwnership() bool {
	term, held := k.cfg.Terms.Term()
	k.mu.Lock()
	verified := k.verifiedTerm
	k.mu.Unlock()
	if held && verified != term {
		k.requestSweep()
	}
	return held && verified == term
}

// mayAccess reports whether callers of a workspace may read and end a job of another one.
// A job without a workspace was submitted by a caller without a key.
func mayAccess(workspace, ofJob string) bool { return ofJob == "" || ofJob == workspace }

func checkSameWorkspace(known, submitted string) *refuser.Refusal {
	if mayAccess(submitted, known) {
		return nil
	}
	return refuser.New(refuser.JobConflict, refuser.NotRun, "another workspace submitted a job with this ID")
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// Leave stops new runs of items; other instances take over the jobs.
func (k *Keeper) Leave() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
}

// addOwned adds a job to the table and queues its unfinished items.
func (k *Keeper) addOwned(j *job) {
	s := k.shard(j.manifest.Job)
	s.mu.Lock()
	former := s.jobs[j.manifest.Job]
	s.jobs[j.manifest.Job] = j
	s.mu.Unlock()
	if former != nil { // Of an earlier term.
		former.mu.Lock()
		k.releaseItems(former)
		former.mu.Unlock()
	}
	k.mu.Lock()
	k.ownedSince[j.manifest.Job] = k.now()
	k.mu.Unlock()
	if k.hasEnded(j.manifest.Job) {
		k.endLocal(j)
		return
	}
	j.mu.Lock()
	tasks := make([]*task, 0, len(j.unfinished))
	for i := range j.items {
		item := &j.items[i]
		if t, ok := j.unfinished[item.ID]; ok && t.item == item { // Once for each ID.
			tasks = append(tasks, t)
		}
	}
	k.scheduleFlush(j)
	j.mu.Unlock()
	for _, t := range tasks {
		k.queues.enqueue(t)
	}
}

// dropOwned removes a job that expired or that another instance owns now.
func (k *Keeper) dropOwned(j *job) {
	s := k.shard(j.manifest.Job)
	s.mu.Lock()
	if s.jobs[j.manifest.Job] == j {
		delete(s.jobs, j.manifest.Job)
	}
	s.mu.Unlock()
	j.mu.Lock()
	j.dropped = true
	j.mu.Unlock()
	k.stopItems(j)
}

// stopItems cancels the running and queued items of a job.
func (k *Keeper) stopItems(j *job) {
	j.mu.Lock()
	j.ended = true
	for _, t := range j.unfinished {
		t.stop()
	}
	k.releaseItems(j)
	j.notifyReaders()
	j.mu.Unlock()
}

func (k *Keeper) log(job string) *logrus.Entry {
	return k.cfg.Logger.WithField("job", job)
}

func (k *Keeper) now() time.Time { return k.cfg.Clock.Now() }
