package publisher

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// maxApplyAttempts bounds the attempts of one Apply. Each failed attempt means
// that another release note was accepted.
const maxApplyAttempts = 16

// A Result is what Apply did, or would do in a dry run.
type Result struct {
	Revision int64  // Of the new snapshot; in a dry run, the revision that it would have now.
	ApplyID  string // Empty in a dry run.
	Digest   string
	Changes  []declarer.Change // Sorted by object and name.
	DryRun   bool
}

// Apply merges a release note into the configuration and moves the head. It
// returns a nil error only if the note was accepted or dryRun is set. After
// ErrInDoubt the head may have moved or may still move; after any other error it
// has not.
func (p *Publisher) Apply(ctx context.Context, note declarer.ReleaseNote, dryRun bool) (result Result, err error) {
	defer func() { err = merry.Prepend(err, "apply release note") }()
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ApplyTimeout)
	defer cancel()

	a := &pendingApply{publisher: p, note: note, id: newApplyID()}
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
	return Result{}, ErrTooManyConflicts
}

// A pendingApply is a release note that is being applied.
type pendingApply struct {
	publisher   *Publisher
	note        declarer.ReleaseNote
	id          string
	initialBase *base // Base of the first attempt; nil before it.
}

// A base is the configuration that a release note is merged into.
type base struct {
	snapshot *storedSnapshot // Nil before the first release note.
	version  int64           // Of the head in the platform; zero when there is none.
}

func (b *base) declaration() declarer.Declaration {
	if b.snapshot == nil {
		return declarer.Declaration{}
	}
	return b.snapshot.Declaration
}

// prepare merges the note into the base and encodes the new snapshot.
func (a *pendingApply) prepare(b *base) (next *storedSnapshot, err error) {
	merged, faults := declarer.Merge(b.declaration(), a.note)
	if len(faults) == 0 {
		faults = a.conflicts(b)
	}
	if len(faults) > 0 {
		return nil, &declarer.FaultsError{Faults: faults}
	}
	s := Snapshot{Revision: 1, ApplyID: a.id, Title: a.note.Title, Declaration: merged}
	if b.snapshot != nil {
		s.Revision = b.snapshot.Revision + 1
		s.Previous = b.snapshot.key
	}
	next, err = newStoredSnapshot(s)
	if err != nil {
		return nil, err
	}
	if len(next.data) > storer.MaxValueBytes {
		reason := fmt.Sprintf("the configuration would have %d bytes, but the platform holds %d", len(next.data), storer.MaxValueBytes)
		return nil, &declarer.FaultsError{Faults: []declarer.Fault{{File: a.note.File, Reason: reason}}}
	}
	return next, nil
}

// conflicts returns a fault for each object of the note that another release
// note changed since the first attempt: the operator has not seen what the note
// would replace.
func (a *pendingApply) conflicts(b *base) (faults []declarer.Fault) {
	if a.initialBase == nil {
		a.initialBase = b
		return nil
	}
	for _, change := range declarer.Diff(a.initialBase.declaration(), b.declaration()) {
		if !a.note.Mentions(change.Object, change.Name) {
			continue
		}
		faults = append(faults, declarer.Fault{
			File:   a.note.File,
			Key:    change.Object + "." + change.Name,
			Reason: fmt.Sprintf("was %s by another release note up to revision %d", change.Kind, b.snapshot.Revision),
		})
	}
	return faults
}

// readBase reads the head and its snapshot.
func (p *Publisher) readBase(ctx context.Context) (b *base, err error) {
	// Loaded before the read, since the watch may install a newer revision
	// during it.
	minRevision := p.revision()
	entry, err := p.cfg.Store.Get(ctx, headKey)
	if errors.Is(err, storer.ErrNotFound) {
		if minRevision > 0 {
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
	if h.Revision < minRevision {
		return nil, ErrHeadBehind
	}
	r, err := p.fetch(ctx, h.Snapshot)
	if err != nil {
		return nil, err
	}
	// Rejects fields that this version does not know: it would drop fields
	// written by a newer version.
	if _, err := declarer.DecodeExact(r.declaration); err != nil {
		return nil, err
	}
	return &base{snapshot: r, version: entry.Version}, nil
}

// fetch reads a snapshot from the platform, unless it is the one in force.
func (p *Publisher) fetch(ctx context.Context, key string) (r *storedSnapshot, err error) {
	if current := p.current.Load(); current != nil && current.key == key {
		return current, nil
	}
	entry, err := p.cfg.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return parseStoredSnapshot(key, entry.Value)
}

// accept stores a snapshot and moves the head to it. It returns false when
// another release note was accepted first.
func (p *Publisher) accept(ctx context.Context, b *base, next *storedSnapshot) (accepted bool, err error) {
	if err := p.storeSnapshot(ctx, next); err != nil {
		return false, err
	}
	accepted, err = p.moveHead(ctx, b, next)
	if accepted {
		p.install(next)
		signal(p.accepted)
	}
	return accepted, err
}
