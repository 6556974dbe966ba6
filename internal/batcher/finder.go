package batcher

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

const (
	// A listing of the index takes all keys that start with some hexadecimal
	// digits of the hash, as many as keep it between the two bounds. The next
	// listing takes the keys after them. A listing of 256 jobs is about 70 KB
	// every ten seconds.
	maxListed       = 256
	minListed       = 8 // Less than maxListed/16, so that the number of digits settles.
	maxPrefixDigits = 4
	// initialPrefixDigits keeps the first listing small; it grows at once when there
	// are few jobs.
	initialPrefixDigits = 2
	// A round makes up to maxListings, until it has seen enoughListed jobs.
	maxListings  = 4
	enoughListed = maxListed / 2
)

// A finder learns of open jobs and of cancellations from the platform. It knows
// all jobs when they are few, and with many jobs comes to know all of them in
// turn.
type finder struct {
	batcher      *Batcher
	prefixDigits int
	listedAll    bool   // The last listing took the whole index.
	partition    uint32 // Among the 16^digits parts of the index.
}

func newFinder(b *Batcher) *finder {
	h := fnv.New32a()
	_, _ = h.Write([]byte(b.cfg.Instance))
	return &finder{batcher: b, prefixDigits: initialPrefixDigits, partition: h.Sum32()}
}

// Hint makes an open job known at once, rather than at the next listing that
// holds it.
func (b *Batcher) AddOpenJob(open OpenJob) {
	j, added := b.jobs.add(open, b.cfg.Clock.Now())
	if !added && j.open.Lane != open.Lane { // A new submission under an old name.
		b.forget(j)
		_, added = b.jobs.add(open, b.cfg.Clock.Now())
	}
	b.scheduler.Add(scheduler.Job{
		Key: open.key(), Lane: open.Lane, AcceptedAt: open.AcceptedAt, Due: open.Due, Remaining: open.Items,
	})
	if added {
		b.lanes.get(open.Lane)
	}
	b.wakeUp()
}

// forget drops a job that has ended.
func (b *Batcher) forget(j *job) {
	b.jobs.remove(j.key)
	b.scheduler.Remove(j.open.Lane, j.key)
}

// run lists open jobs until ctx ends.
func (f *finder) run(ctx context.Context) {
	for {
		if err := f.round(ctx); err != nil && ctx.Err() == nil {
			f.batcher.handlePlatformError(err, "open jobs were not listed")
		}
		if !wait(ctx, f.batcher.cfg.Clock, f.batcher.cfg.PollPeriod) {
			return
		}
	}
}

// round makes as many listings as one period allows.
func (f *finder) round(ctx context.Context) (err error) {
	total := 0
	for range maxListings {
		listed, err := f.poll(ctx)
		if err != nil {
			return err
		}
		total += listed
		if f.listedAll || total >= enoughListed {
			break
		}
	}
	return nil
}

// poll takes in one listing.
func (f *finder) poll(ctx context.Context) (jobs int, err error) {
	b := f.batcher
	prefix := f.prefix()
	startedAt := b.cfg.Clock.Now()
	entries, err := b.cfg.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	listed := make(map[scheduler.Key]bool, len(entries))
	for _, entry := range entries {
		var open OpenJob
		k, ok := parseKey(entry.Key)
		if !ok || decode(entry.Key, entry.Value, &open) != nil {
			b.cfg.Logger.WithField("key", entry.Key).Warn("an entry of the index of open jobs is malformed")
			continue
		}
		open.Workspace, open.Job = k.Workspace, k.Job
		listed[k] = true
		b.AddOpenJob(open)
	}
	for _, j := range b.jobs.withPrefix(prefix) {
		if !listed[j.key] && j.idle() && j.addedAt.Before(startedAt) {
			b.forget(j)
		}
	}
	f.selectNext(len(entries))
	return len(entries), nil
}

func (f *finder) prefix() string {
	if f.prefixDigits == 0 {
		return openPrefix
	}
	return fmt.Sprintf("%s%0*x", openPrefix, f.prefixDigits, f.partition%(1<<(4*f.prefixDigits)))
}

// advance chooses the next part of the index.
func (f *finder) selectNext(listed int) {
	f.listedAll = f.prefixDigits == 0
	switch {
	case listed < minListed && f.prefixDigits > 0:
		f.prefixDigits--
		f.partition >>= 4
	case listed > maxListed && f.prefixDigits < maxPrefixDigits:
		f.prefixDigits++
		f.partition <<= 4
	default:
		f.partition++
	}
}

// pollCancellations looks for cancelled jobs while chunks are in hand, until ctx ends.
func (f *finder) pollCancellations(ctx context.Context) {
	b := f.batcher
	for wait(ctx, b.cfg.Clock, b.cfg.CancelPeriod) {
		if b.activeChunks.Load() == 0 {
			continue
		}
		entries, err := b.cfg.Store.List(ctx, cancelPrefix)
		if err != nil {
			if ctx.Err() == nil {
				b.handlePlatformError(err, "cancelled jobs were not listed")
			}
			continue
		}
		for _, entry := range entries {
			if k, ok := parseKey(entry.Key); ok {
				b.cancelItems(k)
			}
		}
	}
}

// cancelItems ends the running items of a job.
func (b *Batcher) cancelItems(k scheduler.Key) {
	j, ok := b.jobs.get(k)
	if !ok {
		return
	}
	for _, c := range j.claims() {
		c.cancel(errJobCancelled)
	}
}

// handlePlatformError notes that the platform did not answer: no more chunks are
// claimed for a while, and absent holders get their grace time again.
func (b *Batcher) handlePlatformError(err error, message string) {
	b.cfg.Logger.WithError(err).Warn(message)
	b.holderMonitor.reset()
	b.outageThrottle.block(outageDelay)
}
