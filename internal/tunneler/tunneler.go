// Package tunneler sends attempts to backend servers through a peer while this instance
// cannot connect to them, and makes the attempts of peers.
//
// The instance that has the request keeps all decisions: which server, how many
// attempts, what may be repeated. A peer only makes one attempt at the named server, and
// never passes it on again.
package tunneler

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/enroller"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

const (
	// maxPeersPerAttempt is the number of peers that are asked to make an attempt.
	maxPeersPerAttempt = 3
	// answerMargin is how much longer than the peer this instance waits for an answer,
	// since the peer tells how an attempt ended.
	answerMargin = 250 * time.Millisecond
)

// Links are the links to the peers. *linker.Linker implements it.
type Links interface {
	Open(ctx context.Context, peer string, kind linker.Kind, request, first any, timeout time.Duration) (*linker.Parts, error)
	HandleStream(kind linker.Kind, h linker.StreamHandler)
}

// Reachability knows whether this instance is cut off from the servers of a service.
// *balancer.Balancer implements it.
type Reachability interface {
	CutOff(service string) bool
	// FailureDomainOf returns the failure domain of a server, if it is listed here.
	FailureDomainOf(service, server string) (domain string, listed bool)
}

// Evacuations knows which failure domains are evacuated. *evacuator.Evacuator implements
// it.
type Evacuations interface {
	balancer.Evacuations
	// Any reports whether a failure domain is evacuated, or may be.
	Any() bool
}

// An Observer records what the answers of servers say about the servers.
type Observer interface {
	ObserveAnswer(b balancer.Backend, answer *forwarder.Answer, sentAt time.Time)
}

// A Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies of a tunneler.
type Config struct {
	Self     enroller.Member
	Direct   forwarder.BackendClient // Connects to the servers from here, and observes their answers.
	Observer Observer                // Observes the answers that come through peers.
	Links    Links
	// Evacuations knows to which servers nothing may be sent. Nil if no failure domain is
	// ever evacuated.
	Evacuations Evacuations
	Clock       Clock
	Logger      logrus.FieldLogger
	Meter       metric.Meter
}

// A Tunneler is a client of the backend servers that makes attempts directly or through
// a peer.
type Tunneler struct {
	cfg      Config
	reach    Reachability // Nil until SetReachability.
	shares   Shares       // Nil until SetShares.
	attempts metric.Int64Counter
	peers    *peers

	mu      sync.Mutex
	leaving bool
	serving sync.WaitGroup // Attempts of peers under way.
}

// New returns a tunneler and registers its message handler. It must be called before the
// links start.
func New(cfg Config) (t *Tunneler, err error) {
	defer func() { err = merry.Prepend(err, "create tunneler") }()
	t = &Tunneler{cfg: cfg, peers: newPeers(cfg.Self.FailureDomain)}
	t.attempts, err = cfg.Meter.Int64Counter("tunneler.attempts", metric.WithDescription("Attempts through peers and for peers, by side and result"))
	cfg.Links.HandleStream(linker.KindAttempt, t)
	cfg.Links.HandleStream(linker.KindHolderAttempt, holder{t})
	return t, err
}

// SetReachability must be called before the first attempt.
func (t *Tunneler) SetReachability(reach Reachability) { t.reach = reach }

// SetMembers sets the other instances of the fleet.
func (t *Tunneler) SetMembers(members []enroller.Member) { t.peers.set(members) }

// ApplyReaches records which services a peer reaches.
func (t *Tunneler) ApplyReaches(peer string, reaches []balancer.ServiceReach) {
	t.peers.applyReaches(peer, reaches, t.cfg.Clock.Now())
}

// TakesWork implements balancer.Peers.
func (t *Tunneler) TakesWork(service string) bool {
	return t.peers.takesWork(service, t.cfg.Clock.Now())
}

// ReachedSince implements balancer.Peers.
func (t *Tunneler) ReachedSince(service string, at time.Time) bool {
	return t.peers.reachedSince(service, at)
}

// Send implements forwarder.BackendClient.
func (t *Tunneler) Send(ctx context.Context, a forwarder.Attempt) (*forwarder.Answer, error) {
	if err := t.checkEvacuation(a); err != nil {
		return nil, err
	}
	switch {
	case !a.ThroughPeer:
		return t.cfg.Direct.Send(ctx, a)
	case len(a.Holders) > 0:
		return t.sendThroughHolders(ctx, a)
	}
	started := t.cfg.Clock.Now()
	var tried []string
	for range maxPeersPerAttempt {
		now := t.cfg.Clock.Now()
		left := timeLeft(a, now.Sub(started))
		if left.Remaining <= 0 || left.FirstByteTimeout <= 0 {
			break
		}
		if err := t.checkEvacuation(a); err != nil {
			return nil, err
		}
		id := t.peers.take(a.Request.Service, tried, now)
		if id == "" {
			break
		}
		tried = append(tried, id)
		answer, err := t.sendThrough(ctx, id, linker.KindAttempt, requestOf(left))
		if err == nil {
			t.cfg.Observer.ObserveAnswer(a.Backend, answer, now)
		}
		if !isNotTaken(err) || ctx.Err() != nil {
			return answer, err
		}
		t.peers.avoid(id, t.cfg.Clock.Now())
		t.cfg.Logger.WithError(err).WithFields(logrus.Fields{"request": a.Request.ID, "peer": id}).Info("peer does not take an attempt")
	}
	return nil, &sender.Failure{Cause: sender.CausePeer, Err: merry.Errorf("none of %d peers takes the attempt", len(tried))}
}

