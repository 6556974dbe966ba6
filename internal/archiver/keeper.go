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

// Defaults of a KeeperConfig.
const (
	// DefaultKeeperPeriod is the pause between two passes over the disk.
	DefaultKeeperPeriod = 5 * time.Minute
	// DefaultGroupPause spreads the reads of a pass: at most ten a second and
	// disk instance, of the platform's two thousand.
	DefaultGroupPause = 100 * time.Millisecond
	// DefaultAbsenceGrace outlasts a restart of an instance with its disk.
	DefaultAbsenceGrace = 10 * time.Minute
	// DefaultOrphanGrace outlasts any submission that is still being stored
	// and has no manifest yet.
	DefaultOrphanGrace = 2 * time.Hour
)

// maxMoves bounds the moves between two updates of the catalog, so that a
// repair of a large group keeps what it has done when it is interrupted.
const maxMoves = 128

// A Placement says which instances hold an object.
type Placement struct {
	Name     string
	Replicas []string // Instance IDs, sorted.
}

// An Inventory describes the objects of a group that are still needed.
type Inventory struct {
	Known   bool // False when nothing of the group is needed any more, or not yet.
	Final   bool // No more objects will be added.
	Objects []Placement
}

// A Catalog knows which objects are needed and where they lie.
type Catalog interface {
	// Inventory describes a group.
	Inventory(ctx context.Context, group string) (Inventory, error)
	// Move records new replicas of objects. An object that is not needed any
	// more is left out without an error.
	Move(ctx context.Context, group string, moves []Placement) error
}

// A KeeperConfig holds the parameters of a Keeper. Zero durations take the
// defaults.
type KeeperConfig struct {
	Archiver     *Archiver // Has a folder.
	Catalog      Catalog
	Period       time.Duration
	GroupPause   time.Duration
	AbsenceGrace time.Duration // A replica's instance is lost after it was out of the list for so long.
	OrphanGrace  time.Duration // A group that the catalog does not know is removed after so long without a change.
}

// A Keeper looks after the objects on the disk of this instance: it removes
// those that have expired and copies those whose other replica is lost.
type Keeper struct {
	cfg    KeeperConfig
	absent *absence
}

// NewKeeper returns a Keeper for an archiver with a folder.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.Period, DefaultKeeperPeriod)
	setDefault(&cfg.GroupPause, DefaultGroupPause)
	setDefault(&cfg.AbsenceGrace, DefaultAbsenceGrace)
	setDefault(&cfg.OrphanGrace, DefaultOrphanGrace)
	return &Keeper{cfg: cfg, absent: newAbsence(cfg.Archiver.cfg.Clock)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Start makes passes over the disk until ctx ends.
func (k *Keeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- panics.Try(func() { k.run(ctx) }).AsError()
	}()
	return done
}

func (k *Keeper) run(ctx context.Context) {
	for {
		if err := k.Pass(ctx); err != nil && ctx.Err() == nil {
			k.logger().WithError(err).Warn("a pass over the data folder failed")
		}
		if !k.wait(ctx, k.cfg.Period) {
			return
		}
	}
}

// Pass looks after each group on the disk once.
func (k *Keeper) Pass(ctx context.Context) (err error) {
	groups, err := k.cfg.Archiver.cfg.Folder.Groups()
	if err != nil {
		return err
	}
	for _, group := range groups {
		if err := k.tend(ctx, group); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			k.logger().WithError(err).WithField("group", group.Name).Warn("a group could not be looked after")
		}
		if !k.wait(ctx, k.cfg.GroupPause) {
			return ctx.Err()
		}
	}
	return nil
}

