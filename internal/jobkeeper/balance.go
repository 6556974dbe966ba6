package jobkeeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/admitter"
	"github.com/quetzalhitch/quetzalhitch/internal/encoder"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// errJobExists means that the submitted job is in the store already.
var errJobExists = merry.Sentinel("the job exists")

// A fullError means that a job does not fit the limit of its workspace on tokens that
// wait.
type fullError struct {
	limit      admitter.Limit
	retryAfter time.Duration
}

// Error implements error.
func (e *fullError) Error() string {
	return fmt.Sprintf("the job does not fit the limit of %d waiting tokens of workspace %s on route %s", e.limit.Tokens, e.limit.Workspace, e.limit.Route)
}

// balanceKey identifies the balance of a workspace on a route.
func balanceKey(l admitter.Limit) string { return "wait/" + l.Workspace + "/" + l.Route }

func (k *Keeper) storedBalanceKey(l admitter.Limit) string {
	return storer.BoundedKey(k.cfg.Prefix, balanceKey(l))
}

// limitOf returns the limit that a job has to fit, if its route has one.
func (k *Keeper) limitOf(m Manifest) (l admitter.Limit, policy int64, limited bool) {
	table := k.cfg.Policies.Table()
	if table == nil {
		return l, 0, false
	}
	route, ok := table.RouteByName(m.Route)
	if !ok || route.WaitingTokens <= 0 {
		return l, 0, false
	}
	return admitter.Limit{Workspace: m.Workspace, Route: m.Route, Tokens: route.WaitingTokens}, table.Policy.Version, true
}

// addBalance adds to the transaction that accepts a job the balance of its workspace,
// on condition that nobody changes it meanwhile. It returns a *fullError if the job
// does not fit, and errJobExists if the job has been accepted before.
func (k *Keeper) addBalance(ctx context.Context, t storer.Transaction, m Manifest) (storer.Transaction, error) {
	limit, policy, limited := k.limitOf(m)
	if !limited {
		return t, nil
	}
	tokens := m.tokens()
	if k.admitter.TakeHeadroom(limit, k.fleetView(limit), tokens) {
		return t, nil
	}
	if d, full := k.admitter.IsFull(limit, tokens); full {
		return t, k.refuseFull(ctx, m, limit, d)
	}
	balance, version, err := k.readBalance(ctx, limit)
	if err != nil {
		return t, err
	}
	if k.admitter.NeedsCount(limit, balance, policy, tokens) {
		count, err := k.countWaiting(ctx, limit, m.Job)
		if err != nil {
			return t, err
		}
		k.admitter.RecordCount(limit, count)
		balance = admitter.Balance{Waiting: count.Waiting, CountedAt: count.At, Policy: policy}
		if d := k.admitter.Decide(limit, count.Waiting, tokens); !d.Fits {
			return t, k.refuseFull(ctx, m, limit, d)
		}
	}
	balance.Waiting += tokens
	value, err := encoder.Marshal(balance)
	if err != nil {
		return t, err
	}
	key := k.storedBalanceKey(limit)
	t.Expect = slices.Concat(t.Expect, []storer.Precondition{{Key: key, Version: version}})
	t.Writes = slices.Concat(t.Writes, []storer.Write{{Key: key, Value: value}})
	return t, nil
}

// refuseFull returns the error for a job that does not fit, or errJobExists: a job that
// was accepted before is not refused.
func (k *Keeper) refuseFull(ctx context.Context, m Manifest, limit admitter.Limit, d admitter.Decision) error {
	_, _, err := k.readRecord(ctx, m.Job)
	switch {
	case err == nil:
		return errJobExists
	case !errors.Is(err, storer.ErrNotFound):
		return err
	}
	return &fullError{limit: limit, retryAfter: d.RetryAfter}
}

// readBalance returns the balance of a workspace on a route. A balance that does not
// exist or cannot be read is zero, and is counted before it is used.
func (k *Keeper) readBalance(ctx context.Context, limit admitter.Limit) (b admitter.Balance, version int64, err error) {
	defer func() { err = merry.Prepend(err, "read balance of waiting tokens") }()
	entry, err := k.cfg.Store.Get(ctx, k.storedBalanceKey(limit))
	if errors.Is(err, storer.ErrNotFound) {
		return b, 0, nil
	}
	if err != nil {
		return b, 0, err
	}
	if err := encoder.Unmarshal(entry.Value, &b); err != nil {
		k.cfg.Logger.WithError(err).WithField("key", entry.Key).Warn("balance of waiting tokens cannot be read; counting again")
		return admitter.Balance{}, entry.Version, nil
	}
	return b, entry.Version, nil
}

