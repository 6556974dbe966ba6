package retrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const (
	loadStep         = 10 * time.Millisecond
	loadReportPeriod = 300 * time.Millisecond
	verdictDelay     = 500 * time.Millisecond // From a crash until probes tell of it.
	restartDelay     = 3 * time.Second
	answerDelay      = 300 * time.Millisecond // From a request to the beginning of its answer.
	crashDelay       = 150 * time.Millisecond
)

// A partsLoad plays the requests of a fleet. Servers crash when they begin to answer a
// request with the deadly part, and at times by themselves; they drop all requests that
// they have not answered yet.
type partsLoad struct {
	t         *testing.T
	random    *rand.Rand
	clock     *clockwork.FakeClock
	start     time.Time
	instances []*partsTest
	servers   []*loadServer
	requests  int

	deadlySent     []time.Time // When requests with the deadly part reached servers.
	partCrashes    []time.Time
	sound, refused int
}

type loadServer struct {
	name      string
	downUntil time.Time
	waiting   []loadRequest
}

type loadRequest struct {
	id       string
	instance *partsTest
	parts    []PartDigest
	dueAt    time.Time // When the answer, or the crash, begins.
	deadly   bool
}

// loadVerdicts tells of crashes after verdictDelay.
type loadVerdicts struct {
	clock   *clockwork.FakeClock
	crashes map[string]time.Time
}

func (v loadVerdicts) Survived(string, time.Time) bool { return false }

func (v loadVerdicts) Crashed(server string, _ time.Time) bool {
	at, crashed := v.crashes[server]
	return crashed && v.clock.Now().Sub(at) >= verdictDelay
}

func newPartsLoad(t *testing.T, seed uint64, instances, servers int) *partsLoad {
	l := &partsLoad{t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock()}
	l.start = l.clock.Now()
	verdicts := loadVerdicts{clock: l.clock, crashes: map[string]time.Time{}}
	for range instances {
		p := newPartsTestAt(l.clock)
		p.cfg.Judge = verdicts
		l.instances = append(l.instances, p)
	}
	for n := range servers {
		l.servers = append(l.servers, &loadServer{name: fmt.Sprint("server-", n)})
	}
	return l
}

func (l *partsLoad) crash(s *loadServer, now time.Time) {
	l.instances[0].cfg.Judge.(loadVerdicts).crashes[s.name] = now
	for _, q := range s.waiting {
		q.instance.RecordLoss(q.parts, s.name, q.id)
	}
	s.waiting = nil
	s.downUntil = now.Add(restartDelay)
	s.name += "'"
}

// send sends a request to a random server if its instance does not refuse it.
func (l *partsLoad) send(now time.Time, isDeadly bool) {
	l.requests++
	document := DigestPart("s", fmt.Sprint("document-", l.random.IntN(60)))
	q := loadRequest{
		id: fmt.Sprint(l.requests), instance: l.instances[l.random.IntN(len(l.instances))],
		parts: []PartDigest{shared, document}, dueAt: now.Add(answerDelay), deadly: isDeadly,
	}
	if isDeadly {
		q.parts, q.dueAt = []PartDigest{shared, deadly}, now.Add(crashDelay)
	}
	state, _ := q.instance.State(q.parts)
	if !isDeadly {
		l.sound++
	}
	if state != PartSound {
		if !isDeadly {
			l.refused++
		}
		return
	}
	s := l.servers[l.random.IntN(len(l.servers))]
	if now.Before(s.downUntil) {
		return // Its caller comes again.
	}
	if isDeadly {
		l.deadlySent = append(l.deadlySent, now)
	}
	s.waiting = append(s.waiting, q)
}

func (l *partsLoad) run(d time.Duration, soundRate, deadlyRate, ownCrashRate float64) {
	chance := func(rate float64) bool { return l.random.Float64() < rate*loadStep.Seconds() }
	for now := l.clock.Now(); now.Sub(l.start) < d; now = l.clock.Now() {
		for range int(soundRate * loadStep.Seconds()) {
			l.send(now, false)
		}
		if chance(soundRate - float64(int(soundRate*loadStep.Seconds()))/loadStep.Seconds()) {
			l.send(now, false)
		}
		if chance(deadlyRate) {
			l.send(now, true)
		}
		for _, s := range l.servers {
			l.advanceServer(s, now)
			if !now.Before(s.downUntil) && chance(ownCrashRate/float64(len(l.servers))) {
				l.crash(s, now)
			}
		}
		l.exchangeReports(now)
		l.clock.Advance(loadStep)
	}
}

