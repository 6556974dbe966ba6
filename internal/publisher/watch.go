package publisher

import (
	"context"
	"errors"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// watchHead keeps one long-polling watch on the head open until ctx ends.
func (p *Publisher) watchHead(ctx context.Context) error {
	retry := p.newBackoff()
	var version int64
	for ctx.Err() == nil {
		entry, err := p.cfg.Store.Watch(ctx, headKey, version)
		if err == nil {
			err = p.installHead(ctx, entry)
		}
		switch {
		case err == nil:
			p.watchHealthy.Store(true)
			version = entry.Version
			retry.reset()
		case errors.Is(err, storer.ErrNotFound):
			version = 0
			p.handleWatchError(ctx, err, retry)
		default:
			p.handleWatchError(ctx, err, retry)
		}
	}
	return nil
}

// handleWatchError logs a failed watch and backs off before the next one.
func (p *Publisher) handleWatchError(ctx context.Context, err error, retry *backoff) {
	p.watchHealthy.Store(false)
	if ctx.Err() == nil {
		p.cfg.Logger.WithError(err).Warn("watch of the configuration head failed; retrying")
		retry.wait(ctx)
	}
}

// installHead installs the snapshot that a head refers to if its revision is
// higher than the one in force. On an error the caller has to retry.
func (p *Publisher) installHead(ctx context.Context, entry storer.Entry) error {
	h, err := parseHead(entry)
	if errors.Is(err, errBadHead) {
		// A retry would read the same value; only a later write repairs it.
		p.cfg.Logger.WithError(err).Error("malformed configuration head ignored")
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
