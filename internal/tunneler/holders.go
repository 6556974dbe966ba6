package tunneler

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/balancer"
	"github.com/quetzalhitch/quetzalhitch/internal/forwarder"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/reporter"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/internal/throttler"
)

const (
	// maxShareWait is the longest time after which a caller returns that found the parts of
	// the holders used up. Parts are renewed within 1.25 s.
	maxShareWait = 1500 * time.Millisecond
	// minShareWait is the shortest time after which such a caller returns, if a holder that
	// was not asked may have room.
	minShareWait = 100 * time.Millisecond
	// maxUsedShares is the number of parts of one holder that are remembered as used up
	// before those that have room again are removed.
	maxUsedShares = 64
)

// Shares counts attempts that this instance makes for peers in its parts of the limits of
// servers. *balancer.Balancer implements it.
type Shares interface {
	// TakeShare returns a wait, and counts nothing, if the part has no room.
	TakeShare(service string, server throttler.Server, canWait bool) (wait time.Duration, err error)
}

// SetShares must be called before the first attempt.
func (t *Tunneler) SetShares(shares Shares) { t.shares = shares }

// ShareWait implements balancer.Peers.
func (t *Tunneler) ShareWait(service, server string, holders []string) time.Duration {
	return t.peers.shareWait(service, server, holders, t.cfg.Clock.Now())
}

// A holder makes attempts of peers in this instance's parts of the limits of servers. The
// messages have a kind of their own, because an earlier build would make the attempt without
// counting it if it does not know that the server is cold.
type holder struct{ *Tunneler }

// HandleStream implements linker.StreamHandler. An error means that the attempt was not
// made.
func (h holder) HandleStream(ctx context.Context, peer string, payload []byte, w *linker.PartWriter) error {
	return h.handle(ctx, peer, payload, w, true)
}

func (t *Tunneler) takeShare(r request) (wait time.Duration, err error) {
	if t.shares == nil {
		return 0, balancer.ErrNotHeld
	}
	return t.shares.TakeShare(r.Service, throttler.Server{ID: r.Server, StartedAt: r.ServerStartedAt}, r.Batch)
}

// refuseAsHolder tells a peer that this instance's part of the limit has no room.
func (t *Tunneler) refuseAsHolder(peer string, r request, wait time.Duration, w *linker.PartWriter) error {
	wait = min(wait, maxShareWait)
	t.countResult(servedSide(true), "share-used-up")
	t.cfg.Logger.WithFields(logrus.Fields{
		"request": r.ID, "peer": peer, reporter.FieldBackendServer: r.Server, "retry-after-ms": wait.Milliseconds(),
	}).Info("no room for an attempt of a peer in the own part of a limit")
	return w.Write(head{Failure: &failure{Cause: sender.CausePeer, Detail: "the part of the limit is used up"}, RetryAfter: wait})
}

// err returns the failure that the message names.
func (h head) err() error {
	if h.RetryAfter > 0 && !h.Failure.Dispatched {
		return &sender.Failure{Cause: sender.CausePeer, Err: &balancer.LimitedError{RetryAfter: min(h.RetryAfter, maxShareWait)}}
	}
	return h.Failure.err()
}

// sendThroughHolders makes an attempt through a peer that holds a part of the limit of the
// server. If none makes it, the failure wraps a *balancer.LimitedError.
func (t *Tunneler) sendThroughHolders(ctx context.Context, a forwarder.Attempt) (*forwarder.Answer, error) {
	started := t.cfg.Clock.Now()
	service, server := a.Request.Service, a.Backend.ID
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
		id := t.peers.takeHolder(service, server, a.Holders, tried, now)
		if id == "" {
			break
		}
		tried = append(tried, id)
		answer, err := t.sendThrough(ctx, id, linker.KindHolderAttempt, requestOf(left))
		if err == nil {
			t.cfg.Observer.ObserveAnswer(a.Backend, answer, now)
		}
		if !isNotMade(err) || ctx.Err() != nil {
			return answer, err
		}
		t.peers.recordNotMade(id, server, err, t.cfg.Clock.Now())
		t.cfg.Logger.WithError(err).WithFields(logrus.Fields{"request": a.Request.ID, "peer": id, reporter.FieldBackendServer: server}).
			Info("holder of a limit does not make an attempt")
	}
	limited := &balancer.LimitedError{RetryAfter: t.peers.retryAfter(service, server, a.Holders, tried, t.cfg.Clock.Now())}
	return nil, &sender.Failure{Cause: sender.CausePeer, Err: merry.Prependf(limited, "none of %d holders of the limit of %s makes the attempt", len(tried), server)}
}