// tend removes or repairs one group. When the list does not name this instance
// it is not trusted, and nothing is done.
func (k *Keeper) tend(ctx context.Context, group Group) (err error) {
	instances := k.cfg.Archiver.cfg.Roster.Instances()
	own := k.cfg.Archiver.cfg.Instance
	if !slices.ContainsFunc(instances, func(i registrar.Instance) bool { return i.ID == own }) {
		return nil
	}
	inventory, err := k.cfg.Catalog.Inventory(ctx, group.Name)
	if err != nil {
		return err
	}
	k.absent.observe(instances, inventory)
	settled := k.cfg.Archiver.cfg.Clock.Now().Sub(group.ModifiedAt) > k.cfg.OrphanGrace
	if !inventory.Known {
		if !settled {
			return nil
		}
		k.logger().WithField("group", group.Name).Info("removing a group that is not needed any more")
		return k.cfg.Archiver.cfg.Folder.RemoveGroup(group.Name)
	}
	if inventory.Final && settled {
		if err = k.removeOrphans(group.Name, inventory); err != nil {
			return err
		}
	}
	return k.repair(ctx, group.Name, inventory)
}

// removeOrphans deletes what a finished group holds on this disk and does not
// need here: results of claims that lost, copies of replicas that were moved,
// temporary files.
func (k *Keeper) removeOrphans(group string, inventory Inventory) (err error) {
	needed := make(map[string]bool)
	for _, object := range inventory.Objects {
		if slices.Contains(object.Replicas, k.cfg.Archiver.cfg.Instance) {
			needed[object.Name] = true
		}
	}
	names, err := k.cfg.Archiver.cfg.Folder.Objects(group)
	if err != nil {
		return err
	}
	for _, name := range names {
		if needed[name] && !isTemporary(name) {
			continue
		}
		if err = k.cfg.Archiver.cfg.Folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// repair copies the objects of a group whose other replica is lost.
func (k *Keeper) repair(ctx context.Context, group string, inventory Inventory) (err error) {
	var moves []Placement
	flush := func() error {
		if len(moves) == 0 {
			return nil
		}
		defer func() { moves = nil }()
		return k.cfg.Catalog.Move(ctx, group, moves)
	}
	for _, object := range inventory.Objects {
		survivors := k.survivors(object.Replicas)
		if len(survivors) == len(object.Replicas) || len(survivors) == 0 || survivors[0] != k.cfg.Archiver.cfg.Instance {
			continue
		}
		moved, err := k.copyObject(ctx, object.Name, survivors)
		if err != nil {
			k.logger().WithError(err).WithField("object", object.Name).Warn("an object was not repaired")
			continue
		}
		moves = append(moves, moved)
		if len(moves) >= maxMoves {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}

// survivors returns the replicas whose instance is not lost, sorted. The first
// of them makes the repair.
func (k *Keeper) survivors(replicas []string) (ids []string) {
	for _, id := range replicas {
		if !k.absent.lost(id, k.cfg.AbsenceGrace) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// copyObject stores an object of this disk on other instances until there are
// enough copies again.
func (k *Keeper) copyObject(ctx context.Context, name string, survivors []string) (moved Placement, err error) {
	a := k.cfg.Archiver
	data, err := a.cfg.Folder.Read(name)
	if err != nil {
		return Placement{}, err
	}
	var kept, candidates []registrar.Instance
	for _, instance := range a.cfg.Roster.Instances() {
		if slices.Contains(survivors, instance.ID) {
			kept = append(kept, instance)
		}
	}
	for _, disk := range preferFor(a.disks(), "", name) {
		if !slices.Contains(survivors, disk.ID) {
			candidates = append(candidates, disk)
		}
	}
	p := newPlacement(candidates, kept, a.cfg.Copies)
	for !p.complete() {
		targets := p.next()
		if len(targets) == 0 {
			return Placement{}, merry.Prependf(ErrTooFewReplicas, "%d of %d", len(p.chosen), a.cfg.Copies)
		}
		a.storeAll(ctx, newObject(name, data), targets, p)
		if err = ctx.Err(); err != nil {
			return Placement{}, err
		}
	}
	return Placement{Name: name, Replicas: p.replicas()}, nil
}

func (k *Keeper) logger() logrus.FieldLogger {
	return k.cfg.Archiver.cfg.Logger
}

// wait returns false when ctx ended first.
func (k *Keeper) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.cfg.Archiver.cfg.Clock.After(d):
		return true
	}
}
