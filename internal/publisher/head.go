package publisher

import (
	"bytes"
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// storeSnapshot writes a snapshot before the head refers to it. The key contains
// the digest and a random ID, so no other content is ever written there. A write
// with an unknown effect is read back and repeated if the key is absent.
func (p *Publisher) storeSnapshot(ctx context.Context, r *storedSnapshot) (err error) {
	retry := p.newBackoff()
	for {
		_, err := p.cfg.Store.Put(ctx, storer.PutRequest{Key: r.key, Value: r.data})
		if err == nil {
			return nil
		}
		effectUnknown := errors.Is(err, storer.ErrUnknownEffect)
		if !effectUnknown && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		entry, err := p.cfg.Store.Get(ctx, r.key)
		switch {
		case err == nil && bytes.Equal(entry.Value, r.data):
			return nil
		case err == nil:
			return merry.Prepend(errCorrupt, r.key)
		case !errors.Is(err, storer.ErrNotFound):
			// The head is unchanged, so nothing was accepted.
			return err
		}
		if !retry.wait(ctx) {
			return merry.Wrap(storer.ErrUnavailable, merry.WithCause(ctx.Err()))
		}
	}
}

// moveHead makes a snapshot the head if the head is still at the base version.
// It returns false when another release note was accepted first, and ErrInDoubt
// when the outcome stays unknown.
func (p *Publisher) moveHead(ctx context.Context, b *base, next *storedSnapshot) (moved bool, err error) {
	value, err := next.head()
	if err != nil {
		return false, merry.Wrap(err)
	}
	write := storer.PutRequest{Key: headKey, Value: value, ExpectedVersion: b.version}
	_, err = p.cfg.Store.Put(ctx, write)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, storer.ErrConflict):
		return false, nil
	case !errors.Is(err, storer.ErrUnknownEffect):
		return false, err
	}
	p.cfg.Logger.WithField("apply-id", next.ApplyID).Warn("answer to the head write lost; reading the head back")
	return p.resolveHeadWrite(ctx, b, next, write)
}

// resolveHeadWrite determines the outcome of a head write whose answer was lost.
// While the head is at the base version, the write may still be in flight, so
// the same write is repeated: both expect the same version and carry the same
// value, so that at most one of them takes effect. Once the head has moved, a
// delayed write can no longer take effect, and the chain of snapshots shows
// whether it did.
func (p *Publisher) resolveHeadWrite(ctx context.Context, b *base, next *storedSnapshot, write storer.PutRequest) (moved bool, err error) {
	retry := p.newBackoff()
	for retry.wait(ctx) {
		entry, err := p.cfg.Store.Get(ctx, headKey)
		if errors.Is(err, storer.ErrNotFound) {
			entry, err = storer.Entry{}, nil
		}
		if err != nil {
			continue
		}
		if entry.Version == b.version {
			if _, err := p.cfg.Store.Put(ctx, write); err == nil {
				return true, nil
			}
			continue
		}
		moved, err := p.isHeadOrAncestor(ctx, entry, next)
		if err == nil {
			return moved, nil
		}
	}
	return false, merry.Prependf(ErrInDoubt, "apply %s", next.ApplyID)
}

// isHeadOrAncestor reports whether a snapshot is the head or one of its
// predecessors.
func (p *Publisher) isHeadOrAncestor(ctx context.Context, entry storer.Entry, r *storedSnapshot) (found bool, err error) {
	h, err := parseHead(entry)
	if err != nil {
		return false, err
	}
	key := h.Snapshot
	for revision := h.Revision; revision > r.Revision; revision-- {
		successor, err := p.fetch(ctx, key)
		if err != nil {
			return false, err
		}
		key = successor.Previous
	}
	return key == r.key, nil
}
