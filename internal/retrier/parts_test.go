package retrier

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// fatalUnless judges that all servers crashed but those that survived.
type fatalUnless struct {
	survived map[string]bool
	open     bool // There is no verdict yet.
}

func (j *fatalUnless) Survived(server string, _ time.Time) bool { return !j.open && j.survived[server] }

func (j *fatalUnless) Crashed(server string, _ time.Time) bool { return !j.open && !j.survived[server] }

// A partsTest is one instance's tracker.
type partsTest struct {
	*Parts
	clock *clockwork.FakeClock
	judge *fatalUnless
	lost  int
}

func newPartsTest() *partsTest {
	return newPartsTestAt(clockwork.NewFakeClock())
}

func newPartsTestAt(clock *clockwork.FakeClock) *partsTest {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	judge := &fatalUnless{survived: map[string]bool{}}
	return &partsTest{Parts: NewParts(PartsConfig{Clock: clock, Judge: judge, Logger: logger}), clock: clock, judge: judge}
}

var deadly, shared = DigestPart("s", "deadly"), DigestPart("s", "shared")

// crash loses another server under another request, and lets a second pass.
func (p *partsTest) crash(parts ...PartDigest) {
	p.lost++
	p.RecordLoss(parts, fmt.Sprint("server-", p.lost), fmt.Sprint("request-", p.lost))
	p.clock.Advance(time.Second)
}

func (p *partsTest) assertState(t *testing.T, d PartDigest, want PartState) {
	t.Helper()
	state, part := p.State([]PartDigest{d})
	assert.Equal(t, state, want)
	if want != PartSound {
		assert.Equal(t, part, d)
	}
}

// TestParts guards against requests that share a part of their prompts, no two alike,
// and crash server after server; and against sound requests that are refused because
// others crashed a server.
func TestParts(t *testing.T) {
	t.Run("a part is quarantined after three crashes", func(t *testing.T) {
		p := newPartsTest()
		for range crashesToSuspectPart {
			p.assertState(t, deadly, PartSound)
			p.crash(deadly)
		}
		p.assertState(t, deadly, PartQuarantined)
	})
	t.Run("a part that is answered in between is not", func(t *testing.T) {
		p := newPartsTest()
		for range 2 * crashesToSuspectPart {
			p.crash(shared, deadly)
			p.RecordAnswer([]PartDigest{shared})
		}
		p.assertState(t, deadly, PartQuarantined)
		p.assertState(t, shared, PartSound)
	})
	t.Run("servers that survive do not count", func(t *testing.T) {
		p := newPartsTest()
		for n := range 2 * crashesToSuspectPart {
			p.judge.survived[fmt.Sprint("server-", n+1)] = true
			p.crash(shared)
		}
		p.assertState(t, shared, PartSound)
	})
	t.Run("servers without a verdict do not count", func(t *testing.T) {
		p := newPartsTest()
		p.judge.open = true
		for range 2 * crashesToSuspectPart {
			p.crash(shared)
		}
		p.assertState(t, shared, PartSound)
		p.judge.open = false
		p.assertState(t, shared, PartQuarantined)
	})
	t.Run("one request that is sent again does not count twice", func(t *testing.T) {
		p := newPartsTest()
		for n := range 2 * crashesToSuspectPart {
			p.RecordLoss([]PartDigest{shared}, fmt.Sprint("server-", n), "request")
			p.clock.Advance(time.Second)
		}
		p.assertState(t, shared, PartSound)
	})
	t.Run("servers that crash at once count once", func(t *testing.T) {
		p := newPartsTest()
		for n := range 2 * crashesToSuspectPart {
			p.RecordLoss([]PartDigest{shared}, fmt.Sprint("server-", n), fmt.Sprint("request-", n))
		}
		p.assertState(t, shared, PartSound)
	})
	t.Run("an answer to a request that was under way clears", func(t *testing.T) {
		p := newPartsTest()
		for range crashesToSuspectPart {
			p.crash(shared)
		}
		p.assertState(t, shared, PartQuarantined)
		p.RecordAnswer([]PartDigest{shared})
		p.assertState(t, shared, PartSound)
		p.crash(shared)
		p.assertState(t, shared, PartSound)
	})
	t.Run("trials become rarer", func(t *testing.T) {
		p := newPartsTest()
		for range crashesToSuspectPart {
			p.crash(deadly)
		}
		for delay := firstTrialDelay; delay < maxTrialDelay; delay *= 3 {
			p.clock.Advance(delay - 2*time.Second)
			p.assertState(t, deadly, PartQuarantined)
			p.clock.Advance(2 * time.Second)
			p.assertState(t, deadly, PartOnTrial)
			_, ok := p.StartTrial(deadly)
			assert.Assert(t, ok)
			p.assertState(t, deadly, PartQuarantined)
			_, ok = p.StartTrial(deadly)
			assert.Assert(t, !ok, "two trials at once")
			p.crash(deadly)
		}
	})
	t.Run("memory is bounded", func(t *testing.T) {
		p := newPartsTest()
		for n := range 2 * partShards * maxPartsPerShard {
			d := DigestPart("s", fmt.Sprint(n))
			p.RecordLoss([]PartDigest{d}, "server", "request")
			p.RecordAnswer([]PartDigest{d})
		}
		for i := range p.shards {
			assert.Assert(t, len(p.shards[i].records) <= maxPartsPerShard)
			assert.Assert(t, len(p.shards[i].answered) <= maxPartsPerShard)
		}
	})
}