// timeLeft returns an attempt with the time that is left of it.
func timeLeft(a forwarder.Attempt, elapsed time.Duration) forwarder.Attempt {
	a.Remaining -= elapsed
	a.FirstByteTimeout -= elapsed
	return a
}

// isNotTaken reports whether a peer has certainly not made an attempt.
func isNotTaken(err error) bool {
	var f *sender.Failure
	return errors.As(err, &f) && f.Cause == sender.CausePeer && !f.Dispatched
}

// sendThrough makes an attempt through a peer.
func (t *Tunneler) sendThrough(ctx context.Context, id string, kind linker.Kind, message request) (answer *forwarder.Answer, err error) {
	streams := false
	defer func() {
		if !streams {
			t.peers.release(id)
		}
		t.count(sentSide(kind), err)
	}()
	var h head
	parts, err := t.cfg.Links.Open(ctx, id, kind, message, &h, message.FirstByteTimeout+answerMargin)
	switch {
	case errors.Is(err, linker.ErrTooLarge):
		return nil, &sender.Failure{Cause: sender.CauseTooLarge, Err: err}
	case err != nil && ctx.Err() != nil:
		return nil, &sender.Failure{Cause: sender.CauseCancelled, Dispatched: true, Err: err}
	case errors.Is(err, linker.ErrUnreachable), errors.Is(err, linker.ErrRemote):
		return nil, &sender.Failure{Cause: sender.CausePeer, Err: err}
	case err != nil:
		return nil, &sender.Failure{Cause: sender.CausePeer, Dispatched: true, Err: err}
	}
	if h.Failure != nil {
		parts.Close()
		return nil, h.err()
	}
	if !h.isValid() {
		parts.Close()
		return nil, &sender.Failure{Cause: sender.CausePeer, Dispatched: true, Err: merry.Errorf("peer names no valid answer: outcome %q, status %d", h.Outcome, h.Status)}
	}
	if !h.hasValidFieldNames() {
		parts.Close()
		return nil, &sender.Failure{Cause: sender.CauseMalformed, Dispatched: true, Err: merry.Errorf("answer with status %d has a malformed field name", h.Status)}
	}
	t.peers.recordAnswer(id, message.Service, t.cfg.Clock.Now())
	answer = h.answer()
	if !h.Stream {
		parts.Close()
		return answer, nil
	}
	streams = true
	answer.Stream = &stream{ctx: ctx, parts: parts, release: sync.OnceFunc(func() { t.peers.release(id) })}
	return answer, nil
}

func (t *Tunneler) count(side string, err error) {
	result := "answered"
	if err != nil {
		result = string(asFailure(err).Cause)
	}
	t.countResult(side, result)
}

// asFailure returns the error of an attempt as a *sender.Failure.
func asFailure(err error) *sender.Failure {
	var f *sender.Failure
	if errors.As(err, &f) {
		return f
	}
	return &sender.Failure{Cause: sender.CauseMalformed, Dispatched: true, Err: err}
}

// A stream iterates over the events of an answer that comes through a peer.
type stream struct {
	ctx     context.Context
	parts   *linker.Parts
	release func()
	ended   bool
}

// Next implements forwarder.Stream.
func (s *stream) Next() (forwarder.Event, error) {
	if s.ended {
		return forwarder.Event{}, io.EOF
	}
	var e event
	err := s.parts.Next(&e)
	switch {
	case err != nil && s.ctx.Err() != nil:
		err = &sender.Failure{Cause: sender.CauseCancelled, Dispatched: true, Err: err}
	case err != nil: // The peer also says how a stream ends.
		err = &sender.Failure{Cause: sender.CausePeer, Dispatched: true, Err: err}
	case e.Failure != nil:
		err = e.Failure.err()
	case e.End:
		s.ended = true
		err = io.EOF
	default:
		return forwarder.Event{ID: e.ID, Raw: e.Raw}, nil
	}
	s.Close()
	return forwarder.Event{}, err
}

// Close implements forwarder.Stream.
func (s *stream) Close() {
	s.parts.Close()
	s.release()
}
