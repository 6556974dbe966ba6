// Package archiver keeps the bulk objects of batch jobs on the disks of a few
// instances, in two copies in two failure domains.
//
// An object is written whole, is at most MaxObjectBytes, and is never changed.
// Its name is a group followed by the name of the object in the group; a group
// is a folder on disk and holds what belongs to one batch job.
package archiver

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// MaxObjectBytes bounds an object, so that it fits into one message together
// with its name and the envelope.
const MaxObjectBytes = linker.MaxMessageBytes - 64<<10

// Errors of the archiver.
var (
	// ErrBadName means that a name could leave its folder or is malformed.
	ErrBadName = merry.Sentinel("bad object name")
	// ErrCorrupt means that a copy does not match its digest.
	ErrCorrupt = merry.Sentinel("object does not match its digest")
	// ErrNotFound means that every replica was asked and none has the object.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrTooFewReplicas means that the object could not be stored on enough
	// disks; the copies that were made are removed later.
	ErrTooFewReplicas = merry.Sentinel("too few disk instances")
	// ErrTooLarge means that the object exceeds MaxObjectBytes.
	ErrTooLarge = merry.Sentinel("object too large")
)

// Defaults of a Config.
const (
	// DefaultCopies survives the loss of one instance or failure domain.
	DefaultCopies = 2
	// DefaultCallTimeout is several times what 4 MiB and an fsync take on a
	// small disk.
	DefaultCallTimeout = 10 * time.Second
)

// A Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// A Roster lists the entry instances.
type Roster interface {
	Instances() []registrar.Instance
}

// A Caller sends a message to another instance and waits for the answer.
type Caller interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
}

// A Config holds the parameters of an Archiver. Zero fields take the defaults.
type Config struct {
	Instance    string  // ID of this instance.
	Folder      *Folder // Nil when this instance has no disk.
	Roster      Roster
	Caller      Caller
	Clock       Clock
	Logger      logrus.FieldLogger
	CallTimeout time.Duration
	// Copies is the number of instances that hold each object. One is right
	// only for a deployment that declares a single disk instance; the number
	// is not taken from the instance list, which cannot tell such a deployment
	// from one that has just lost its second disk.
	Copies int
}

// An Archiver stores and fetches objects.
type Archiver struct {
	cfg Config
}

// New returns an Archiver.
func New(cfg Config) *Archiver {
	if cfg.Copies <= 0 {
		cfg.Copies = DefaultCopies
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	return &Archiver{cfg: cfg}
}

// Ready returns ErrTooFewReplicas when the list holds too few disk instances to
// store an object. It asks nobody.
func (a *Archiver) Ready() error {
	p := newPlacement(a.disks(), nil, a.cfg.Copies)
	if n := len(p.next()); n < a.cfg.Copies {
		return merry.Prependf(ErrTooFewReplicas, "%d of %d", n, a.cfg.Copies)
	}
	return nil
}

// Put stores an object on as many instances as the settings ask for, in as many
// failure domains as hold disks, before it returns. Storing the same content
// again under the same name does no harm.
func (a *Archiver) Put(ctx context.Context, name string, data []byte) (replicas []string, err error) {
	defer func() { err = merry.Prependf(err, "storing object %s", name) }()
	if err = checkObject(name, data); err != nil {
		return nil, err
	}
	message := newObject(name, data)
	p := newPlacement(preferFor(a.disks(), a.cfg.Instance, name), nil, a.cfg.Copies)
	for !p.complete() {
		targets := p.next()
		if len(targets) == 0 {
			return nil, merry.Prependf(ErrTooFewReplicas, "%d of %d", len(p.chosen), a.cfg.Copies)
		}
		a.storeAll(ctx, message, targets, p)
		if err = ctx.Err(); err != nil {
			return nil, err
		}
	}
	return p.replicas(), nil
}

// storeAll sends an object to the targets in parallel and tells the placement
// which of them hold it.
func (a *Archiver) storeAll(ctx context.Context, o object, targets []registrar.Instance, p *placement) {
	errs := make([]error, len(targets))
	var wg conc.WaitGroup
	for i, target := range targets {
		wg.Go(func() { errs[i] = a.store(ctx, target.ID, o) })
	}
	wg.Wait()
	for i, target := range targets {
		if errs[i] == nil {
			p.choose(target)
			continue
		}
		a.cfg.Logger.WithError(errs[i]).
			WithFields(logrus.Fields{"object": o.Name, "instance": target.ID}).
			Warn("a disk instance did not store an object")
	}
}

// store puts one copy on an instance.
func (a *Archiver) store(ctx context.Context, instance string, o object) (err error) {
	if instance == a.cfg.Instance {
		return a.cfg.Folder.Write(o.Name, o.Data)
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	var stored storedMessage
	return a.cfg.Caller.Call(ctx, instance, linker.KindObjectPut, o, &stored)
}

// Get fetches an object from the first replica that has it whole.
func (a *Archiver) Get(ctx context.Context, name string, replicas []string) (data []byte, err error) {
	defer func() { err = merry.Prependf(err, "fetching object %s", name) }()
	if err = CheckName(name); err != nil {
		return nil, err
	}
	lastErr := ErrNotFound
	for _, instance := range a.nearestFirst(replicas) {
		data, err = a.fetch(ctx, instance, name)
		if err == nil {
			return data, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !errors.Is(err, ErrNotFound) {
			lastErr = err
		}
	}
	return nil, lastErr
}

// fetch reads the copy of one instance.
func (a *Archiver) fetch(ctx context.Context, instance, name string) (data []byte, err error) {
	if instance == a.cfg.Instance && a.cfg.Folder != nil {
		return a.cfg.Folder.Read(name)
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	var answer foundMessage
	if err = a.cfg.Caller.Call(ctx, instance, linker.KindObjectGet, wantedMessage{Name: name}, &answer); err != nil {
		return nil, err
	}
	return answer.open(name)
}

// disks lists the instances that take new objects. An instance without a folder
// of its own never counts itself, whatever the list says.
func (a *Archiver) disks() (disks []registrar.Instance) {
	for _, instance := range a.cfg.Roster.Instances() {
		if !instance.Disk || instance.Leaving {
			continue
		}
		if instance.ID == a.cfg.Instance && a.cfg.Folder == nil {
			continue
		}
		disks = append(disks, instance)
	}
	return disks
}

// nearestFirst orders replicas: this instance, its failure domain, the others.
func (a *Archiver) nearestFirst(replicas []string) (ordered []string) {
	own := ""
	domains := make(map[string]string)
	for _, instance := range a.cfg.Roster.Instances() {
		domains[instance.ID] = instance.FailureDomain
		if instance.ID == a.cfg.Instance {
			own = instance.FailureDomain
		}
	}
	var near, far []string
	for _, id := range replicas {
		switch domain, listed := domains[id]; {
		case id == a.cfg.Instance:
			ordered = append(ordered, id)
		case listed && domain == own:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	ordered = append(ordered, near...)
	return append(ordered, far...)
}
