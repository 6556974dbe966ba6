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
	maxTries        = 3
	retryPauseRatio = 4
	maxReasonBytes  = 1 << 10
)

// A chunkRun runs the items of a claimed chunk side by side.
type chunkRun struct {
	batcher  *Batcher
	claim    *claim
	manifest Manifest
	items    []Item
	earlier  int   // Items that had ended before this claim.
	cause    error // Why the run ended early; nil when all items have ended.

	mu         sync.Mutex
	records    map[int]ItemRecord // Ended items by position.
	inFlight   int
	progressAt time.Time // When an item last ended other than by a refusal.
}

func newChunkRun(b *Batcher, c *claim, m Manifest, items []Item, before []ItemRecord) *chunkRun {
	r := &chunkRun{
		batcher: b, claim: c, manifest: m, items: items,
		records: make(map[int]ItemRecord, len(items)), progressAt: b.cfg.Clock.Now(),
	}
	for _, record := range before {
		if record.Index < len(items) {
			r.records[record.Index] = record
		}
	}
	r.earlier = len(r.records)
	return r
}

// run runs the items until they have ended or itemsCtx ends, and commits or
// hands back the chunk. The whole is bounded by ctx.
func (r *chunkRun) run(ctx, itemsCtx context.Context, prepared func()) {
	r.runItems(itemsCtx, prepared)
	if len(r.records) == len(r.items) {
		r.batcher.commit(ctx, r)
		return
	}
	r.cause = context.Cause(itemsCtx)
	if errors.Is(r.cause, errClaimLost) {
		r.batcher.logger(r.claim).Info("a claim was taken over; its results are dropped")
		return
	}
	r.batcher.handBack(ctx, r)
}

// A place is an item in the queue of its lane.
type place struct {
	index  int
	lane   *lane
	ticket chan struct{}
}

// runItems queues all items before any may start, so that the lane does not ask
// for another chunk meanwhile.
func (r *chunkRun) runItems(ctx context.Context, prepared func()) {
	var places []place
	for i, item := range r.items {
		if _, ended := r.records[i]; ended {
			continue
		}
		l := r.batcher.lanes.get(item.Lane)
		places = append(places, place{index: i, lane: l, ticket: l.enqueue()})
	}
	prepared()

	var watching, wg conc.WaitGroup
	over := make(chan struct{})
	watching.Go(func() { r.watch(ctx, over) })
	for _, p := range places {
		wg.Go(func() { r.runItem(ctx, p) })
	}
	wg.Wait()
	close(over)
	watching.Wait()
}

// watch ends the run when no item has found room for long.
func (r *chunkRun) watch(ctx context.Context, over <-chan struct{}) {
	clock, stallTime := r.batcher.cfg.Clock, r.batcher.cfg.StallTime
	for {
		select {
		case <-ctx.Done():
			return
		case <-over:
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
func (r *chunkRun) runItem(ctx context.Context, p place) {
	record := ItemRecord{Index: p.index, CustomID: r.items[p.index].CustomID}
	pause := r.batcher.cfg.RetryPause
	for p.lane.await(ctx, p.ticket) == nil {
		v := r.try(ctx, p.lane, &record)
		switch {
		case v == verdictStopped:
			return
		case v == verdictRefused:
		case v == verdictEnded, record.Tries >= maxTries:
			r.end(record)
			return
		default:
			if !wait(ctx, r.batcher.cfg.Clock, pause) {
				return
			}
			pause *= retryPauseRatio
		}
		p.ticket = p.lane.enqueue()
	}
}

// A verdict says what follows from one try of an item.
type verdict int

const (
	verdictEnded   verdict = iota // The item is done, or cannot be done.
	verdictFailed                 // It counts as a try.
	verdictRefused                // It found no room or yielded.
	verdictStopped                // The run ends.
)

// try runs an item once, in the slot that it holds.
func (r *chunkRun) try(ctx context.Context, l *lane, record *ItemRecord) (v verdict) {
	r.count(1)
	tryCtx, cancel := context.WithTimeout(ctx, r.batcher.cfg.ItemTimeout)
	defer cancel()
	var result ItemResult
	var err error
	if caught := panics.Try(func() {
		result, err = r.batcher.cfg.Runner.RunItem(tryCtx, r.items[record.Index])
	}); caught != nil {
		err = merry.Errorf("panic: %v", caught.Value)
	}
	v = judge(ctx, result, err, record)
	r.count(-1)
	if v == verdictRefused {
		l.release(outcomeNoRoom)
		return v
	}
	l.release(outcomeEnded)
	r.progress()
	return v
}

// judge notes the result of a try in the record of the item.
func judge(ctx context.Context, result ItemResult, err error, record *ItemRecord) verdict {
	switch {
	case err != nil && ctx.Err() != nil:
		return verdictStopped
	case err != nil && notTried(err):
		return verdictRefused
	}
	record.Tries++
	record.StatusCode, record.Body, record.Tokens = result.StatusCode, result.Body, result.Tokens
	record.Failure = ""
	switch {
	case err != nil:
		record.Failure = reason(err)
		return verdictFailed
	case len(result.Body) > maxResultBytes:
		record.Body = nil
		record.Failure = fmt.Sprintf("the answer of %d bytes is above %d bytes", len(result.Body), maxResultBytes)
		return verdictEnded
	case result.StatusCode < http.StatusBadRequest:
		return verdictEnded
	}
	record.Failure = fmt.Sprintf("the backend server answered with status %d", result.StatusCode)
	if mayHelp(result.StatusCode) {
		return verdictFailed
	}
	return verdictEnded
}

// notTried says whether an error means that the item can run later as if it had
// not been tried.
func notTried(err error) bool {
	if errors.Is(err, ErrNoRoom) || errors.Is(err, ErrYielded) {
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

// mayHelp says whether another try may get past a status.
func mayHelp(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func reason(err error) string {
	text := err.Error()
	return text[:min(len(text), maxReasonBytes)]
}

func (r *chunkRun) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += n
}

func (r *chunkRun) progress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressAt = r.batcher.cfg.Clock.Now()
}

func (r *chunkRun) end(record ItemRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[record.Index] = record
}

// ended returns the records of the ended items in their order.
func (r *chunkRun) ended() (records []ItemRecord) {
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
	for _, record := range r.ended() {
		tokens += record.Tokens
	}
	return len(r.records) - r.earlier, tokens
}
