package retrier

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// crashesToSuspectPart is the number of crashes after which a part of prompts is
	// quarantined. Fewer are too easily due to other requests or causes.
	crashesToSuspectPart = 3
	// crashSpacing is the time between two crashes that count one by one. Crashes that
	// are closer have a common cause as likely as not.
	crashSpacing = 250 * time.Millisecond
	// The first trial of a quarantined part is due firstTrialDelay after its last
	// crash. Each further crash triples the delay, up to maxTrialDelay.
	firstTrialDelay = 10 * time.Second
	maxTrialDelay   = 10 * time.Minute
	// partMemory is how long a part is remembered after its last crash.
	partMemory = 15 * time.Minute
	// partReportTime is how long news of a part are reported to peers. It covers
	// several exchanges.
	partReportTime = 2 * time.Second
	// quarantineReportPeriod is the time between two repetitions of a quarantine to
	// peers, each of which lasts for quarantineReportTime, somewhat longer than the
	// time between two exchanges. Peers also read quarantines from the store.
	quarantineReportPeriod = 5 * time.Second
	quarantineReportTime   = 400 * time.Millisecond
	// maxReportedParts and maxPartCrashes bound the reports.
	maxReportedParts = 64
	maxPartCrashes   = 12
	partShards       = 16
	// maxPartsPerShard bounds the suspects and the answered parts of a shard.
	maxPartsPerShard = 1024
)

// A PartDigest identifies a part of a prompt, such as a system prompt or a document,
// that requests share.
type PartDigest [16]byte

// DigestPart returns the digest of a part of prompts for the servers of a scope, such
// as a service.
func DigestPart(scope, part string) (d PartDigest) {
	sum := sha256.Sum256([]byte(scope + "\x00" + part))
	copy(d[:], sum[:])
	return d
}

// String returns the digest in hexadecimal.
func (d PartDigest) String() string { return hex.EncodeToString(d[:]) }

// A PartCrash is a crash of a server before it answered a request with the part.
type PartCrash struct {
	Server  string        `cbor:"server"`
	Request string        `cbor:"request"` // Tells different requests apart.
	Age     time.Duration `cbor:"age"`     // Since the crash; at least zero.
}

// A PartReport is what an instance knows of a part. It holds ages instead of times, as
// clocks differ.
type PartReport struct {
	Part    PartDigest  `cbor:"part"`
	Crashes []PartCrash `cbor:"crashes,omitempty"`
	// AnsweredAge is the time since a server last began to answer a request with the
	// part; negative if none is known to have.
	AnsweredAge time.Duration `cbor:"answered-age"`
}

// A PartState tells whether requests with a part may run.
type PartState int

// The states of parts.
const (
	PartSound       PartState = iota // Requests with it run.
	PartQuarantined                  // Requests with it are refused.
	PartOnTrial                      // One request may try whether it still crashes servers.
)

// A PartsConfig holds the dependencies of Parts.
type PartsConfig struct {
	Clock  clock
	Judge  LossJudge
	Logger logrus.FieldLogger
}

// A LossJudge tells what became of a server that dropped a connection.
type LossJudge interface {
	// Survived reports whether the server runs on.
	Survived(server string, at time.Time) bool
	// Crashed reports whether the server has crashed. If it reports false, and
	// Survived as well, the answer is not known yet.
	Crashed(server string, at time.Time) bool
}

// ConfirmedLosses is the judge where only losses of servers that have crashed are
// recorded.
type ConfirmedLosses struct{}

// Survived implements LossJudge.
func (ConfirmedLosses) Survived(string, time.Time) bool { return false }

// Crashed implements LossJudge.
func (ConfirmedLosses) Crashed(string, time.Time) bool { return true }

// Parts tracks the parts of prompts that may crash each server that begins to answer a
// request with them, whatever else the request holds. A part is quarantined when
// several servers crashed before they answered different requests with it, and none
// has begun to answer such a request since. It is shared by requests of many callers,
// so a single answer that begins clears it.
type Parts struct {
	cfg     PartsConfig
	changed chan struct{}
	shards  [partShards]partShard
}

type partShard struct {
	mu       sync.Mutex
	records  map[PartDigest]*partRecord // Suspects only.
	answered map[PartDigest]time.Time   // When a server last began to answer a request with the part.
}