// countWaiting counts the tokens of a workspace's jobs on a route from their records.
// It returns errJobExists if the submitted job is among them. Jobs accepted later
// change the balance, which the write of the next job checks.
func (k *Keeper) countWaiting(ctx context.Context, limit admitter.Limit, submitted string) (c admitter.Count, err error) {
	defer func() { err = merry.Prepend(err, "count waiting tokens") }()
	var ended map[string]bool
	var endedErr error
	var reads conc.WaitGroup // At the same time, for a store that is slow.
	reads.Go(func() { ended, endedErr = k.listEnded(ctx) })
	listing, err := k.cfg.Store.List(ctx, k.key("run/"))
	reads.Wait()
	if err := errors.Join(err, endedErr); err != nil {
		return c, err
	}
	c.At = k.now()
	for _, entry := range listing.Entries {
		id := strings.TrimPrefix(entry.Key, k.key("run/"))
		if id == submitted {
			return c, errJobExists
		}
		var r Record
		if err := encoder.Unmarshal(entry.Value, &r); err != nil {
			k.log(id).WithError(err).Warn("record of a job cannot be read")
			continue
		}
		if r.Workspace != limit.Workspace || r.Route != limit.Route {
			continue
		}
		waiting := k.waitingTokens(id, r)
		c.Finished += r.Tokens - waiting
		if !ended[id] {
			c.Waiting += waiting
		}
	}
	k.cfg.Logger.WithFields(logrus.Fields{
		"workspace": limit.Workspace, "route": limit.Route, "waiting-tokens": c.Waiting, "limit": limit.Tokens, "version": listing.Version,
	}).Info("counted waiting tokens")
	return c, nil
}

// peerWaiting is the last report of a peer on the tokens that wait in its jobs.
type peerWaiting struct {
	reportedAt time.Time
	tokens     map[string]int64 // By balanceKey.
}

const (
	// waitingReportLifetime is how long a report of a peer counts. It covers three
	// exchanges of reports.
	waitingReportLifetime = time.Second
	// formerReportLifetime is how long the last report of an instance that is no member
	// any more counts. Until then its jobs may be in no other report: its lease has to
	// end, and a successor to take them over.
	formerReportLifetime = 15 * time.Second
)

// WaitingTokens returns the tokens of the unfinished items of the jobs of this
// instance, on routes that limit them.
func (k *Keeper) WaitingTokens() []admitter.Waiting {
	tokens := map[admitter.Limit]int64{}
	for i := range k.shards {
		for _, j := range k.shards[i].all() {
			limit, _, limited := k.limitOf(j.manifest)
			if waiting := j.unfinishedTokens(); limited && waiting > 0 {
				tokens[limit] += waiting
			}
		}
	}
	waiting := make([]admitter.Waiting, 0, len(tokens))
	for limit, n := range tokens {
		waiting = append(waiting, admitter.Waiting{Workspace: limit.Workspace, Route: limit.Route, Tokens: n})
	}
	return waiting
}

// RecordWaiting records the tokens that wait in the jobs of a peer.
func (k *Keeper) RecordWaiting(owner string, waiting []admitter.Waiting) {
	report := peerWaiting{reportedAt: k.now(), tokens: make(map[string]int64, len(waiting))}
	for _, w := range waiting {
		report.tokens[balanceKey(admitter.Limit{Workspace: w.Workspace, Route: w.Route})] = w.Tokens
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peersWaiting[owner] = report
	k.allReported = k.allReported || k.allReport(report.reportedAt)
}

// fleetView returns what the reports tell about a workspace on a route.
func (k *Keeper) fleetView(limit admitter.Limit) admitter.FleetView {
	var view admitter.FleetView
	for _, w := range k.WaitingTokens() {
		if w.Workspace == limit.Workspace && w.Route == limit.Route {
			view.Waiting += w.Tokens
		}
	}
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	view.Instances = len(k.members) + 1
	view.Complete = k.allReport(now)
	k.allReported = k.allReported || view.Complete
	view.Known = k.allReported
	for id, report := range k.peersWaiting {
		if _, member := k.members[id]; !member && now.Sub(report.reportedAt) > formerReportLifetime {
			delete(k.peersWaiting, id)
			continue
		}
		view.Waiting += report.tokens[balanceKey(limit)]
	}
	return view
}

// allReport reports whether the last report of each member is recent. The caller holds
// k.mu.
func (k *Keeper) allReport(now time.Time) bool {
	for id := range k.members {
		if report, ok := k.peersWaiting[id]; !ok || now.Sub(report.reportedAt) >= waitingReportLifetime {
			return false
		}
	}
	return k.membersKnown
}

// waitingTokens returns the tokens of a job's items without a result. The owner knows
// of results that its record does not list yet.
func (k *Keeper) waitingTokens(id string, r Record) int64 {
	j, ok := k.owned(id)
	if !ok {
		return r.WaitingTokens
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return r.WaitingTokens
	}
	return j.waiting
}

// listEnded returns the jobs that their callers ended.
func (k *Keeper) listEnded(ctx context.Context) (map[string]bool, error) {
	listing, err := k.cfg.Store.List(ctx, k.cfg.EndPrefix)
	if err != nil {
		return nil, err
	}
	ended := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		ended[strings.TrimPrefix(entry.Key, k.cfg.EndPrefix)] = true
	}
	return ended, nil
}

// tokens returns the tokens of all items of a job.
func (m Manifest) tokens() (n int64) {
	for i := range m.Items {
		n += m.Items[i].Tokens
	}
	return n
}
