package tunneler

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/routefinder"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

const (
	service = "model"
	// testRemaining is the time that attempts have.
	testRemaining = 5 * time.Second
)

// A fakeServers answers the attempts of one instance.
type fakeServers struct {
	mu       sync.Mutex
	attempts []forwarder.Attempt
	failure  *sender.Failure   // Of each attempt; nil for none.
	answer   *forwarder.Answer // To each attempt; nil for a valid one.
	end      error             // Of each stream.
	held     chan struct{}     // If not nil, streams wait for it after the first event.
	observed []string          // Servers whose answers came through peers.
}

// ObserveAnswer implements Observer.
func (s *fakeServers) ObserveAnswer(b balancer.Backend, _ *forwarder.Answer, _ time.Time) {
	s.set(func(s *fakeServers) { s.observed = append(s.observed, b.ID) })
}

// Send implements forwarder.BackendClient.
func (s *fakeServers) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	if s.failure != nil {
		return nil, s.failure
	}
	if s.answer != nil {
		return s.answer, nil
	}
	answer := &forwarder.Answer{Outcome: forwarder.AnswerSucceeded, Status: 200, Header: []sender.Field{{Name: "A", Value: "b"}}}
	if a.Request.Route.Kind != routefinder.KindStream {
		answer.Body = append([]byte("for "), a.Request.Body...)
		return answer, nil
	}
	answer.Stream = &fakeStream{ctx: ctx, held: s.held, end: s.end}
	return answer, nil
}