// A partRecord is a part under suspicion.
type partRecord struct {
	losses     []partCrash // Without a verdict.
	crashes    []partCrash // Oldest first.
	answeredAt time.Time   // Zero if no answer is known to have begun.
	changedAt  time.Time   // When something became known that peers may not know.
	// stored is the number of crashes and trials in the stored quarantine, and storedAt
	// the time at which this instance learned of it. storedAt is zero if there is none.
	stored   int
	storedAt time.Time
	// claimed means that this instance counted the crash that quarantined the part and
	// has to store the quarantine.
	claimed bool
}

// A partCrash is a crash or a loss at a time of this instance's clock.
type partCrash struct {
	server, request string
	at              time.Time
}

// NewParts returns a tracker that knows of no part.
func NewParts(cfg PartsConfig) *Parts {
	p := &Parts{cfg: cfg, changed: make(chan struct{}, 1)}
	for i := range p.shards {
		p.shards[i].records = map[PartDigest]*partRecord{}
		p.shards[i].answered = map[PartDigest]time.Time{}
	}
	return p
}

func (p *Parts) shard(d PartDigest) *partShard { return &p.shards[d[0]%partShards] }

// Changed receives after parts were quarantined or cleared.
func (p *Parts) Changed() <-chan struct{} { return p.changed }

func (p *Parts) signalChanged() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// RecordLoss records that a server dropped a request with these parts before it began
// to answer.
func (p *Parts) RecordLoss(parts []PartDigest, server, request string) {
	now := p.cfg.Clock.Now()
	request = strconv.FormatUint(xxhash.Sum64String(request), 36) // Short, as it is sent to all peers.
	for _, d := range parts {
		p.update(d, now, true, func(rec *partRecord) {
			rec.losses = append(rec.losses, partCrash{server: server, request: request, at: now})
			rec.losses = rec.losses[max(0, len(rec.losses)-maxPartCrashes):]
		})
	}
}

// RecordAnswer records that a server began to answer a request with these parts.
func (p *Parts) RecordAnswer(parts []PartDigest) {
	now := p.cfg.Clock.Now()
	for _, d := range parts {
		p.shard(d).recordAnswer(d, now)
		p.update(d, now, false, func(rec *partRecord) { rec.recordAnswer(now, now) })
	}
}

func (s *partShard) recordAnswer(d PartDigest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.answered[d]; !known && len(s.answered) >= maxPartsPerShard {
		for other := range s.answered {
			delete(s.answered, other) // An arbitrary one; its time only matters if it is suspected soon.
			break
		}
	}
	s.answered[d] = now
}

// State returns the state of the first of the parts that is not sound, and that part.
func (p *Parts) State(parts []PartDigest) (PartState, PartDigest) {
	now := p.cfg.Clock.Now()
	for _, d := range parts {
		state := PartSound
		p.update(d, now, false, func(rec *partRecord) { state = rec.state(now) })
		if state != PartSound {
			return state, d
		}
	}
	return PartSound, PartDigest{}
}

// update applies a change to the record of a part, which it creates if asked to, and
// settles the losses that have a verdict.
func (p *Parts) update(d PartDigest, now time.Time, create bool, change func(rec *partRecord)) {
	s := p.shard(d)
	s.mu.Lock()
	rec := s.records[d]
	if rec == nil && create {
		s.makeRoom(now)
		rec = &partRecord{answeredAt: s.answered[d]}
		s.records[d] = rec
	}
	if rec == nil {
		s.mu.Unlock()
		return
	}
	before := rec.quarantined(now)
	p.settle(rec, now)
	change(rec)
	p.settle(rec, now)
	if !create && rec.obsolete(now) {
		delete(s.records, d)
	}
	after, crashes := rec.quarantined(now), len(rec.counted())
	s.mu.Unlock()
	if before != after {
		p.cfg.Logger.WithFields(logrus.Fields{"part": d.String(), "crashes": crashes, "quarantined": after}).Warn("belief about a part of prompts changed")
		p.signalChanged()
	}
}

