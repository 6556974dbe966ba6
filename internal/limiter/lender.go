package limiter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// reshardDelay is how long nothing is lent after a change of the number of
// rate shards, which moves subjects between lenders without a change of
// leases. It is longer than the time until a revision is in force everywhere
// (18 s) plus MaxContractLifetime.
const reshardDelay = 30 * time.Second

// A Lender keeps the pools of the rate shards that this instance lends. It
// lends a shard only while the shard's lease is valid by this process's
// clock.
type Lender struct {
	clock Clock
	self  string

	mu     sync.RWMutex
	shards []*lenderShard // By shard number; the slice is replaced when the number of shards changes.
}

// A lenderShard holds the pools of one rate shard.
type lenderShard struct {
	number int

	mu         sync.Mutex
	issuer     contractIssuer // Its epoch is zero when the shard is not lent.
	validUntil time.Time
	pools      map[string]*pool
	subjects   map[string]subject // All declared subjects of the shard, also while it is not lent.
	slots      SlotTable

	// confirmed is the version up to which slot holders may use their slots.
	// A newly held slot is confirmed at confirmAt: until then, tokens of its
	// share that the pools lent may still be in use.
	confirmed int64
	confirmAt time.Time
}

// A subject is a declared workspace or engine whose tokens or permits can be
// lent.
type subject struct {
	division Division
	reusable bool
}

// NewLender returns a lender that lends no shard yet.
func NewLender(clock Clock, self string) *Lender {
	return &Lender{clock: clock, self: self}
}

// Install applies the workspaces and engines of a new revision.
func (l *Lender) Install(d declarer.Declaration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	count := max(1, d.Limits.RateShards)
	resharded := len(l.shards) != 0 && len(l.shards) != count
	l.resize(count)
	declared := declaredSubjects(d)
	for _, s := range l.shards {
		s.install(declared[s.number], resharded, now)
	}
}

// resize changes the number of shards to count. Shards that remain keep their
// lease. The caller holds mu.
func (l *Lender) resize(count int) {
	l.shards = slices.Clone(l.shards[:min(len(l.shards), count)])
	for n := len(l.shards); n < count; n++ {
		l.shards = append(l.shards, &lenderShard{number: n, pools: make(map[string]*pool)})
	}
}

// declaredSubjects returns the declared subjects by shard.
func declaredSubjects(d declarer.Declaration) []map[string]subject {
	shards := make([]map[string]subject, max(1, d.Limits.RateShards))
	for n := range shards {
		shards[n] = make(map[string]subject)
	}
	add := func(name string, s subject) { shards[ShardOf(name, len(shards))][name] = s }
	for _, w := range d.Workspaces {
		add(WorkspaceSubject(w.Name), subject{division: Divide(w, d.Limits)})
	}
	for _, server := range d.BackendServers {
		if server.Kind == declarer.Engine && server.BatchBound > 0 {
			bound := Division{Lender: Allotment{Burst: server.BatchBound}}
			add(EngineSubject(server.Name), subject{division: bound, reusable: true})
		}
	}
	return shards
}

// Shards returns the number of rate shards.
func (l *Lender) Shards() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.shards)
}

// shard returns a shard, or nil if there is no shard of this number.
func (l *Lender) shard(number int) *lenderShard {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if number < 0 || number >= len(l.shards) {
		return nil
	}
	return l.shards[number]
}

// Begin starts lending a shard after its lease was acquired. All pools start
// empty.
func (l *Lender) Begin(number int, epoch int64, validUntil time.Time) {
	if s := l.shard(number); s != nil {
		s.begin(contractIssuer{Lender: l.self, Epoch: epoch}, validUntil, l.clock.Now())
	}
}

// Extend applies a renewed lease, or one acquired again while every possible
// lender had promised not to acquire it. Pools and contracts are kept. It
// reports false if the lease had expired by this process's clock, for example
// after a pause: another lender may have lent the shard meanwhile, so the
// pools are invalid.
func (l *Lender) Extend(number int, epoch int64, validUntil time.Time) bool {
	s := l.shard(number)
	return s != nil && s.extend(epoch, validUntil, l.clock.Now())
}

// End stops lending a shard.
func (l *Lender) End(number int) {
	if s := l.shard(number); s != nil {
		s.end()
	}
}

// SetSlots applies the table of standing slots. It must have been read after
// the shard's lease was acquired.
func (l *Lender) SetSlots(number int, table SlotTable) {
	if s := l.shard(number); s != nil {
		s.setSlots(table, l.clock.Now())
	}
}

// Lend answers the requests of a borrower.
func (l *Lender) Lend(borrower string, r BorrowRequest) BorrowAnswer {
	answer := BorrowAnswer{Grants: make([]Grant, 0, len(r.Requests))}
	for _, request := range r.Requests {
		grant := Grant{Subject: request.Subject, Status: StatusNotLender}
		if s := l.shard(ShardOf(request.Subject, l.Shards())); s != nil {
			grant = s.lend(request, borrower, l.clock.Now())
		}
		answer.Grants = append(answer.Grants, grant)
	}
	return answer
}

