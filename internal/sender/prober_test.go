package sender

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/serviceemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

func newFleet(addresses ...string) *registrar.Fleet {
	f := registrar.NewFleet(clockwork.NewRealClock())
	d := declarer.Declaration{}
	for i, address := range addresses {
		d.BackendServers = append(d.BackendServers, declarer.BackendServer{
			Name: string(rune('a' + i)), Kind: declarer.Service, Service: "labels", Address: address, Capacity: 4,
		})
	}
	f.Install(d)
	return f
}

func assertEligible(t *testing.T, s *registrar.Server, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Eligible() == want {
			return poll.Success()
		}
		return poll.Continue("eligible is %t", s.Eligible())
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against requests to servers that are leaving or stopped, and against
// servers that stay ineligible after they recovered.
func TestProber(t *testing.T) {
	service := startService(t)
	f := newFleet(service.Address())
	server, _ := f.Server("a")
	p := NewProber(ProberConfig{
		Fleet: f, Sender: New(Config{}), Clock: clockwork.NewRealClock(),
		Interval: 10 * time.Millisecond, ReadinessTimeout: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Start(ctx)

	service.SetFault(serviceemulator.Fault{Leaving: true})
	assertEligible(t, server, false)
	service.SetFault(serviceemulator.Fault{})
	assertEligible(t, server, true)
	service.Crash()
	assertEligible(t, server, false)
	assert.Equal(t, p.Confirm(ctx, server, time.Now()), ConditionDead)
	assert.NilError(t, service.Open())
	assertEligible(t, server, true)
	cancel()
	assert.NilError(t, <-done)
}

// Guards against a silent server that becomes unhealthy after one lost packet, or
// never.
func TestProbeOfSilentServer(t *testing.T) {
	f := newFleet(startScripted(t, "|", "|"))
	server, _ := f.Server("a")
	p := NewProber(ProberConfig{
		Fleet: f, Sender: New(Config{}), Clock: clockwork.NewRealClock(), ReadinessTimeout: 50 * time.Millisecond,
	})
	assert.Equal(t, p.Confirm(context.Background(), server, time.Now()), ConditionTimeout)
	assert.Assert(t, server.Eligible())
	assert.Equal(t, p.Confirm(context.Background(), server, time.Now()), ConditionTimeout)
	assert.Assert(t, !server.Eligible())
}