// set changes how the servers answer.
func (s *fakeServers) set(change func(s *fakeServers)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeServers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// A fakeStream has three events.
type fakeStream struct {
	ctx  context.Context
	held chan struct{}
	end  error
	sent int
}

// Next implements forwarder.Stream.
func (s *fakeStream) Next() (forwarder.Event, error) {
	if s.sent == 1 && s.held != nil {
		select {
		case <-s.held:
		case <-s.ctx.Done():
		}
	}
	if s.sent == 3 {
		return forwarder.Event{}, s.end
	}
	s.sent++
	return forwarder.Event{ID: strconv.Itoa(s.sent), Raw: []byte("data: " + strconv.Itoa(s.sent) + "\n\n")}, nil
}

// Close implements forwarder.Stream.
func (s *fakeStream) Close() {}

// fakeReachability is whether an instance is cut off from all servers.
type fakeReachability bool

// CutOff implements Reachability.
func (r fakeReachability) CutOff(string) bool { return bool(r) }

// FailureDomainOf implements Reachability. Only s1 is listed.
func (fakeReachability) FailureDomainOf(_, server string) (string, bool) { return "d1", server == "s1" }

// An instance is a tunneler with its link and servers.
type instance struct {
	*Tunneler
	servers     *fakeServers
	links       *linker.Linker
	evacuations *fakeEvacuations
	shares      *fakeShares
	stop        func()
}

// A fleet is instances that are each other's peers. The first one is cut off.
type fleet []*instance

func newFleet(t *testing.T, cutOff ...bool) (f fleet) {
	t.Helper()
	return newMixedFleet(t, nil, cutOff...)
}

// newMixedFleet returns a fleet of which some instances are of an earlier build.
func newMixedFleet(t *testing.T, earlier []int, cutOff ...bool) (f fleet) {
	t.Helper()
	authority, err := linker.NewAuthority(time.Now())
	assert.NilError(t, err)
	var peers []linker.Peer
	var members []enroller.Member
	for n := range cutOff {
		id := "i" + strconv.Itoa(n)
		i := startInstance(t, authority, id, fakeReachability(cutOff[n]), slices.Contains(earlier, n))
		f = append(f, i)
		peers = append(peers, linker.Peer{ID: id, Address: i.links.Address()})
		members = append(members, enroller.Member{ID: id, FailureDomain: "d1"})
	}
	for n, i := range f {
		i.links.SetPeers(peers)
		i.SetMembers(append(members[:n:n], members[n+1:]...))
		for other := range f {
			i.ApplyReaches(members[other].ID, []balancer.ServiceReach{{Service: service, AgeMs: 1}})
		}
	}
	return f
}

func startInstance(t *testing.T, authority *linker.Authority, id string, reach Reachability, earlier bool) *instance {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	credentials, err := authority.Issue(id)
	assert.NilError(t, err)
	tlsConfig, err := credentials.TLS()
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	i := &instance{servers: &fakeServers{end: io.EOF}, evacuations: &fakeEvacuations{}, shares: &fakeShares{}}
	i.links, err = linker.New(linker.Config{InstanceID: id, ListenAddress: "127.0.0.1:0", TLS: tlsConfig, Clock: clock, Logger: logger})
	assert.NilError(t, err)
	var links Links = i.links
	if earlier {
		links = earlierLinks{i.links}
	}
	i.Tunneler, err = New(Config{
		Self: enroller.Member{ID: id, FailureDomain: "d1"}, Direct: i.servers, Observer: i.servers, Links: links, Clock: clock, Logger: logger, Meter: noop.Meter{},
		Evacuations: i.evacuations,
	})
	assert.NilError(t, err)
	i.SetReachability(reach)
	i.SetShares(i.shares)
	ctx, cancel := context.WithCancel(context.Background())
	ended := i.links.Start(ctx)
	i.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	t.Cleanup(i.stop)
	return i
}

// send makes an attempt through a peer at the first instance.
func (f fleet) send(ctx context.Context, kind routefinder.Kind) (*forwarder.Answer, error) {
	return f[0].Send(ctx, forwarder.Attempt{
		Request: &forwarder.Request{ID: "q", Service: service, Route: &routefinder.Route{Kind: kind}, Method: "POST", Target: "/x", Body: []byte("q")},
		Backend: balancer.Backend{ID: "s1", Address: "10.0.0.1:1", StartedAt: 7}, Remaining: testRemaining, FirstByteTimeout: time.Second, LastEventID: "4", ThroughPeer: true,
	})
}

func assertFailure(t *testing.T, err error, cause sender.Cause, dispatched bool) {
	t.Helper()
	var f *sender.Failure
	assert.Assert(t, errors.As(err, &f), "%v", err)
	assert.Equal(t, f.Cause, cause, "%v", err)
	assert.Equal(t, f.Dispatched, dispatched, "%v", err)
}

func assertEvents(t *testing.T, s forwarder.Stream, n int) {
	t.Helper()
	for want := range n {
		e, err := s.Next()
		assert.NilError(t, err)
		assert.Equal(t, e.ID, strconv.Itoa(want+1))
		assert.Equal(t, string(e.Raw), "data: "+e.ID+"\n\n")
	}
}

// TestSendThroughPeer guards against attempts that are changed, made twice or passed on
// again by a peer.
func TestSendThroughPeer(t *testing.T) {
	t.Run("an answer with a body", func(t *testing.T) {
		f := newFleet(t, true, false)
		answer, err := f.send(t.Context(), routefinder.KindIdempotent)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "for q")
		assert.DeepEqual(t, answer.Header, []sender.Field{{Name: "A", Value: "b"}})
		var a forwarder.Attempt
		f[1].servers.set(func(s *fakeServers) { a = s.attempts[0] })
		assert.Assert(t, !a.ThroughPeer)
		assert.Equal(t, a.LastEventID, "4")
		assert.Equal(t, a.Backend.Start(), balancer.Backend{ID: "s1", StartedAt: 7}.Start())
		assert.Equal(t, f[0].servers.count(), 0)
		f[0].servers.set(func(s *fakeServers) { assert.DeepEqual(t, s.observed, []string{"s1"}) })
	})
	t.Run("a stream", func(t *testing.T) {
		f := newFleet(t, true, false)
		answer, err := f.send(t.Context(), routefinder.KindStream)
		assert.NilError(t, err)
		assertEvents(t, answer.Stream, 3)
		_, err = answer.Stream.Next()
		assert.Equal(t, err, io.EOF)
	})
	t.Run("a stream that the server breaks off", func(t *testing.T) {
		f := newFleet(t, true, false)
		f[1].servers.set(func(s *fakeServers) {
			s.end = &sender.Failure{Cause: sender.CauseConnectionLost, Dispatched: true, Err: io.ErrUnexpectedEOF}
		})
		answer, err := f.send(t.Context(), routefinder.KindStream)
		assert.NilError(t, err)
		assertEvents(t, answer.Stream, 3)
		_, err = answer.Stream.Next()
		assertFailure(t, err, sender.CauseConnectionLost, true)
	})
	t.Run("a server that the peer cannot connect to", func(t *testing.T) {
		f := newFleet(t, true, false)
		f[1].servers.set(func(s *fakeServers) { s.failure = &sender.Failure{Cause: sender.CauseDial, Err: io.ErrUnexpectedEOF} })
		_, err := f.send(t.Context(), routefinder.KindStream)
		assertFailure(t, err, sender.CauseDial, false)
	})
	t.Run("a peer that is cut off as well", func(t *testing.T) {
		f := newFleet(t, true, true, false)
		for range 5 {
			_, err := f.send(t.Context(), routefinder.KindIdempotent)
			assert.NilError(t, err)
		}
		assert.Equal(t, f[1].servers.count(), 0)
		assert.Equal(t, f[2].servers.count(), 5)
	})
	for name, answer := range map[string]forwarder.Answer{
		"no outcome":         {Status: 200},
		"an unknown outcome": {Outcome: "done", Status: 200},
		"no status":          {Outcome: forwarder.AnswerSucceeded},
		"a status of 700":    {Outcome: forwarder.AnswerSucceeded, Status: 700},
		"a negative status":  {Outcome: forwarder.AnswerNotRun, Status: -503},
	} {
		t.Run("a peer that passes on "+name, func(t *testing.T) {
			f := newFleet(t, true, false)
			f[1].servers.set(func(s *fakeServers) { s.answer = &answer })
			_, err := f.send(t.Context(), routefinder.KindIdempotent)
			assertFailure(t, err, sender.CausePeer, true)
		})
	}
	for _, name := range []string{"X A", "X ", "", "X\tA", "X\x01", "X\x7f", "X\r", "X:", "X\xc3\xa9"} {
		t.Run("a peer that passes on the field name "+strconv.Quote(name), func(t *testing.T) {
			for _, kind := range []routefinder.Kind{routefinder.KindIdempotent, routefinder.KindStream} {
				f := newFleet(t, true, false)
				f[1].servers.set(func(s *fakeServers) {
					s.answer = &forwarder.Answer{Outcome: forwarder.AnswerSucceeded, Status: 200, Header: []sender.Field{{Name: "A", Value: "b"}, {Name: name, Value: "1"}}}
					if kind == routefinder.KindStream {
						s.answer.Stream = &fakeStream{ctx: t.Context(), end: io.EOF}
					}
				})
				_, err := f.send(t.Context(), kind)
				assertFailure(t, err, sender.CauseMalformed, true)
				f[0].servers.set(func(s *fakeServers) { assert.Equal(t, len(s.observed), 0) })
				assert.Equal(t, f[1].servers.count(), 1)
			}
		})
	}
	t.Run("a peer that passes on sound fields", func(t *testing.T) {
		f := newFleet(t, true, false)
		header := []sender.Field{{Name: "!#$%&'*+-.^_`|~09Az", Value: "a"}, {Name: "X-Empty"}, {Name: "X-Text", Value: "a\tb \xff : c"}}
		f[1].servers.set(func(s *fakeServers) {
			s.answer = &forwarder.Answer{Outcome: forwarder.AnswerSucceeded, Status: 200, Header: header}
		})
		answer, err := f.send(t.Context(), routefinder.KindIdempotent)
		assert.NilError(t, err)
		assert.DeepEqual(t, answer.Header, header)
	})
	t.Run("a peer that leaves", func(t *testing.T) {
		f := newFleet(t, true, false)
		f[1].Leave()
		f[1].Drain(t.Context())
		_, err := f.send(t.Context(), routefinder.KindIdempotent)
		assertFailure(t, err, sender.CausePeer, false)
		assert.Assert(t, !f[0].TakesWork(service))
	})
	t.Run("all peers are cut off", func(t *testing.T) {
		f := newFleet(t, true, true)
		_, err := f.send(t.Context(), routefinder.KindIdempotent)
		assertFailure(t, err, sender.CausePeer, false)
	})
	t.Run("a peer that ends after it was asked", func(t *testing.T) {
		f := newFleet(t, true, false, false)
		for _, i := range f[1:] {
			i.servers.set(func(s *fakeServers) { s.held = make(chan struct{}) })
		}
		answer, err := f.send(t.Context(), routefinder.KindStream)
		assert.NilError(t, err)
		assertEvents(t, answer.Stream, 1)
		for _, i := range f[1:] {
			go i.stop()
		}
		_, err = answer.Stream.Next()
		assertFailure(t, err, sender.CausePeer, true)
		assert.Equal(t, f[1].servers.count()+f[2].servers.count(), 1)
	})
	t.Run("a caller that leaves", func(t *testing.T) {
		f := newFleet(t, true, false)
		f[1].servers.set(func(s *fakeServers) { s.held = make(chan struct{}) })
		ctx, cancel := context.WithCancel(t.Context())
		answer, err := f.send(ctx, routefinder.KindStream)
		assert.NilError(t, err)
		assertEvents(t, answer.Stream, 1)
		cancel()
		_, err = answer.Stream.Next()
		assertFailure(t, err, sender.CauseCancelled, true)
	})
}