// Free returns the number of tokens or permits of a subject that this
// instance can lend now.
func (l *Lender) Free(subject string) float64 {
	s := l.shard(ShardOf(subject, l.Shards()))
	if s == nil {
		return 0
	}
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[subject]
	if !ok || !s.lends(now) {
		return 0
	}
	p.advance(now)
	return p.free
}

// Lendings lists the shards that this instance lends now.
func (l *Lender) Lendings() []registrar.LenderAnnouncement {
	l.mu.RLock()
	shards := l.shards
	l.mu.RUnlock()
	now := l.clock.Now()
	var lendings []registrar.LenderAnnouncement
	for _, s := range shards {
		if lending, ok := s.lending(now); ok {
			lendings = append(lendings, lending)
		}
	}
	return lendings
}

// ConfirmedSlots returns the version up to which this instance, as the lender
// of a shard, counts slots as held; zero when it does not lend the shard.
func (l *Lender) ConfirmedSlots(number int) int64 {
	s := l.shard(number)
	if s == nil {
		return 0
	}
	lending, _ := s.lending(l.clock.Now())
	return lending.SlotVersion
}

func (s *lenderShard) begin(issuer contractIssuer, validUntil, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	issuer.NextContractID = s.issuer.NextContractID
	s.issuer = issuer
	s.validUntil = validUntil
	s.slots = SlotTable{}
	s.confirmed = 0
	s.confirmAt = time.Time{}
	s.pools = make(map[string]*pool, len(s.subjects))
	for name := range s.subjects {
		s.open(name, now)
	}
}

func (s *lenderShard) extend(epoch int64, validUntil, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return false
	}
	s.issuer.Epoch = epoch
	s.validUntil = later(validUntil, s.validUntil)
	return true
}

func (s *lenderShard) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// stop ends the lending of the shard. The caller holds mu.
func (s *lenderShard) stop() {
	s.issuer.Epoch = 0
	s.validUntil = time.Time{}
	s.pools = make(map[string]*pool)
}

// lends reports whether the shard may lend. The caller holds mu.
func (s *lenderShard) lends(now time.Time) bool {
	return s.issuer.Epoch != 0 && now.Before(s.validUntil)
}

// open creates the empty pool of a subject. The caller holds mu.
func (s *lenderShard) open(name string, startedAt time.Time) {
	declared := s.subjects[name]
	s.pools[name] = newPool(name, declared.division.LenderAllotment(s.slots), declared.reusable, startedAt)
}

// install applies the declared subjects. A new subject starts with an empty
// pool, as after a change of the lender, because it may have been declared
// before and tokens lent then may still be in use.
func (s *lenderShard) install(subjects map[string]subject, resharded bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subjects = subjects
	if s.issuer.Epoch == 0 {
		return
	}
	if resharded {
		s.pools = make(map[string]*pool, len(subjects))
		now = now.Add(reshardDelay)
	}
	maps.DeleteFunc(s.pools, func(name string, _ *pool) bool {
		_, kept := subjects[name]
		return !kept
	})
	for name, declared := range subjects {
		if p, ok := s.pools[name]; ok {
			p.setAllotment(declared.division.LenderAllotment(s.slots), now)
		} else {
			s.open(name, now)
		}
	}
}

func (s *lenderShard) setSlots(table SlotTable, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table.gainedSince(s.slots) {
		s.confirmAt = now.Add(MaxContractLifetime)
	}
	s.slots = table
	for name, p := range s.pools {
		p.setAllotment(s.subjects[name].division.LenderAllotment(table), now)
	}
	s.confirm(now)
}

// confirm raises the confirmed version once confirmAt has passed. The caller
// holds mu.
func (s *lenderShard) confirm(now time.Time) {
	if s.slots.Read && !now.Before(s.confirmAt) {
		s.confirmed = max(s.confirmed, s.slots.Version)
	}
}

func (s *lenderShard) lending(now time.Time) (lending registrar.LenderAnnouncement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return registrar.LenderAnnouncement{}, false
	}
	s.confirm(now)
	return registrar.LenderAnnouncement{Shard: s.number, Epoch: s.issuer.Epoch, SlotVersion: s.confirmed}, true
}

func (s *lenderShard) lend(r LenderRequest, borrower string, now time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return Grant{Subject: r.Subject, Status: StatusNotLender}
	}
	p, ok := s.pools[r.Subject]
	if !ok {
		return Grant{Subject: r.Subject, Status: StatusUnknownSubject}
	}
	s.issuer.NextContractID++
	return p.lend(r, borrower, s.issuer, now)
}