// TestPartReports guards against instances that lose servers to a part that others know
// of, and against evidence that outlives its refutation.
func TestPartReports(t *testing.T) {
	pair := func() (a, b *partsTest) {
		a = newPartsTest()
		return a, newPartsTestAt(a.clock)
	}
	t.Run("crashes at two instances add up", func(t *testing.T) {
		a, b := pair()
		a.crash(deadly)
		a.crash(deadly)
		b.lost = a.lost
		b.ApplyReports(a.Report())
		b.crash(deadly)
		b.assertState(t, deadly, PartQuarantined)
		a.assertState(t, deadly, PartSound)
		a.ApplyReports(b.Report())
		a.assertState(t, deadly, PartQuarantined)
	})
	t.Run("a crash that both have seen counts once", func(t *testing.T) {
		a, b := pair()
		a.crash(deadly)
		a.crash(deadly)
		b.ApplyReports(a.Report())
		b.crash(deadly)
		b.crash(deadly)
		b.assertState(t, deadly, PartSound)
	})
	t.Run("an answer before the report clears", func(t *testing.T) {
		a, b := pair()
		for range crashesToSuspectPart {
			a.crash(shared)
		}
		b.RecordAnswer([]PartDigest{shared})
		a.clock.Advance(100 * time.Millisecond)
		b.ApplyReports(a.Report())
		b.assertState(t, shared, PartSound)
		a.assertState(t, shared, PartQuarantined)
		a.ApplyReports(b.Report())
		a.assertState(t, shared, PartSound)
	})
	t.Run("an instance that joins later learns of a quarantine", func(t *testing.T) {
		a, b := pair()
		for range crashesToSuspectPart {
			a.crash(deadly)
		}
		a.clock.Advance(quarantineReportPeriod - 2*time.Second)
		assert.Equal(t, len(a.Report()), 0, "reported all the time")
		a.clock.Advance(time.Second)
		b.ApplyReports(a.Report())
		b.assertState(t, deadly, PartQuarantined)
	})
	t.Run("news pass through an instance in between", func(t *testing.T) {
		a, b := pair()
		c := newPartsTestAt(a.clock)
		for range crashesToSuspectPart {
			a.crash(deadly)
			b.ApplyReports(a.Report())
			c.ApplyReports(b.Report())
		}
		c.assertState(t, deadly, PartQuarantined)
	})
	t.Run("parts without news are not reported", func(t *testing.T) {
		a, b := pair()
		a.crash(shared)
		a.RecordAnswer([]PartDigest{shared})
		b.ApplyReports(a.Report())
		a.clock.Advance(partReportTime)
		assert.Equal(t, len(a.Report()), 0)
		assert.Equal(t, len(b.Report()), 0)
	})
}

// TestStoredParts guards against quarantines that a restart of all instances ends, and
// against two instances that try the same part at once.
func TestStoredParts(t *testing.T) {
	t.Run("the instance that counts the last crash stores", func(t *testing.T) {
		a := newPartsTest()
		b := newPartsTestAt(a.clock)
		for range crashesToSuspectPart {
			a.crash(deadly)
		}
		b.ApplyReports(a.Report())
		store, remove := a.Unstored()
		assert.DeepEqual(t, store, []StoredPart{{Part: deadly, Crashes: crashesToSuspectPart}})
		assert.Equal(t, len(remove), 0)
		store, _ = b.Unstored()
		assert.Equal(t, len(store), 0)
	})
	t.Run("a stored quarantine is in force after a restart", func(t *testing.T) {
		p := newPartsTest()
		p.ApplyStored([]StoredPart{{Part: deadly, Crashes: crashesToSuspectPart}})
		p.assertState(t, deadly, PartQuarantined)
		p.clock.Advance(firstTrialDelay)
		p.assertState(t, deadly, PartOnTrial)
	})
	t.Run("a trial of another instance defers the next one", func(t *testing.T) {
		p := newPartsTest()
		p.ApplyStored([]StoredPart{{Part: deadly, Crashes: crashesToSuspectPart}})
		p.clock.Advance(firstTrialDelay)
		p.ApplyStored([]StoredPart{{Part: deadly, Crashes: crashesToSuspectPart + 1}})
		p.clock.Advance(firstTrialDelay)
		p.assertState(t, deadly, PartQuarantined)
	})
	t.Run("an answer removes a stored quarantine", func(t *testing.T) {
		p := newPartsTest()
		p.ApplyStored([]StoredPart{{Part: shared, Crashes: crashesToSuspectPart}})
		p.clock.Advance(time.Millisecond)
		p.RecordAnswer([]PartDigest{shared})
		p.assertState(t, shared, PartSound)
		_, remove := p.Unstored()
		assert.DeepEqual(t, remove, []PartDigest{shared})
		p.ApplyStored(nil)
		_, remove = p.Unstored()
		assert.Equal(t, len(remove), 0)
	})
}