// TestTimeLeft guards against servers that are handed more time than is left, because
// peers that did not take an attempt used some of it.
func TestTimeLeft(t *testing.T) {
	f := newFleet(t, true, false)
	const asked = 200 * time.Millisecond
	gone := []linker.Peer{{ID: "i1", Address: f[1].links.Address()}}
	members := []enroller.Member{{ID: "i1", FailureDomain: "d1"}}
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	for _, id := range []string{"gone-1", "gone-2"} {
		gone = append(gone, linker.Peer{ID: id, Address: silent.LocalAddr().String()})
		members = append(members, enroller.Member{ID: id, FailureDomain: "d1"})
	}
	f[0].links.SetPeers(gone)
	f[0].SetMembers(members)
	for _, m := range members {
		f[0].ApplyReaches(m.ID, []balancer.ServiceReach{{Service: service}})
	}
	f[0].peers.known["i1"].inFlight = 2 // The others come first.
	started := time.Now()
	_, err = f.send(t.Context(), routefinder.KindIdempotent)
	assert.NilError(t, err)
	took := time.Since(started)
	assert.Assert(t, took >= 2*asked, "no peer was asked before: %v", took)
	f[1].servers.set(func(s *fakeServers) {
		left := s.attempts[0].Remaining
		assert.Assert(t, left <= testRemaining-2*asked, "%v of %v are left after %v", left, testRemaining, took)
	})
}

