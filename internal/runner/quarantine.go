package runner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const (
	quarantinePrefix = "quarantine/"
	// quarantineQueue bounds the digests that wait for the platform. What does
	// not fit is known to the present entries only.
	quarantineQueue = 64
	// quarantineRetry is the pause after a failed call to the platform.
	quarantineRetry = 5 * time.Second
)

// A quarantineRecord is the value of a key quarantine/<digest>, which a lease
// deletes at the end of the quarantine.
type quarantineRecord struct {
	Until time.Time `json:"until"`
}

// A quarantineKeeper writes quarantines to the platform and reads them at the
// start, so that entries that start later know them.
type quarantineKeeper struct {
	store   Store
	clock   clockwork.Clock
	log     logrus.FieldLogger
	queue   chan string      // Digests.
	retrier *retrier.Retrier // Set once it is made; it announces to the keeper.
}

func newQuarantineKeeper(store Store, clock clockwork.Clock, log logrus.FieldLogger) *quarantineKeeper {
	return &quarantineKeeper{store: store, clock: clock, log: log, queue: make(chan string, quarantineQueue)}
}

// Announce notes a crash suspect, which may now be in quarantine.
func (k *quarantineKeeper) Announce(n retrier.Notice) {
	if n.Acquitted {
		return
	}
	select {
	case k.queue <- n.Digest:
	default:
		k.log.Warn("quarantine not recorded because the queue is full")
	}
}

// Start reads the quarantines and then writes new ones until ctx ends.
func (k *quarantineKeeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		k.run(ctx)
		done <- nil
	}()
	return done
}

func (k *quarantineKeeper) run(ctx context.Context) {
	k.insist(ctx, "read quarantines", k.load)
	for {
		select {
		case <-ctx.Done():
			return
		case digest := <-k.queue:
			k.insist(ctx, "record quarantine", func(ctx context.Context) error { return k.record(ctx, digest) })
		}
	}
}

// insist repeats a call to the platform until it succeeds or ctx ends.
func (k *quarantineKeeper) insist(ctx context.Context, what string, call func(context.Context) error) {
	for {
		err := call(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.log.WithError(err).Warn(what)
		select {
		case <-ctx.Done():
			return
		case <-k.clock.After(quarantineRetry):
		}
	}
}

func (k *quarantineKeeper) load(ctx context.Context) error {
	entries, err := k.store.List(ctx, quarantinePrefix)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		var record quarantineRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			k.log.WithError(err).Warn("quarantine cannot be read")
			continue
		}
		k.retrier.LearnQuarantine(strings.TrimPrefix(entry.Key, quarantinePrefix), record.Until)
	}
	return nil
}

// record writes the quarantine of a digest, unless another entry has done so.
func (k *quarantineKeeper) record(ctx context.Context, digest string) (err error) {
	suspicion := k.retrier.Suspicion(digest)
	left := suspicion.Until.Sub(k.clock.Now())
	if !suspicion.Quarantined || left <= 0 {
		return nil
	}
	value, err := json.Marshal(quarantineRecord{Until: suspicion.Until})
	if err != nil {
		return err
	}
	lease, err := k.store.GrantLease(ctx, left)
	if err != nil {
		return err
	}
	_, err = k.store.Put(ctx, storer.PutRequest{Key: quarantinePrefix + digest, Value: value, LeaseID: lease.ID})
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// announcers tell several receivers about crash suspects.
type announcers []retrier.Announcer

// Announce implements retrier.Announcer.
func (a announcers) Announce(n retrier.Notice) {
	for _, announcer := range a {
		announcer.Announce(n)
	}
}
