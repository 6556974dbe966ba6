package platformemulator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// An Outage is the way in which the whole service fails.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageDrop   Outage = "drop"   // Connections are closed without a response; calls have no effect.
	OutageHang   Outage = "hang"   // Calls get no response and have no effect; their connections are closed when the outage ends.
	OutageRefuse Outage = "refuse" // The port is closed, so that connections are refused.
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

// Faults are the faults that the emulator injects.
type Faults struct {
	Outage          Outage         `json:"outage,omitempty"`
	Delay           Duration       `json:"delay,omitempty"` // Delay before each call takes effect.
	ClientOutages   []ClientOutage `json:"cuts,omitempty"`
	LoseResponses   []ResponseLoss `json:"lose-answers,omitempty"`
	InstanceListLag Duration       `json:"instance-list-lag,omitempty"`
}

// A ClientOutage is an outage for a single client.
type ClientOutage struct {
	Client string `json:"client"` // Value of the client's ID header.
	Outage Outage `json:"outage"` // OutageDrop or OutageHang; connections cannot be refused for a single client.
}

// A ResponseLoss drops the responses of writes that take effect.
type ResponseLoss struct {
	KeyPrefix  string   `json:"key-prefix,omitempty"`  // The key of a lease call is "leases/<id>", and "leases/" for a grant.
	Client     string   `json:"client,omitempty"`      // Empty means any client.
	Writes     int      `json:"writes"`                // Number of further writes that lose their responses.
	ApplyAfter Duration `json:"apply-after,omitempty"` // Delay between the loss of the response and the effect.
}

// A faultCall holds the properties of a call that faults depend on.
type faultCall struct {
	client string
	key    string
	write  bool
}

// A faultEffects describes how the faults affect one call.
type faultEffects struct {
	delay        time.Duration
	loseResponse bool
	applyAfter   time.Duration
}

// A faultState holds the faults in effect. It is safe for concurrent use.
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

// outage returns the outage that currently affects a call, and a channel that is
// closed when the faults change.
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

// effectsOn returns how the faults affect a call, and counts the call against
// the response loss that matches it.
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
