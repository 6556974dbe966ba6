package archiver

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// Defaults of a ReconcilerConfig.
const (
	// DefaultReconcileInterval is the time between two passes over the disk.
	DefaultReconcileInterval = 5 * time.Minute
	// DefaultGroupPause limits the catalog reads of a pass to ten per second and
	// disk instance, of the two thousand that the platform allows.
	DefaultGroupPause = 100 * time.Millisecond
	// DefaultAbsenceGrace is longer than a restart of an instance that keeps its
	// disk.
	DefaultAbsenceGrace = 10 * time.Minute
	// DefaultOrphanGrace is longer than any submission that is still being stored
	// and has no manifest yet.
	DefaultOrphanGrace = 2 * time.Hour
)

// maxMoves bounds the moves per update of the catalog, so that an interrupted
// repair of a large group keeps most of its progress.
const maxMoves = 128

// A Placement lists the instances that hold an object.
type Placement struct {
	Name     string
	Replicas []string // Instance IDs, sorted.
}

// An Inventory lists the objects of a group that are needed.
type Inventory struct {
	Known   bool // False when no object of the group is needed yet, or any longer.
	Final   bool // No more objects will be added.
	Objects []Placement
}

// A Catalog records which objects are needed and where they are stored.
type Catalog interface {
	Inventory(ctx context.Context, group string) (Inventory, error)
	// Move records new replicas of objects. Objects that are no longer needed are
	// skipped without an error.
	Move(ctx context.Context, group string, moves []Placement) error
}

// A ReconcilerConfig holds the parameters of a Reconciler. Zero durations take the
// defaults.
type ReconcilerConfig struct {
	Archiver     *Archiver // Must have a folder.
	Catalog      Catalog
	Interval     time.Duration
	GroupPause   time.Duration
	AbsenceGrace time.Duration // An instance that is missing from the list for this long counts as lost.
	OrphanGrace  time.Duration // A group unknown to the catalog is removed after this long without a change.
}

// A Reconciler reconciles the objects on the disk of this instance with the
// catalog: it removes those that are no longer needed and restores lost replicas.
type Reconciler struct {
	cfg      ReconcilerConfig
	absences *absenceTracker
}

// NewReconciler returns a Reconciler for an archiver with a folder.
func NewReconciler(cfg ReconcilerConfig) *Reconciler {
	setDefault(&cfg.Interval, DefaultReconcileInterval)
	setDefault(&cfg.GroupPause, DefaultGroupPause)
	setDefault(&cfg.AbsenceGrace, DefaultAbsenceGrace)
	setDefault(&cfg.OrphanGrace, DefaultOrphanGrace)
	return &Reconciler{cfg: cfg, absences: newAbsenceTracker(cfg.Archiver.cfg.Clock)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Start makes passes over the disk until ctx ends.
func (r *Reconciler) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- panics.Try(func() { r.run(ctx) }).AsError()
	}()
	return done
}

func (r *Reconciler) run(ctx context.Context) {
	for {
		if err := r.Reconcile(ctx); err != nil && ctx.Err() == nil {
			r.logger().WithError(err).Warn("failed to reconcile the data folder")
		}
		if !r.wait(ctx, r.cfg.Interval) {
			return
		}
	}
}

// Reconcile makes one pass over all groups on the disk.
func (r *Reconciler) Reconcile(ctx context.Context) (err error) {
	groups, err := r.cfg.Archiver.cfg.Folder.Groups()
	if err != nil {
		return err
	}
	for _, group := range groups {
		if err := r.reconcileGroup(ctx, group); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r.logger().WithError(err).WithField("group", group.Name).Warn("failed to reconcile a group")
		}
		if !r.wait(ctx, r.cfg.GroupPause) {
			return ctx.Err()
		}
	}
	return nil
}

