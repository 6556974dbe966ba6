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
	// maxCrashPause is the longest delay of a try after servers crashed under the item.
	maxCrashPause  = 30 * time.Second
	maxReasonBytes = 1 << 10
)

// A chunkRun runs the items of a claimed chunk concurrently.
type chunkRun struct {
	batcher      *Batcher
	claim        *claim
	manifest     Manifest
	items        []Item
	earlierItems int   // Number of items that earlier holders had ended.
	cause        error // Why the run ended early; nil when all items have ended.

	mu         sync.Mutex
	records    map[int]ItemRecord // Ended items by index.
	inFlight   int
	progressAt time.Time // When a try last ended other than by a refusal.
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

// run runs the items until they have ended or itemsCtx ends, and then commits or
// releases the chunk. ctx bounds the commit as well.
func (r *chunkRun) run(ctx, itemsCtx context.Context, donePreparing func()) {
	r.runItems(itemsCtx, donePreparing)
	if len(r.records) == len(r.items) {
		r.batcher.commit(ctx, r)
		return
	}
	r.cause = context.Cause(itemsCtx)
	if errors.Is(r.cause, errClaimLost) {
		r.batcher.claimLogger(r.claim).Info("a claim was taken over by another instance; discarding its results")
		return
	}
	r.batcher.releaseClaim(ctx, r)
}

// A queuedItem is an item that waits in the queue of its lane.
type queuedItem struct {
	index  int
	lane   *lane
	ticket chan struct{}
}

// runItems queues all items before the first one starts, so that the lane does
// not request another chunk in the meantime. It then calls donePreparing.
func (r *chunkRun) runItems(ctx context.Context, donePreparing func()) {
	var queue []queuedItem
	for i, item := range r.items {
		if _, ended := r.records[i]; ended {
			continue
		}
		l := r.batcher.lanes.get(item.Lane)
		queue = append(queue, queuedItem{index: i, lane: l, ticket: l.enqueue()})
	}
	donePreparing()

	var watcher, wg conc.WaitGroup
	finished := make(chan struct{})
	watcher.Go(func() { r.watchForStall(ctx, finished) })
	for _, q := range queue {
		wg.Go(func() { r.runItem(ctx, q) })
	}
	wg.Wait()
	close(finished)
	watcher.Wait()
}

// watchForStall cancels the claim when no item has been accepted for StallTimeout.
func (r *chunkRun) watchForStall(ctx context.Context, finished <-chan struct{}) {
	clock, timeout := r.batcher.cfg.Clock, r.batcher.cfg.StallTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-finished:
			return
		case <-clock.After(timeout / 4):
		}
		r.mu.Lock()
		stalled := r.inFlight == 0 && clock.Now().Sub(r.progressAt) >= timeout
		r.mu.Unlock()
		if stalled {
			r.claim.cancel(errStalled)
			return
		}
	}
}

// runItem runs an item until it is done, has failed for good or ctx ends.
func (r *chunkRun) runItem(ctx context.Context, q queuedItem) {
	record := ItemRecord{Index: q.index, CustomID: r.items[q.index].CustomID}
	pause, crashPause := r.batcher.cfg.RetryDelay, r.batcher.cfg.RetryDelay
	for q.lane.await(ctx, q.ticket) == nil {
		v := r.tryOnce(ctx, q.lane, &record)
		switch {
		case v == tryStopped:
			return
		case v == tryRefused:
		case v == tryCrashed:
			if !wait(ctx, r.batcher.cfg.Clock, crashPause) {
				return
			}
			crashPause = min(2*crashPause, maxCrashPause)
		case v == tryEnded, record.Tries >= maxTries:
			r.addRecord(record)
			return
		default:
			if !wait(ctx, r.batcher.cfg.Clock, pause) {
				return
			}
			pause *= retryDelayFactor
		}
		q.ticket = q.lane.enqueue()
	}
}

// A tryResult is the outcome of one try of an item.
type tryResult int

const (
	tryEnded   tryResult = iota // The item is done, or failed and must not be retried.
	tryFailed                   // The try failed and counts.
	tryRefused                  // The item was refused or preempted; the try does not count.
	tryCrashed                  // The server crashed; the try does not count.
	tryStopped                  // The run is being stopped.
)

// tryOnce runs an item once and releases its slot in the lane.
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

// recordTry classifies the result of a try and updates the record of the item.
func recordTry(ctx context.Context, result ItemResult, err error, record *ItemRecord) tryResult {
	switch {
	case err != nil && ctx.Err() != nil:
		return tryStopped
	case errors.Is(err, ErrServerCrashed):
		return tryCrashed
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

// requeueable reports whether the item can run again later without counting a
// try.
func requeueable(err error) bool {
	if errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrPreempted) {
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

// retryableStatus reports whether another try may succeed after the status.
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

// endedRecords returns the records of the ended items, in the order of the items.
func (r *chunkRun) endedRecords() (records []ItemRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b ItemRecord) int { return a.Index - b.Index })
	return records
}

// workDone returns the number of items that this run has ended, and the tokens of
// all ended items.
func (r *chunkRun) workDone() (items int, tokens int64) {
	for _, record := range r.endedRecords() {
		tokens += record.Tokens
	}
	return len(r.records) - r.earlierItems, tokens
}
