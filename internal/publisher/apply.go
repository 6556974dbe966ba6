package publisher

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// maxApplyAttempts bounds how often a release note is merged again after a
// lost race. Each race that is lost means that another note was accepted.
const maxApplyAttempts = 16

// A Result says what Apply did, or would do.
type Result struct {
	Revision int64  // Of the new snapshot; with a dry run, the one that it would have now.
	ApplyID  string // Empty with a dry run.
	Digest   string
	Changes  []declarer.Change // Sorted by object and name.
	DryRun   bool
}

// Apply merges a release note into the configuration and moves the head. It
// returns without an error only if the note was accepted. After ErrInDoubt the
// head may have moved or may still move; after any other error it has not.
func (p *Publisher) Apply(ctx context.Context, note declarer.ReleaseNote, dryRun bool) (result Result, err error) {
	defer func() { err = merry.Prepend(err, "apply release note") }()
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ApplyTimeout)
	defer cancel()

	a := &application{publisher: p, note: note, id: newApplyID()}
	for range maxApplyAttempts {
		base, err := p.readBase(ctx)
		if err != nil {
			return Result{}, err
		}
		next, err := a.prepare(base)
		if err != nil {
			return Result{}, err
		}
		result = Result{
			Revision: next.Revision,
			ApplyID:  a.id,
			Digest:   next.Digest,
			Changes:  declarer.Diff(base.declaration(), next.Declaration),
		}
		if dryRun {
			result.ApplyID = ""
			result.DryRun = true
			return result, nil
		}
		accepted, err := p.accept(ctx, base, next)
		if err != nil || accepted {
			return result, err
		}
	}
	return Result{}, ErrRaces
}

// An application is a release note on its way into force.
type application struct {
	publisher *Publisher
	note      declarer.ReleaseNote
	id        string
	start     *base // What the note was merged into first; nil before.
}

// A base is the configuration that a release note changes.
type base struct {
	record  *record // Nil when nothing was ever declared.
	version int64   // Of the head in the platform; zero when there is none.
}

func (b *base) declaration() declarer.Declaration {
	if b.record == nil {
		return declarer.Declaration{}
	}
	return b.record.Declaration
}

// prepare merges the note into the base.
func (a *application) prepare(b *base) (next *record, err error) {
	merged, faults := declarer.Merge(b.declaration(), a.note)
	if len(faults) == 0 {
		faults = a.overtaken(b)
	}
	if len(faults) > 0 {
		return nil, &declarer.FaultsError{Faults: faults}
	}
	s := Snapshot{Revision: 1, ApplyID: a.id, Title: a.note.Title, Declaration: merged}
	if b.record != nil {
		s.Revision = b.record.Revision + 1
		s.Previous = b.record.key
	}
	next, err = newRecord(s)
	if err != nil {
		return nil, err
	}
	if len(next.data) > storer.MaxValueBytes {
		reason := fmt.Sprintf("the configuration would have %d bytes, but the platform holds %d", len(next.data), storer.MaxValueBytes)
		return nil, &declarer.FaultsError{Faults: []declarer.Fault{{File: a.note.File, Reason: reason}}}
	}
	return next, nil
}

// overtaken returns a fault for each object of the note that others changed
// while it was under way: the operator has not seen what the note would
// replace.
func (a *application) overtaken(b *base) (faults []declarer.Fault) {
	if a.start == nil {
		a.start = b
		return nil
	}
	for _, change := range declarer.Diff(a.start.declaration(), b.declaration()) {
		if !a.note.Mentions(change.Object, change.Name) {
			continue
		}
		faults = append(faults, declarer.Fault{
			File:   a.note.File,
			Key:    change.Object + "." + change.Name,
			Reason: fmt.Sprintf("was %s by another release note up to revision %d", change.Kind, b.record.Revision),
		})
	}
	return faults
}

// readBase reads the head and its snapshot.
func (p *Publisher) readBase(ctx context.Context) (b *base, err error) {
	// Taken before the read: the watch may bring a newer revision meanwhile.
	floor := p.revision()
	entry, err := p.cfg.Store.Get(ctx, headKey)
	if errors.Is(err, storer.ErrNotFound) {
		if floor > 0 {
			return nil, ErrHeadBehind
		}
		return &base{}, nil
	}
	if err != nil {
		return nil, err
	}
	h, err := parseHead(entry)
	if err != nil {
		return nil, err
	}
	if h.Revision < floor {
		return nil, ErrHeadBehind
	}
	r, err := p.fetch(ctx, h.Snapshot)
	if err != nil {
		return nil, err
	}
	// A newer version may have declared what this one would drop.
	if _, err := declarer.DecodeExact(r.declaration); err != nil {
		return nil, err
	}
	return &base{record: r, version: entry.Version}, nil
}

// fetch returns a snapshot of the platform.
func (p *Publisher) fetch(ctx context.Context, key string) (r *record, err error) {
	if current := p.current.Load(); current != nil && current.key == key {
		return current, nil
	}
	entry, err := p.cfg.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return parseRecord(key, entry.Value)
}

// accept stores a snapshot and moves the head to it. It reports false when
// another release note was accepted first.
func (p *Publisher) accept(ctx context.Context, b *base, next *record) (accepted bool, err error) {
	if err := p.storeSnapshot(ctx, next); err != nil {
		return false, err
	}
	accepted, err = p.moveHead(ctx, b, next)
	if accepted {
		p.install(next)
		notify(p.accepted)
	}
	return accepted, err
}
