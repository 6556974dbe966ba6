package platformemulator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// An Outage says how the service fails as a whole.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageDrop   Outage = "drop"   // Connections break without an answer; calls have no effect.
	OutageHang   Outage = "hang"   // Calls get no answer and have no effect; they break when the outage ends.
	OutageRefuse Outage = "refuse" // The port is closed, so that dials fail.
)

// A Duration is a time.Duration written in JSON as a string such as "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return merry.Wrap(err)
}

// Faults are the faults in effect.
type Faults struct {
	Outage          Outage       `json:"outage,omitempty"`
	Delay           Duration     `json:"delay,omitempty"` // Each call waits so long before it takes effect.
	Cuts            []Cut        `json:"cuts,omitempty"`
	LoseAnswers     []LostAnswer `json:"lose-answers,omitempty"`
	InstanceListLag Duration     `json:"instance-list-lag,omitempty"`
}

// A Cut separates one client from the service.
type Cut struct {
	Client string `json:"client"` // The client's ID header.
	Outage Outage `json:"outage"` // OutageDrop or OutageHang; a client cannot be refused alone.
}

// A LostAnswer takes the answers of writes away after the writes took effect.
type LostAnswer struct {
	KeyPrefix  string   `json:"key-prefix,omitempty"`  // A lease counts as key "leases/<id>", a grant as "leases/".
	Client     string   `json:"client,omitempty"`      // Empty means any client.
	Writes     int      `json:"writes"`                // How many more writes lose their answers.
	ApplyAfter Duration `json:"apply-after,omitempty"` // Time between the loss of the answer and the effect.
}

// A faultCall is what the faults know of a call.
type faultCall struct {
	client string
	key    string
	write  bool
}

// A faultPlan says what happens to one call.
type faultPlan struct {
	delay      time.Duration
	lose       bool
	applyAfter time.Duration
}

// A faultBoard holds the faults in effect.
type faultBoard struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // Closed when the faults are replaced.
}

func newFaultBoard() *faultBoard {
	return &faultBoard{changed: make(chan struct{})}
}

func (b *faultBoard) current() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults
	f.Cuts = slices.Clone(f.Cuts)
	f.LoseAnswers = slices.Clone(f.LoseAnswers)
	return f
}

func (b *faultBoard) replace(f Faults) {
	f.Cuts = slices.Clone(f.Cuts)
	f.LoseAnswers = slices.Clone(f.LoseAnswers)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// outage returns what cuts a call off now, and a channel that is closed when
// the faults change.
func (b *faultBoard) outage(call faultCall) (outage Outage, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	outage = b.faults.Outage
	for _, cut := range b.faults.Cuts {
		if outage == OutageNone && cut.Client == call.client {
			outage = cut.Outage
		}
	}
	return outage, b.changed
}

// plan says what happens to a call and counts it against the rules.
func (b *faultBoard) plan(call faultCall) faultPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	plan := faultPlan{delay: time.Duration(b.faults.Delay)}
	for i := range b.faults.LoseAnswers {
		rule := &b.faults.LoseAnswers[i]
		if !rule.matches(call) {
			continue
		}
		rule.Writes--
		plan.lose = true
		plan.applyAfter = time.Duration(rule.ApplyAfter)
		break
	}
	return plan
}

func (r LostAnswer) matches(call faultCall) bool {
	return call.write &&
		r.Writes > 0 &&
		strings.HasPrefix(call.key, r.KeyPrefix) &&
		(r.Client == "" || r.Client == call.client)
}
