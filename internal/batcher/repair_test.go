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

// disks are disk instances, each in a failure domain of its own.
type disks struct {
	mu      sync.Mutex
	folders map[string]*archiver.Folder
}

func (d *disks) Instances() (listed []registrar.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.folders {
		listed = append(listed, registrar.Instance{ID: id, FailureDomain: "domain-" + id, Disk: true})
	}
	slices.SortFunc(listed, func(a, b registrar.Instance) int { return strings.Compare(a.ID, b.ID) })
	return listed
}

func (d *disks) lose(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.folders, id)
}

func (d *disks) Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error {
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

// Guards against a job that loses its items or results with one disk instance
// after another: each loss is repaired from the copy that is left, before and
// after the job is folded.
func TestDiskInstanceLost(t *testing.T) {
	f := newFleet(t)
	d := &disks{folders: make(map[string]*archiver.Folder)}
	for _, id := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		folder, err := archiver.OpenFolder(t.TempDir())
		assert.NilError(t, err)
		d.folders[id] = folder
	}
	// keeperOf returns an instance with its disk and the keeper of the disk.
	keeperOf := func(m *member, id string) *archiver.Reconciler {
		a := archiver.New(archiver.Config{
			Instance: id, Folder: d.folders[id], Roster: d, Caller: d, Clock: m.cfg.Clock, Logger: m.cfg.Logger,
		})
		m.cfg.Archive = a
		return archiver.NewReconciler(archiver.ReconcilerConfig{
			Archiver: a, Catalog: m.Batcher, GroupPause: time.Microsecond, AbsenceGrace: time.Nanosecond,
		})
	}
	// assertRepaired makes passes of all keepers and checks that no object
	// names the lost instance.
	assertRepaired := func(m *member, group, lost string, keepers ...*archiver.Reconciler) {
		t.Helper()
		for range 2 { // The absence is noticed first.
			for _, k := range keepers {
				assert.NilError(t, k.Reconcile(t.Context()))
			}
		}
		inventory, err := m.Inventory(t.Context(), group)
		assert.NilError(t, err)
		assert.Assert(t, len(inventory.Objects) > 0)
		for _, object := range inventory.Objects {
			assert.Equal(t, len(object.Replicas), 2)
			assert.Assert(t, !slices.Contains(object.Replicas, lost), "%s", object.Name)
		}
	}

	first, third, fourth := f.join("entry-1", nil), f.join("entry-3", nil), f.join("entry-4", nil)
	keepers := []*archiver.Reconciler{keeperOf(first, "entry-1"), keeperOf(third, "entry-3"), keeperOf(fourth, "entry-4")}
	manifest := first.submit(t, 250)
	replicas := manifest.Chunks[0].Replicas
	lost := replicas[slices.IndexFunc(replicas, func(id string) bool { return id != "entry-1" })]
	d.lose(lost)
	survivors := slices.DeleteFunc(slices.Clone(keepers), func(k *archiver.Reconciler) bool {
		return lost == "entry-3" && k == keepers[1] || lost == "entry-4" && k == keepers[2]
	})
	assertRepaired(first, manifest.group(), lost, survivors...)

	// The first copy of the items goes as well; the job runs elsewhere.
	d.lose("entry-1")
	worker := f.join("entry-9", nil)
	keeperOf(worker, "entry-9")
	worker.cfg.Runner = runnerFunc(answer)
	ctx, cancel := context.WithCancel(t.Context())
	done := worker.Start(ctx)
	worker.assertEnds(t, Completed)
	worker.assertResults(t, 250)
	cancel()
	assert.NilError(t, <-done)
}
