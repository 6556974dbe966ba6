// Package archiver stores the bulk objects of batch jobs on the disks of a few
// instances, by default as two replicas in two failure domains.
//
// An object is immutable, written as a whole, and at most MaxObjectBytes large.
// Its name consists of a group and the object's name in the group. A group is a
// folder on disk with objects of one batch job.
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

// MaxObjectBytes is the maximum size of an object. It leaves room in a message
// for the name and the envelope.
const MaxObjectBytes = linker.MaxMessageBytes - 64<<10

// Errors of the archiver.
var (
	// ErrBadName means that a name is malformed or could escape its folder.
	ErrBadName = merry.Sentinel("bad object name")
	// ErrCorrupt means that a replica does not match its digest.
	ErrCorrupt = merry.Sentinel("object does not match its digest")
	// ErrNotFound means that all replicas answered and none has the object.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrTooFewReplicas means that the object could not be stored on enough
	// disks. Replicas that were written are removed later.
	ErrTooFewReplicas = merry.Sentinel("too few disk instances")
	// ErrTooLarge means that the object exceeds MaxObjectBytes.
	ErrTooLarge = merry.Sentinel("object too large")
)

// Defaults of a Config.
const (
	// DefaultReplicationFactor tolerates the loss of one instance or failure
	// domain.
	DefaultReplicationFactor = 2
	// DefaultCallTimeout is several times as long as a write of 4 MiB with fsync
	// takes on a small disk.
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

// A Caller sends a request to another instance and waits for the answer.
type Caller interface {
	Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error
}

// A Config holds the parameters of an Archiver. Zero values mean the defaults.
type Config struct {
	Instance    string  // ID of this instance.
	Folder      *Folder // Nil when this instance has no disk.
	Roster      Roster
	Caller      Caller
	Clock       Clock
	Logger      logrus.FieldLogger
	CallTimeout time.Duration
	// ReplicationFactor is the number of instances that store each object. One is
	// only valid for a deployment that declares a single disk instance. The number
	// is not derived from the instance list, which does not distinguish such a
	// deployment from one that has just lost its second disk.
	ReplicationFactor int
}

// An Archiver stores and fetches objects.
type Archiver struct {
	cfg Config
}

// New returns an Archiver.
func New(cfg Config) *Archiver {
	if cfg.ReplicationFactor <= 0 {
		cfg.ReplicationFactor = DefaultReplicationFactor
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	return &Archiver{cfg: cfg}
}

// Ready returns ErrTooFewReplicas if too few disk instances are listed to store
// an object. It makes no calls.
func (a *Archiver) Ready() error {
	selector := newReplicaSelector(a.disks(), nil, a.cfg.ReplicationFactor)
	if n := len(selector.nextTargets()); n < a.cfg.ReplicationFactor {
		return merry.Prependf(ErrTooFewReplicas, "%d of %d", n, a.cfg.ReplicationFactor)
	}
	return nil
}

// Put stores an object on ReplicationFactor instances, spread over as many
// failure domains as have disks, before it returns. It is idempotent for the same
// name and content.
func (a *Archiver) Put(ctx context.Context, name string, data []byte) (replicas []string, err error) {
	defer func() { err = merry.Prependf(err, "storing object %s", name) }()
	if err = checkObject(name, data); err != nil {
		return nil, err
	}
	message := newObject(name, data)
	selector := newReplicaSelector(orderDisks(a.disks(), a.cfg.Instance, name), nil, a.cfg.ReplicationFactor)
	for !selector.complete() {
		targets := selector.nextTargets()
		if len(targets) == 0 {
			return nil, merry.Prependf(ErrTooFewReplicas, "%d of %d", len(selector.chosen), a.cfg.ReplicationFactor)
		}
		a.storeAll(ctx, message, targets, selector)
		if err = ctx.Err(); err != nil {
			return nil, err
		}
	}
	return selector.replicas(), nil
}

// storeAll sends an object to the targets in parallel and adds those that stored
// it to the selector.
func (a *Archiver) storeAll(ctx context.Context, o object, targets []registrar.Instance, selector *replicaSelector) {
	errs := make([]error, len(targets))
	var wg conc.WaitGroup
	for i, target := range targets {
		wg.Go(func() { errs[i] = a.store(ctx, target.ID, o) })
	}
	wg.Wait()
	for i, target := range targets {
		if errs[i] == nil {
			selector.add(target)
			continue
		}
		a.cfg.Logger.WithError(errs[i]).
			WithFields(logrus.Fields{"object": o.Name, "instance": target.ID}).
			Warn("failed to store a replica")
	}
}

// store writes one replica to an instance.
func (a *Archiver) store(ctx context.Context, instance string, o object) (err error) {
	if instance == a.cfg.Instance {
		return a.cfg.Folder.Write(o.Name, o.Data)
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	var stored putResponse
	return a.cfg.Caller.Call(ctx, instance, linker.KindObjectPut, o, &stored)
}

// Get fetches an object from the first replica that has it intact, nearest
// first.
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

// fetch reads the replica of one instance.
func (a *Archiver) fetch(ctx context.Context, instance, name string) (data []byte, err error) {
	if instance == a.cfg.Instance && a.cfg.Folder != nil {
		return a.cfg.Folder.Read(name)
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	var answer getResponse
	if err = a.cfg.Caller.Call(ctx, instance, linker.KindObjectGet, getRequest{Name: name}, &answer); err != nil {
		return nil, err
	}
	return answer.verifiedData(name)
}

// disks returns the instances that accept new objects. An instance without a
// data folder excludes itself, whatever the list says.
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

// nearestFirst orders replicas: this instance, then its failure domain, then the
// others.
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
