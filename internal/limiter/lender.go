package limiter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// shardMoveDelay is how long nothing is lent after a change of the number of
// rate shards, which moves subjects between lenders without a change of
// leases. It is longer than a revision takes to be in force everywhere (18 s)
// and the contracts after it.
const shardMoveDelay = 30 * time.Second

// A Lender keeps the pools of the rate shards that this instance lends. A
// shard is lent only while its lease is valid by this process's clock.
type Lender struct {
	clock Clock
	self  string

	mu     sync.RWMutex
	shards []*lenderShard // By shard number; replaced when their number changes.
}

// A lenderShard holds the pools of one rate shard.
type lenderShard struct {
	number int

	mu         sync.Mutex
	term       lendingTerm // Its epoch is zero when the shard is not lent.
	validUntil time.Time
	pools      map[string]*pool
	subjects   map[string]subject // What is declared, whether lent or not.
	slots      SlotTable

	// confirmed is the version of slots that holders may rely on. A gained
	// slot is confirmed at confirmAt: until then the pools may still have
	// lent tokens that are now the slot's.
	confirmed int64
	confirmAt time.Time
}

// A subject is something declared that can be lent.
type subject struct {
	division Division
	reusable bool
}

// NewLender returns a lender that lends nothing yet.
func NewLender(clock Clock, self string) *Lender {
	return &Lender{clock: clock, self: self}
}

// Install takes over the workspaces and engines of a new revision.
func (l *Lender) Install(d declarer.Declaration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	count := max(1, d.Limits.RateShards)
	moved := len(l.shards) != 0 && len(l.shards) != count
	l.resize(count)
	declared := declaredSubjects(d)
	for _, s := range l.shards {
		s.install(declared[s.number], moved, now)
	}
}

// resize makes count shards. Shards that stay keep their lease. The caller
// holds mu.
func (l *Lender) resize(count int) {
	l.shards = slices.Clone(l.shards[:min(len(l.shards), count)])
	for n := len(l.shards); n < count; n++ {
		l.shards = append(l.shards, &lenderShard{number: n, pools: make(map[string]*pool)})
	}
}

// declaredSubjects lists what can be lent, by shard.
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

// Shards is the number of rate shards.
func (l *Lender) Shards() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.shards)
}

// shard returns a shard, or nil if the number is not declared.
func (l *Lender) shard(number int) *lenderShard {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if number < 0 || number >= len(l.shards) {
		return nil
	}
	return l.shards[number]
}

// Begin starts to lend a shard after its lease was taken. All pools start
// empty.
func (l *Lender) Begin(number int, epoch int64, validUntil time.Time) {
	if s := l.shard(number); s != nil {
		s.begin(lendingTerm{Lender: l.self, Epoch: epoch}, validUntil, l.clock.Now())
	}
}

// Extend takes over a renewed lease, or one taken anew while every possible
// lender had promised not to take it. Pools and contracts stay. It reports
// false when the lease had lapsed by this process's clock, such as after a
// pause: another lender may have come and gone, so that the pools are void.
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

// SetSlots takes over the table of standing slots, which was read after the
// shard's lease was taken.
func (l *Lender) SetSlots(number int, table SlotTable) {
	if s := l.shard(number); s != nil {
		s.setSlots(table, l.clock.Now())
	}
}

// Lend answers the asks of a borrower.
func (l *Lender) Lend(borrower string, r BorrowRequest) BorrowAnswer {
	answer := BorrowAnswer{Grants: make([]Grant, 0, len(r.Asks))}
	for _, ask := range r.Asks {
		grant := Grant{Subject: ask.Subject, Status: StatusNotLender}
		if s := l.shard(ShardOf(ask.Subject, l.Shards())); s != nil {
			grant = s.lend(ask, borrower, l.clock.Now())
		}
		answer.Grants = append(answer.Grants, grant)
	}
	return answer
}

// Free is the number of tokens or permits of a subject that this instance can
// lend now.
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
	p.settle(now)
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

// ConfirmedSlots is the version of slots up to which this instance, as the
// lender of a shard, counts slots as held; zero when it does not lend.
func (l *Lender) ConfirmedSlots(number int) int64 {
	s := l.shard(number)
	if s == nil {
		return 0
	}
	lending, _ := s.lending(l.clock.Now())
	return lending.SlotVersion
}

func (s *lenderShard) begin(term lendingTerm, validUntil, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term.ID = s.term.ID
	s.term = term
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
	s.term.Epoch = epoch
	s.validUntil = later(validUntil, s.validUntil)
	return true
}

func (s *lenderShard) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

// stop ends the lending. The caller holds mu.
func (s *lenderShard) stop() {
	s.term.Epoch = 0
	s.validUntil = time.Time{}
	s.pools = make(map[string]*pool)
}

// lends tells whether the shard may lend. The caller holds mu.
func (s *lenderShard) lends(now time.Time) bool {
	return s.term.Epoch != 0 && now.Before(s.validUntil)
}

// open makes the empty pool of a subject. The caller holds mu.
func (s *lenderShard) open(name string, startedAt time.Time) {
	declared := s.subjects[name]
	s.pools[name] = newPool(name, declared.division.LenderWith(s.slots), declared.reusable, startedAt)
}

// install takes over what is declared. A subject that is new starts with an
// empty pool, as after a change of the lender, because it may have been
// declared and withdrawn before.
func (s *lenderShard) install(subjects map[string]subject, moved bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subjects = subjects
	if s.term.Epoch == 0 {
		return
	}
	if moved {
		s.pools = make(map[string]*pool, len(subjects))
		now = now.Add(shardMoveDelay)
	}
	maps.DeleteFunc(s.pools, func(name string, _ *pool) bool {
		_, kept := subjects[name]
		return !kept
	})
	for name, declared := range subjects {
		if p, ok := s.pools[name]; ok {
			p.setPart(declared.division.LenderWith(s.slots), now)
		} else {
			s.open(name, now)
		}
	}
}

func (s *lenderShard) setSlots(table SlotTable, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table.gained(s.slots) {
		s.confirmAt = now.Add(EndOfContracts)
	}
	s.slots = table
	for name, p := range s.pools {
		p.setPart(s.subjects[name].division.LenderWith(table), now)
	}
	s.confirm(now)
}

// confirm raises the confirmed version when its time has come. The caller
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
	return registrar.LenderAnnouncement{Shard: s.number, Epoch: s.term.Epoch, SlotVersion: s.confirmed}, true
}

func (s *lenderShard) lend(a Ask, borrower string, now time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lends(now) {
		return Grant{Subject: a.Subject, Status: StatusNotLender}
	}
	p, ok := s.pools[a.Subject]
	if !ok {
		return Grant{Subject: a.Subject, Status: StatusUnknownSubject}
	}
	s.term.ID++
	return p.lend(a, borrower, s.term, now)
}