// TestChoiceOfPeer guards against work that goes to peers that are cut off, gone or
// overloaded.
func TestChoiceOfPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	reached := []balancer.ServiceReach{{Service: service, AgeMs: 10}}
	cutOff := []balancer.ServiceReach{{Service: service, CutOff: true, AgeMs: 10}}
	newPeersOf := func(reaches map[string][]balancer.ServiceReach) *peers {
		p := newPeers("d1")
		var members []enroller.Member
		for id := range reaches {
			members = append(members, enroller.Member{ID: id, FailureDomain: id[:2]})
		}
		p.set(members)
		for id, r := range reaches {
			if r != nil {
				p.applyReaches(id, r, now)
			}
		}
		return p
	}
	assertTaken := func(t *testing.T, p *peers, at time.Time, want string) {
		t.Helper()
		assert.Equal(t, p.takesWork(service, at), want != "")
		assert.Equal(t, p.take(service, nil, at), want)
	}
	t.Run("one of the same failure domain", func(t *testing.T) {
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d1-a": reached, "d2-a": reached}), now, "d1-a")
	})
	t.Run("one that is cut off", func(t *testing.T) {
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d1-a": cutOff, "d2-a": reached}), now, "d2-a")
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d1-a": cutOff}), now, "")
	})
	t.Run("one that has fallen silent", func(t *testing.T) {
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d2-a": reached}), now.Add(reportTimeout), "")
	})
	t.Run("one of another cell sends no reports", func(t *testing.T) {
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d1-a": cutOff, "d2-a": nil}), now, "d2-a")
		assertTaken(t, newPeersOf(map[string][]balancer.ServiceReach{"d1-a": nil}), now, "")
	})
	t.Run("one that did not take an attempt", func(t *testing.T) {
		p := newPeersOf(map[string][]balancer.ServiceReach{"d1-a": reached})
		p.avoid("d1-a", now)
		assertTaken(t, p, now, "")
		p.applyReaches("d1-a", reached, now.Add(avoidTime))
		assertTaken(t, p, now.Add(avoidTime), "d1-a")
	})
	t.Run("work is spread", func(t *testing.T) {
		p := newPeersOf(map[string][]balancer.ServiceReach{"d2-a": reached, "d2-b": reached, "d3-a": reached})
		taken := map[string]int{}
		for range 300 {
			taken[p.take(service, nil, now)]++
		}
		for id, n := range taken {
			assert.Assert(t, n >= 90 && n <= 110, "%s took %d of 300", id, n)
		}
		for range taken["d2-a"] {
			p.release("d2-a")
		}
		assert.Equal(t, p.take(service, nil, now), "d2-a")
	})
	t.Run("the limit of requests under way", func(t *testing.T) {
		p := newPeersOf(map[string][]balancer.ServiceReach{"d1-a": reached})
		for range maxInFlight {
			assertTaken(t, p, now, "d1-a")
		}
		assertTaken(t, p, now, "")
	})
}