// isNotMade reports whether a holder has certainly not made an attempt, for a reason that
// does not concern the other holders.
func isNotMade(err error) bool {
	var f *sender.Failure
	return errors.As(err, &f) && !f.Dispatched && (f.Cause == sender.CausePeer || f.Cause == sender.CauseNoFreeConnection)
}

// takesShare reports whether a peer may make an attempt at a server in its part of the
// server's limit.
func (ps *peers) takesShare(p *peer, service, server string, now time.Time) bool {
	return p != nil && p.isFree(now) && !now.Before(p.usedUntil[server]) && (p.reports(now) && !p.cutOff[service] || ps.isUnknown(p))
}

// shareWait returns the time until one of the holders may have room at a server, as far as
// this is known: those that had none have said when they have again.
func (ps *peers) shareWait(service, server string, holders []string, now time.Time) (wait time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	wait = maxShareWait
	for _, id := range holders {
		p := ps.known[id]
		if ps.takesShare(p, service, server, now) {
			return 0
		}
		if p != nil && p.usedUntil[server].After(now) {
			wait = min(wait, p.usedUntil[server].Sub(now))
		}
	}
	return wait
}

// takeHolder chooses a holder that has not been tried and counts a request on it: one with
// few requests under way, rather in the own failure domain. The choice among equal ones is
// random, so that the parts of all holders are used. It returns "" if there is none.
func (ps *peers) takeHolder(service, server string, holders, tried []string, now time.Time) string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var best *peer
	bestCost := 0.0
	for _, id := range holders {
		p := ps.known[id]
		if slices.Contains(tried, id) || !ps.takesShare(p, service, server, now) {
			continue
		}
		cost := float64(p.inFlight) + rand.Float64()
		if p.domain != ps.domain {
			cost += otherDomainCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if best == nil {
		return ""
	}
	best.inFlight++
	return best.id
}

// recordNotMade records why a holder did not make an attempt. One that is unreachable is
// avoided for other work as well.
func (ps *peers) recordNotMade(id, server string, err error, now time.Time) {
	if errors.Is(err, linker.ErrUnreachable) {
		ps.avoid(id, now)
		return
	}
	wait := avoidTime
	var limited *balancer.LimitedError
	if errors.As(err, &limited) {
		wait = limited.RetryAfter
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.known[id]
	if p == nil {
		return
	}
	if len(p.usedUntil) >= maxUsedShares {
		maps.DeleteFunc(p.usedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	p.usedUntil[server] = now.Add(wait)
}

// retryAfter returns when a caller is to return for which the holders that were asked did
// not make the attempt: once one of these has room again, or one that was not asked may.
func (ps *peers) retryAfter(service, server string, holders, asked []string, now time.Time) time.Duration {
	others := slices.DeleteFunc(slices.Clone(holders), func(id string) bool { return slices.Contains(asked, id) })
	wait := min(ps.shareWait(service, server, asked, now), ps.shareWait(service, server, others, now))
	return max(wait, minShareWait)
}

func sentSide(kind linker.Kind) string {
	if kind == linker.KindHolderAttempt {
		return "sent-to-holder"
	}
	return "sent"
}

func servedSide(asHolder bool) string {
	if asHolder {
		return "served-as-holder"
	}
	return "served"
}

func (t *Tunneler) countResult(side, result string) {
	t.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("side", side), attribute.String("result", result)))
}
