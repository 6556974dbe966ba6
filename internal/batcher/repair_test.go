package batcher

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/archiver"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// fakeDisks are disk instances, each in its own failure domain.
type fakeDisks struct {
	mu      sync.Mutex
	folders map[string]*archiver.Folder
}

func (d *fakeDisks) Instances() (listed []registrar.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.folders {
		listed = append(listed, registrar.Instance{ID: id, FailureDomain: "domain-" + id, Disk: true})
	}
	slices.SortFunc(listed, func(a, b registrar.Instance) int { return strings.Compare(a.ID, b.ID) })
	return listed
}

func (d *fakeDisks) lose(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.folders, id)
}

func (d *fakeDisks) Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error {
	d.mu.Lock()
	folder := d.folders[peer]
	d.mu.Unlock()
	if folder == nil {
		return linker.ErrUnreachable
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	var handler linker.Handler = &archiver.GetHandler{Folder: folder}
	if kind == linker.KindObjectPut {
		handler = &archiver.PutHandler{Folder: folder}
	}
	answer, err := handler.Handle(ctx, "test", payload)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(answer, response)
}

// Guards against losing items or results when two disk instances fail one after
// the other: the first loss is repaired from the remaining copy.
func TestDiskInstanceLost(t *testing.T) {
	cluster := newTestCluster(t)
	d := &fakeDisks{folders: make(map[string]*archiver.Folder)}
	for _, id := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		folder, err := archiver.OpenFolder(t.TempDir())
		assert.NilError(t, err)
		d.folders[id] = folder
	}
	// newReconciler gives an instance an archiver and returns the reconciler of its
	// disk.
	newReconciler := func(inst *testInstance, id string) *archiver.Reconciler {
		a := archiver.New(archiver.Config{
			Instance: id, Folder: d.folders[id], Roster: d, Caller: d, Clock: inst.cfg.Clock, Logger: inst.cfg.Logger,
		})
		inst.cfg.Archive = a
		return archiver.NewReconciler(archiver.ReconcilerConfig{
			Archiver: a, Catalog: inst.Batcher, GroupPause: time.Microsecond, AbsenceGrace: time.Nanosecond,
		})
	}
	// assertRepaired runs passes of all reconcilers and checks that no object has
	// the lost instance as a replica.
	assertRepaired := func(inst *testInstance, group, lost string, reconcilers ...*archiver.Reconciler) {
		t.Helper()
		for range 2 { // The first pass only notices the absence.
			for _, r := range reconcilers {
				assert.NilError(t, r.Reconcile(t.Context()))
			}
		}
		inventory, err := inst.Inventory(t.Context(), group)
		assert.NilError(t, err)
		assert.Assert(t, len(inventory.Objects) > 0)
		for _, object := range inventory.Objects {
			assert.Equal(t, len(object.Replicas), 2)
			assert.Assert(t, !slices.Contains(object.Replicas, lost), "%s", object.Name)
		}
	}

	first, third, fourth := cluster.addInstance("entry-1", nil), cluster.addInstance("entry-3", nil), cluster.addInstance("entry-4", nil)
	reconcilers := []*archiver.Reconciler{newReconciler(first, "entry-1"), newReconciler(third, "entry-3"), newReconciler(fourth, "entry-4")}
	manifest := first.submit(t, 250)
	replicas := manifest.Chunks[0].Replicas
	lost := replicas[slices.IndexFunc(replicas, func(id string) bool { return id != "entry-1" })]
	d.lose(lost)
	survivors := slices.DeleteFunc(slices.Clone(reconcilers), func(r *archiver.Reconciler) bool {
		return lost == "entry-3" && r == reconcilers[1] || lost == "entry-4" && r == reconcilers[2]
	})
	assertRepaired(first, manifest.group(), lost, survivors...)

	// The first copy of the items is lost as well; the job runs on another instance.
	d.lose("entry-1")
	worker := cluster.addInstance("entry-9", nil)
	newReconciler(worker, "entry-9")
	worker.cfg.Runner = runnerFunc(succeed)
	ctx, cancel := context.WithCancel(t.Context())
	done := worker.Start(ctx)
	worker.assertEnds(t, Completed)
	worker.assertResults(t, 250)
	cancel()
	assert.NilError(t, <-done)
}