// reconcileGroup removes or repairs one group. It does nothing if the instance
// list does not contain this instance, since such a list cannot be trusted.
func (r *Reconciler) reconcileGroup(ctx context.Context, group Group) (err error) {
	instances := r.cfg.Archiver.cfg.Roster.Instances()
	own := r.cfg.Archiver.cfg.Instance
	if !slices.ContainsFunc(instances, func(i registrar.Instance) bool { return i.ID == own }) {
		return nil
	}
	inventory, err := r.cfg.Catalog.Inventory(ctx, group.Name)
	if err != nil {
		return err
	}
	r.absences.observe(instances, inventory)
	pastGrace := r.cfg.Archiver.cfg.Clock.Now().Sub(group.ModifiedAt) > r.cfg.OrphanGrace
	if !inventory.Known {
		if !pastGrace {
			return nil
		}
		r.logger().WithField("group", group.Name).Info("removing a group that is no longer needed")
		return r.cfg.Archiver.cfg.Folder.RemoveGroup(group.Name)
	}
	if inventory.Final && pastGrace {
		if err = r.removeOrphans(group.Name, inventory); err != nil {
			return err
		}
	}
	return r.repair(ctx, group.Name, inventory)
}

// removeOrphans deletes files of a final group that are not needed on this disk:
// results of claims that lost, replicas that were moved, and temporary files.
func (r *Reconciler) removeOrphans(group string, inventory Inventory) (err error) {
	needed := make(map[string]bool)
	for _, object := range inventory.Objects {
		if slices.Contains(object.Replicas, r.cfg.Archiver.cfg.Instance) {
			needed[object.Name] = true
		}
	}
	names, err := r.cfg.Archiver.cfg.Folder.Objects(group)
	if err != nil {
		return err
	}
	for _, name := range names {
		if needed[name] && !isTemporary(name) {
			continue
		}
		if err = r.cfg.Archiver.cfg.Folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// repair replicates the objects of a group that have lost a replica, if this
// instance is the first survivor.
func (r *Reconciler) repair(ctx context.Context, group string, inventory Inventory) (err error) {
	var moves []Placement
	flush := func() error {
		if len(moves) == 0 {
			return nil
		}
		defer func() { moves = nil }()
		return r.cfg.Catalog.Move(ctx, group, moves)
	}
	for _, object := range inventory.Objects {
		survivors := r.survivors(object.Replicas)
		if len(survivors) == len(object.Replicas) || len(survivors) == 0 || survivors[0] != r.cfg.Archiver.cfg.Instance {
			continue
		}
		placement, err := r.replicate(ctx, object.Name, survivors)
		if err != nil {
			r.logger().WithError(err).WithField("object", object.Name).Warn("failed to repair an object")
			continue
		}
		moves = append(moves, placement)
		if len(moves) >= maxMoves {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}

// survivors returns the replicas whose instance is not lost, sorted. The first of
// them performs the repair.
func (r *Reconciler) survivors(replicas []string) (ids []string) {
	for _, id := range replicas {
		if !r.absences.isLost(id, r.cfg.AbsenceGrace) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// replicate copies an object from this disk to other instances until it has
// enough replicas again.
func (r *Reconciler) replicate(ctx context.Context, name string, survivors []string) (placement Placement, err error) {
	a := r.cfg.Archiver
	data, err := a.cfg.Folder.Read(name)
	if err != nil {
		return Placement{}, err
	}
	var existing, candidates []registrar.Instance
	for _, instance := range a.cfg.Roster.Instances() {
		if slices.Contains(survivors, instance.ID) {
			existing = append(existing, instance)
		}
	}
	for _, disk := range orderDisks(a.disks(), "", name) {
		if !slices.Contains(survivors, disk.ID) {
			candidates = append(candidates, disk)
		}
	}
	selector := newReplicaSelector(candidates, existing, a.cfg.ReplicationFactor)
	for !selector.complete() {
		targets := selector.nextTargets()
		if len(targets) == 0 {
			return Placement{}, merry.Prependf(ErrTooFewReplicas, "%d of %d", len(selector.chosen), a.cfg.ReplicationFactor)
		}
		a.storeAll(ctx, newObject(name, data), targets, selector)
		if err = ctx.Err(); err != nil {
			return Placement{}, err
		}
	}
	return Placement{Name: name, Replicas: selector.replicas()}, nil
}

func (r *Reconciler) logger() logrus.FieldLogger {
	return r.cfg.Archiver.cfg.Logger
}

// wait returns false if ctx ends first.
func (r *Reconciler) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.cfg.Archiver.cfg.Clock.After(d):
		return true
	}
}
