package batcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	maxTries         = 3
	retryDelayFactor = 4
	maxReasonBytes   = 1 << 10
)

// A chunkRun runs the items of a claimed chunk side by side.
type chunkRun struct {
	batcher      *Batcher
	claim        *claim
	manifest     Manifest
	items        []Item
	earlierItems int   // Items that had ended before this claim.
	cause        error // Why the run ended early; nil when all items have ended.

	mu         sync.Mutex
	records    map[int]ItemRecord // Ended items by position.
	inFlight   int
	progressAt time.Time // When an item last ended other than by a refusal.
}

func newChunkRun(b *Batcher, c *claim, m Manifest, items []Item, earlier []ItemRecord) *chunkRun {
	r := &chunkRun{
		batcher: b, claim: c, manifest: m, items: items,
		records: make(map[int]ItemRecord, len(items)), progressAt: b.cfg.Clock.Now(),
	}
	for _, record := range earlier {
		if record.Index < len(items) {
			r.records[record.Index] = record
		}
	}
	r.earlierItems = len(r.records)
	return r
}

// run runs the items until they have ended or itemsCtx ends, and commits or
// hands back the chunk. The whole is bounded by ctx.
func (r *chunkRun) run(ctx, itemsCtx context.Context, queued func()) {
	r.runItems(itemsCtx, queued)
	if len(r.records) == len(r.items) {
		r.batcher.commit(ctx, r)
		return
	}
	r.cause = context.Cause(itemsCtx)
	if errors.Is(r.cause, errClaimLost) {
		r.batcher.claimLogger(r.claim).Info("a claim was taken over; its results are dropped")
		return
	}
	r.batcher.releaseClaim(ctx, r)
}

// A place is an item in the queue of its lane.
type queuedItem struct {
	index  int
	lane   *lane
	ticket chan struct{}
}

// runItems queues all items before any may start, so that the lane does not ask
// for another chunk meanwhile.
func (r *chunkRun) runItems(ctx context.Context, queued func()) {
	var queue []queuedItem
	for i, item := range r.items {
		if _, ended := r.records[i]; ended {
			continue
		}
		l := r.batcher.lanes.get(item.Lane)
		queue = append(queue, queuedItem{index: i, lane: l, ticket: l.enqueue()})
	}
	queued()

	var watching, wg conc.WaitGroup
	finished := make(chan struct{})
	watching.Go(func() { r.watchForStall(ctx, finished) })
	for _, p := range queue {
		wg.Go(func() { r.runItem(ctx, p) })
	}
	wg.Wait()
	close(finished)
	watching.Wait()
}

// watch ends the run when no item has found room for long.
func (r *chunkRun) watchForStall(ctx context.Context, finished <-chan struct{}) {
	clock, stallTime := r.batcher.cfg.Clock, r.batcher.cfg.StallTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-finished:
			return
		case <-clock.After(stallTime / 4):
		}
		r.mu.Lock()
		stalled := r.inFlight == 0 && clock.Now().Sub(r.progressAt) >= stallTime
		r.mu.Unlock()
		if stalled {
			r.claim.cancel(errStalled)
			return
		}
	}
}

// runItem tries an item until it has ended.
func (r *chunkRun) runItem(ctx context.Context, p queuedItem) {
	record := ItemRecord{Index: p.index, CustomID: r.items[p.index].CustomID}
	pause := r.batcher.cfg.RetryDelay
	for p.lane.await(ctx, p.ticket) == nil {
		v := r.tryOnce(ctx, p.lane, &record)
		switch {
		case v == tryStopped:
			return
		case v == tryRefused:
		case v == tryEnded, record.Tries >= maxTries:
			r.addRecord(record)
			return
		default:
			if !wait(ctx, r.batcher.cfg.Clock, pause) {
				return
			}
			pause *= retryDelayFactor
		}
		p.ticket = p.lane.enqueue()
	}
}

// A verdict says what follows from one try of an item.
type tryResult int

const (
	tryEnded   tryResult = iota // The item is done, or cannot be done.
	tryFailed                   // It counts as a try.
	tryRefused                  // It found no room or yielded.
	tryStopped                  // The run ends.
)

// try runs an item once, in the slot that it holds.
func (r *chunkRun) tryOnce(ctx context.Context, l *lane, record *ItemRecord) (v tryResult) {
	r.addInFlight(1)
	tryCtx, cancel := context.WithTimeout(ctx, r.batcher.cfg.ItemTimeout)
	defer cancel()
	var result ItemResult
	var err error
	if caught := panics.Try(func() {
		result, err = r.batcher.cfg.Runner.RunItem(tryCtx, r.items[record.Index])
	}); caught != nil {
		err = merry.Errorf("panic: %v", caught.Value)
	}
	v = recordTry(ctx, result, err, record)
	r.addInFlight(-1)
	if v == tryRefused {
		l.release(outcomeRejected)
		return v
	}
	l.release(outcomeAccepted)
	r.markProgress()
	return v
}

// judge notes the result of a try in the record of the item.
func recordTry(ctx context.Context, result ItemResult, err error, record *ItemRecord) tryResult {
	switch {
	case err != nil && ctx.Err() != nil:
		return tryStopped
	case err != nil && requeueable(err):
		return tryRefused
	}
	record.Tries++
	record.StatusCode, record.Body, record.Tokens = result.StatusCode, result.Body, result.Tokens
	record.Failure = ""
	switch {
	case err != nil:
		record.Failure = failureReason(err)
		return tryFailed
	case len(result.Body) > maxResultBytes:
		record.Body = nil
		record.Failure = fmt.Sprintf("the answer of %d bytes is above %d bytes", len(result.Body), maxResultBytes)
		return tryEnded
	case result.StatusCode < http.StatusBadRequest:
		return tryEnded
	}
	record.Failure = fmt.Sprintf("the backend server answered with status %d", result.StatusCode)
	if retryableStatus(result.StatusCode) {
		return tryFailed
	}
	return tryEnded
}

// requeueable says whether an error means that the item can run later as if it had
// not been tried.
func requeueable(err error) bool {
	if errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrYielded) {
		return true
	}
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != refuser.NotRun {
		return false
	}
	switch refusal.Code {
	case refuser.Draining, refuser.NoBackendServer, refuser.NotConfigured, refuser.RateExceeded:
		return true
	}
	return false
}

// retryableStatus says whether another try may get past a status.
func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func failureReason(err error) string {
	text := err.Error()
	return text[:min(len(text), maxReasonBytes)]
}

func (r *chunkRun) addInFlight(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += n
}

func (r *chunkRun) markProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressAt = r.batcher.cfg.Clock.Now()
}

func (r *chunkRun) addRecord(record ItemRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[record.Index] = record
}

// ended returns the records of the ended items in their order.
func (r *chunkRun) endedRecords() (records []ItemRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b ItemRecord) int { return a.Index - b.Index })
	return records
}

// workDone returns the items that this run has ended, with their tokens.
func (r *chunkRun) workDone() (items int, tokens int64) {
	for _, record := range r.endedRecords() {
		tokens += record.Tokens
	}
	return len(r.records) - r.earlierItems, tokens
}
