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
	Outage          Outage         `json:"outage,omitempty"`
	Delay           Duration       `json:"delay,omitempty"` // Each call waits so long before it takes effect.
	ClientOutages   []ClientOutage `json:"cuts,omitempty"`
	LoseResponses   []ResponseLoss `json:"lose-answers,omitempty"`
	InstanceListLag Duration       `json:"instance-list-lag,omitempty"`
}

// A ClientOutage separates one client from the service.
type ClientOutage struct {
	Client string `json:"client"` // The client's ID header.
	Outage Outage `json:"outage"` // OutageDrop or OutageHang; a client cannot be refused alone.
}

// A ResponseLoss takes the answers of writes away after the writes took effect.
type ResponseLoss struct {
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

// A faultEffects says what happens to one call.
type faultEffects struct {
	delay        time.Duration
	loseResponse bool
	applyAfter   time.Duration
}

// A faultState holds the faults in effect.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // Closed when the faults are replaced.
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

func (s *faultState) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.ClientOutages = slices.Clone(f.ClientOutages)
	f.LoseResponses = slices.Clone(f.LoseResponses)
	return f
}

func (s *faultState) replace(f Faults) {
	f.ClientOutages = slices.Clone(f.ClientOutages)
	f.LoseResponses = slices.Clone(f.LoseResponses)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// outage returns what cuts a call off now, and a channel that is closed when
// the faults change.
func (s *faultState) outage(call faultCall) (outage Outage, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outage = s.faults.Outage
	for _, rule := range s.faults.ClientOutages {
		if outage == OutageNone && rule.Client == call.client {
			outage = rule.Outage
		}
	}
	return outage, s.changed
}

// plan says what happens to a call and counts it against the rules.
func (s *faultState) effectsOn(call faultCall) faultEffects {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := faultEffects{delay: time.Duration(s.faults.Delay)}
	for i := range s.faults.LoseResponses {
		rule := &s.faults.LoseResponses[i]
		if !rule.matches(call) {
			continue
		}
		rule.Writes--
		effects.loseResponse = true
		effects.applyAfter = time.Duration(rule.ApplyAfter)
		break
	}
	return effects
}

func (r ResponseLoss) matches(call faultCall) bool {
	return call.write &&
		r.Writes > 0 &&
		strings.HasPrefix(call.key, r.KeyPrefix) &&
		(r.Client == "" || r.Client == call.client)
}