func (l *partsLoad) advanceServer(s *loadServer, now time.Time) {
	kept := s.waiting[:0]
	for _, q := range s.waiting {
		switch {
		case now.Before(q.dueAt):
			kept = append(kept, q)
		case q.deadly:
			l.partCrashes = append(l.partCrashes, now)
			l.crash(s, now)
			return
		default:
			q.instance.RecordAnswer(q.parts)
		}
	}
	s.waiting = kept
}

// exchangeReports lets each instance report to a few others, as in cells.
func (l *partsLoad) exchangeReports(now time.Time) {
	const peers = 8
	for n, p := range l.instances {
		offset := time.Duration(n) * loadStep
		if now.Sub(l.start).Truncate(loadStep)%loadReportPeriod != offset%loadReportPeriod {
			continue
		}
		reports := p.Report()
		if len(reports) == 0 {
			continue
		}
		for range min(peers, len(l.instances)-1) {
			l.instances[l.random.IntN(len(l.instances))].ApplyReports(reports)
		}
	}
}

// sentAfterFifth counts the requests with the deadly part that reached servers later
// than three seconds after it had crashed the fifth.
func (l *partsLoad) sentAfterFifth() (n int) {
	if len(l.partCrashes) < 5 {
		return 0
	}
	for _, at := range l.deadlySent {
		if at.After(l.partCrashes[4].Add(3 * time.Second)) {
			n++
		}
	}
	return n
}

// TestPartsUnderLoad plays fleets and checks what servers and callers get: at most
// three further requests reach servers three seconds after the fifth crash, and sound
// requests are served.
func TestPartsUnderLoad(t *testing.T) {
	const seeds = 3
	const maxSent = 3
	for _, fleet := range []struct {
		instances, servers int
		rate               float64
	}{{4, 9, 20}, {9, 12, 50}, {40, 80, 200}, {350, 600, 900}} {
		t.Run(fmt.Sprintf("%d instances", fleet.instances), func(t *testing.T) {
			for seed := range uint64(seeds) {
				l := newPartsLoad(t, seed, fleet.instances, fleet.servers)
				l.run(20*time.Second, fleet.rate, 1.3, 0)
				assert.Assert(t, l.sentAfterFifth() <= maxSent, "seed %d: %d requests were sent; crashes %d", seed, l.sentAfterFifth(), len(l.partCrashes))
				assert.Assert(t, l.refused*100 <= l.sound, "seed %d: %d of %d sound requests were refused", seed, l.refused, l.sound)
			}
		})
		t.Run(fmt.Sprintf("%d instances, servers crash by themselves too", fleet.instances), func(t *testing.T) {
			for seed := range uint64(seeds) {
				l := newPartsLoad(t, seed, fleet.instances, fleet.servers)
				l.run(20*time.Second, fleet.rate, 1.3, 0.05*float64(fleet.servers))
				assert.Assert(t, l.sentAfterFifth() <= maxSent, "seed %d: %d requests were sent; crashes %d", seed, l.sentAfterFifth(), len(l.partCrashes))
				assert.Assert(t, l.refused*100 <= l.sound, "seed %d: %d of %d sound requests were refused", seed, l.refused, l.sound)
			}
		})
		t.Run(fmt.Sprintf("%d instances, servers crash by themselves only", fleet.instances), func(t *testing.T) {
			for seed := range uint64(seeds) {
				l := newPartsLoad(t, seed, fleet.instances, fleet.servers)
				l.run(20*time.Second, fleet.rate, 0, 0.1*float64(fleet.servers))
				assert.Assert(t, l.refused*100 <= l.sound, "seed %d: %d of %d sound requests were refused", seed, l.refused, l.sound)
			}
		})
	}
}