// settle turns the losses under which servers crashed into crashes and drops those
// that servers survived. The caller holds the lock.
func (p *Parts) settle(rec *partRecord, now time.Time) {
	rec.losses = slices.DeleteFunc(rec.losses, func(l partCrash) bool {
		switch {
		case p.cfg.Judge.Crashed(l.server, l.at):
			if rec.addCrash(l) {
				rec.changedAt = now
				rec.claimed = true
			}
			return true
		default:
			return p.cfg.Judge.Survived(l.server, l.at)
		}
	})
}

// recordAnswer records an answer that began at a time, if it is the latest.
func (rec *partRecord) recordAnswer(at, now time.Time) {
	if !at.After(rec.answeredAt) {
		return
	}
	if rec.clearedBy(at) {
		rec.changedAt = now
	}
	rec.answeredAt = at
}

// clearedBy reports whether an answer at a time clears something that counts.
func (rec *partRecord) clearedBy(at time.Time) bool {
	return !rec.storedAt.IsZero() && !rec.storedAt.After(at) ||
		slices.ContainsFunc(rec.counted(), func(c partCrash) bool { return !c.at.After(at) })
}

// addCrash adds a crash unless it is known or an answer has begun since.
func (rec *partRecord) addCrash(c partCrash) bool {
	if !c.at.After(rec.answeredAt) {
		return false
	}
	known := slices.ContainsFunc(rec.crashes, func(other partCrash) bool {
		return other.server == c.server && other.at.Sub(c.at).Abs() < sameCrashWindow
	})
	if known {
		return false
	}
	rec.crashes = append(rec.crashes, c)
	slices.SortFunc(rec.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	rec.crashes = rec.crashes[max(0, len(rec.crashes)-maxPartCrashes):]
	return true
}

// counted returns the crashes since the last answer that count: under different
// requests, and crashSpacing apart.
func (rec *partRecord) counted() (counted []partCrash) {
	for _, c := range rec.crashes {
		if !c.at.After(rec.answeredAt) {
			continue
		}
		related := slices.ContainsFunc(counted, func(other partCrash) bool {
			return other.request == c.request || c.at.Sub(other.at) < crashSpacing
		})
		if !related {
			counted = append(counted, c)
		}
	}
	return counted
}

// quarantined reports whether the part is quarantined or on trial.
func (rec *partRecord) quarantined(now time.Time) bool {
	return rec.state(now) != PartSound
}

func (rec *partRecord) state(now time.Time) PartState {
	trialAt := time.Time{}
	if counted := rec.counted(); len(counted) >= crashesToSuspectPart {
		last := counted[len(counted)-1].at
		if now.Sub(last) < partMemory {
			trialAt = last.Add(trialDelay(len(counted)))
		}
	}
	if rec.storedAt.After(rec.answeredAt) {
		trialAt = later(trialAt, rec.storedAt.Add(trialDelay(rec.stored)))
	}
	switch {
	case trialAt.IsZero():
		return PartSound
	case now.Before(trialAt):
		return PartQuarantined
	default:
		return PartOnTrial
	}
}

// trialDelay returns the time from the last of n crashes to the next trial.
func trialDelay(n int) time.Duration {
	d := firstTrialDelay
	for range n - crashesToSuspectPart {
		d = min(3*d, maxTrialDelay)
	}
	return d
}

// obsolete reports whether nothing about the part matters any more.
func (rec *partRecord) obsolete(now time.Time) bool {
	recent := func(c partCrash) bool { return now.Sub(c.at) < partMemory }
	return len(rec.losses) == 0 && rec.storedAt.IsZero() && now.Sub(rec.changedAt) >= partReportTime && !slices.ContainsFunc(rec.counted(), recent)
}

// makeRoom drops obsolete records if the shard is full and, if it still is, the one
// that has been without news for longest. The caller holds the lock.
func (s *partShard) makeRoom(now time.Time) {
	if len(s.records) < maxPartsPerShard {
		return
	}
	var oldest PartDigest
	var oldestRecord *partRecord
	for d, rec := range s.records {
		if rec.obsolete(now) {
			delete(s.records, d)
			continue
		}
		if oldestRecord == nil || rec.changedAt.Before(oldestRecord.changedAt) {
			oldest, oldestRecord = d, rec
		}
	}
	if len(s.records) >= maxPartsPerShard {
		delete(s.records, oldest)
	}
}
