package batcher

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

const (
	// The index is listed in partitions: all keys that share a prefix of
	// hexadecimal digits of the hash. The number of digits is adapted to keep
	// the size of a listing between minListed and maxListed. A listing of 256
	// jobs is about 70 KB every ten seconds.
	maxListed       = 256
	minListed       = 8 // Less than maxListed/16, so that the number of digits does not oscillate.
	maxPrefixDigits = 4
	// initialPrefixDigits keeps the first listing small; the partitions grow
	// quickly when there are few jobs.
	initialPrefixDigits = 2
	// A round makes up to maxListings listings and stops after enoughListed jobs.
	maxListings  = 4
	enoughListed = maxListed / 2
)

// A finder polls the platform for open jobs and cancellations. A small index is
// listed whole; a large one is listed partition by partition.
type finder struct {
	batcher      *Batcher
	prefixDigits int
	listedAll    bool   // The last listing covered the whole index.
	partition    uint32 // Next partition, modulo 16^prefixDigits.
}

func newFinder(b *Batcher) *finder {
	h := fnv.New32a()
	_, _ = h.Write([]byte(b.cfg.Instance))
	return &finder{batcher: b, prefixDigits: initialPrefixDigits, partition: h.Sum32()}
}

// AddOpenJob adds an open job at once, rather than at the next listing that
// contains it.
func (b *Batcher) AddOpenJob(open OpenJob) {
	j, added := b.jobs.add(open, b.cfg.Clock.Now())
	if !added && j.open.Lane != open.Lane { // The name was submitted again with another lane.
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

// forget removes a job that has ended from memory.
func (b *Batcher) forget(j *job) {
	b.jobs.remove(j.key)
	b.scheduler.Remove(j.open.Lane, j.key)
}

// run lists open jobs until ctx ends.
func (f *finder) run(ctx context.Context) {
	for {
		if err := f.round(ctx); err != nil && ctx.Err() == nil {
			f.batcher.handlePlatformError(err, "listing open jobs failed")
		}
		if !wait(ctx, f.batcher.cfg.Clock, f.batcher.cfg.PollPeriod) {
			return
		}
	}
}

// round makes the listings of one poll period.
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

// poll lists one partition, adds the jobs in it and forgets those that are gone.
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
			b.cfg.Logger.WithField("key", entry.Key).Warn("malformed entry in the index of open jobs")
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

// selectNext chooses the next partition and adapts the number of digits.
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

// pollCancellations polls for cancelled jobs until ctx ends, but only while
// chunks are active.
func (f *finder) pollCancellations(ctx context.Context) {
	b := f.batcher
	for wait(ctx, b.cfg.Clock, b.cfg.CancelPeriod) {
		if b.activeChunks.Load() == 0 {
			continue
		}
		entries, err := b.cfg.Store.List(ctx, cancelPrefix)
		if err != nil {
			if ctx.Err() == nil {
				b.handlePlatformError(err, "listing cancelled jobs failed")
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

// cancelItems cancels the running items of a job.
func (b *Batcher) cancelItems(k scheduler.Key) {
	j, ok := b.jobs.get(k)
	if !ok {
		return
	}
	for _, c := range j.claims() {
		c.cancel(errJobCancelled)
	}
}

// handlePlatformError logs an error of the platform. It suspends claims for a
// while and restarts the grace period of missing holders.
func (b *Batcher) handlePlatformError(err error, message string) {
	b.cfg.Logger.WithError(err).Warn(message)
	b.holderMonitor.reset()
	b.outageThrottle.block(outageDelay)
}
