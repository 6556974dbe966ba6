package publisher

import (
	"bytes"
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// storeSnapshot makes a snapshot durable before the head names it. Its key
// holds its digest and a random id, so nobody else writes other content there
// and a doubtful write can be read back and, if it is absent, made again.
func (p *Publisher) storeSnapshot(ctx context.Context, r *record) (err error) {
	wait := p.newBackoff()
	for {
		_, err := p.cfg.Store.Put(ctx, storer.PutRequest{Key: r.key, Value: r.data})
		if err == nil {
			return nil
		}
		doubtful := errors.Is(err, storer.ErrUnknownEffect)
		if !doubtful && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		entry, err := p.cfg.Store.Get(ctx, r.key)
		switch {
		case err == nil && bytes.Equal(entry.Value, r.data):
			return nil
		case err == nil:
			return merry.Prepend(errCorrupt, r.key)
		case !errors.Is(err, storer.ErrNotFound):
			// The head has not been touched, so nothing was accepted.
			return err
		}
		if !wait.pause(ctx) {
			return merry.Wrap(storer.ErrUnavailable, merry.WithCause(ctx.Err()))
		}
	}
}

// moveHead makes a snapshot the head if the head is still at the base. It
// reports false when another release note was accepted first, and ErrInDoubt
// when it cannot tell.
func (p *Publisher) moveHead(ctx context.Context, b *base, next *record) (moved bool, err error) {
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
	p.cfg.Logger.WithField("apply-id", next.ApplyID).Warn("answer to the head write lost; reading back")
	return p.resolve(ctx, b, next, write)
}

// resolve finds out what became of a head write whose answer was lost. While
// the head stands at the base, the write may still be under way. The same
// write is then made again: both expect the same version, so that at most one
// of them takes effect, and both have the same value. Once the head has moved,
// a late write can no longer take effect, and the chain of snapshots tells
// whether it did.
func (p *Publisher) resolve(ctx context.Context, b *base, next *record, write storer.PutRequest) (moved bool, err error) {
	wait := p.newBackoff()
	for wait.pause(ctx) {
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
		moved, err := p.inChain(ctx, entry, next)
		if err == nil {
			return moved, nil
		}
	}
	return false, merry.Prependf(ErrInDoubt, "apply %s", next.ApplyID)
}

// inChain reports whether a snapshot is the head or one of its predecessors.
func (p *Publisher) inChain(ctx context.Context, entry storer.Entry, r *record) (found bool, err error) {
	h, err := parseHead(entry)
	if err != nil {
		return false, err
	}
	key := h.Snapshot
	for revision := h.Revision; revision > r.Revision; revision-- {
		later, err := p.fetch(ctx, key)
		if err != nil {
			return false, err
		}
		key = later.Previous
	}
	return key == r.key, nil
}
