package publisher

import (
	"context"
	"errors"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// followHead holds the one waiting watch on the head until ctx ends.
func (p *Publisher) followHead(ctx context.Context) error {
	wait := p.newBackoff()
	var version int64
	for ctx.Err() == nil {
		entry, err := p.cfg.Store.Watch(ctx, headKey, version)
		if err == nil {
			err = p.takeHead(ctx, entry)
		}
		switch {
		case err == nil:
			p.watching.Store(true)
			version = entry.Version
			wait.reset()
		case errors.Is(err, storer.ErrNotFound):
			version = 0
			p.loseHead(ctx, err, wait)
		default:
			p.loseHead(ctx, err, wait)
		}
	}
	return nil
}

// loseHead waits before the next watch after a failed one.
func (p *Publisher) loseHead(ctx context.Context, err error, wait *backoff) {
	p.watching.Store(false)
	if ctx.Err() == nil {
		p.cfg.Logger.WithError(err).Warn("configuration head not followed")
		wait.pause(ctx)
	}
}

// takeHead installs the snapshot that a head names, unless its revision is not
// higher. An error means that the head has to be taken again.
func (p *Publisher) takeHead(ctx context.Context, entry storer.Entry) error {
	h, err := parseHead(entry)
	if errors.Is(err, errBadHead) {
		// Only a later write repairs it.
		p.cfg.Logger.WithError(err).Error("configuration head not taken")
		return nil
	}
	if h.Revision <= p.revision() {
		return nil
	}
	r, err := p.fetch(ctx, h.Snapshot)
	if err != nil {
		return err
	}
	p.install(r)
	return nil
}
