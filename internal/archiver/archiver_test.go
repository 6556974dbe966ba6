package archiver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// A fleet is a set of instances that call one another in process.
type fleet struct {
	mu              sync.Mutex
	listed          []registrar.Instance
	folders         map[string]*Folder
	unreachable     map[string]bool // Instances whose calls fail.
	maxMessageBytes int             // Size of the largest message.
}

// newFleet creates disk instances. The first letter of an ID, such as "a1", is
// the failure domain.
func newFleet(t *testing.T, disks ...string) *fleet {
	t.Helper()
	f := &fleet{folders: make(map[string]*Folder), unreachable: make(map[string]bool)}
	for _, id := range disks {
		folder, err := OpenFolder(t.TempDir())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = folder.Close() })
		f.folders[id] = folder
		f.addInstance(id, true)
	}
	return f
}

func (f *fleet) addInstance(id string, disk bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = append(f.listed, registrar.Instance{ID: id, FailureDomain: id[:1], Disk: disk})
}

func (f *fleet) removeInstance(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var remaining []registrar.Instance
	for _, instance := range f.listed {
		if instance.ID != id {
			remaining = append(remaining, instance)
		}
	}
	f.listed = remaining
}

func (f *fleet) Instances() []registrar.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]registrar.Instance(nil), f.listed...)
}

func (f *fleet) Call(ctx context.Context, peer string, kind linker.Kind, request, response any) error {
	f.mu.Lock()
	unreachable := f.unreachable[peer]
	f.mu.Unlock()
	if unreachable {
		return linker.ErrUnreachable
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.maxMessageBytes = max(f.maxMessageBytes, len(payload))
	f.mu.Unlock()
	var handler linker.Handler = &GetHandler{Folder: f.folders[peer]}
	if kind == linker.KindObjectPut {
		handler = &PutHandler{Folder: f.folders[peer]}
	}
	answer, err := handler.Handle(ctx, "test", payload)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(answer, response)
}

func (f *fleet) archiver(id string, replicationFactor int) *Archiver {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Instance: id, Folder: f.folders[id], Roster: f, Caller: f,
		Clock: clockwork.NewRealClock(), Logger: logger, ReplicationFactor: replicationFactor,
	})
}

const testName = "jobs/w/j/s/in-00000"

// assertStored puts an object and checks where it is stored and that an instance
// without a replica can read it.
func assertStored(t *testing.T, f *fleet, a *Archiver, want ...string) {
	t.Helper()
	assert.NilError(t, a.Ready())
	replicas, err := a.Put(t.Context(), testName, []byte("content"))
	assert.NilError(t, err)
	assert.DeepEqual(t, replicas, want)
	for _, id := range want {
		data, err := f.folders[id].Read(testName)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "content")
	}
	data, err := f.archiver("x9", 2).Get(t.Context(), testName, replicas)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "content")
}

// Guards against two replicas in one failure domain, or a single replica.
func TestPut(t *testing.T) {
	t.Run("own disk and another domain", func(t *testing.T) {
		f := newFleet(t, "a1", "a2", "b1")
		assertStored(t, f, f.archiver("a2", 2), "a2", "b1")
	})
	t.Run("no disk here", func(t *testing.T) {
		f := newFleet(t, "a1", "b1")
		f.addInstance("c1", false)
		assertStored(t, f, f.archiver("c1", 2), "a1", "b1")
	})
	t.Run("one domain", func(t *testing.T) {
		f := newFleet(t, "a1", "a2")
		assertStored(t, f, f.archiver("a1", 2), "a1", "a2")
	})
	t.Run("declared single disk", func(t *testing.T) {
		f := newFleet(t, "a1")
		assertStored(t, f, f.archiver("a1", 1), "a1")
	})
	t.Run("first choice silent", func(t *testing.T) {
		f := newFleet(t, "a1", "b1", "c1")
		f.unreachable["b1"] = true
		assertStored(t, f, f.archiver("a1", 2), "a1", "c1")
	})
	for name, disks := range map[string][]string{
		"second domain silent": {"a1", "a2", "b1"},
		"second disk silent":   {"a1", "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, disks...)
			f.unreachable["b1"] = true
			_, err := f.archiver("a1", 2).Put(t.Context(), testName, nil)
			assert.ErrorIs(t, err, ErrTooFewReplicas)
		})
	}
	t.Run("second disk not listed", func(t *testing.T) {
		f := newFleet(t, "a1")
		a := f.archiver("a1", 2)
		assert.ErrorIs(t, a.Ready(), ErrTooFewReplicas)
		_, err := a.Put(t.Context(), testName, nil)
		assert.ErrorIs(t, err, ErrTooFewReplicas)
	})
	t.Run("leaving instances accept no objects", func(t *testing.T) {
		f := newFleet(t, "a1", "b1")
		f.listed[1].Leaving = true
		assert.ErrorIs(t, f.archiver("a1", 2).Ready(), ErrTooFewReplicas)
	})
}

// Guards against objects that do not fit into a message.
func TestLargestObject(t *testing.T) {
	f := newFleet(t, "a1", "b1")
	a := f.archiver("a1", 2)
	_, err := a.Put(t.Context(), testName, make([]byte, MaxObjectBytes))
	assert.NilError(t, err)
	envelope, err := cbor.Marshal(linker.Envelope{Payload: make([]byte, f.maxMessageBytes), Sender: strings.Repeat("x", 100)})
	assert.NilError(t, err)
	assert.Assert(t, len(envelope) < linker.MaxMessageBytes, "%d bytes", len(envelope))
	_, err = a.Put(t.Context(), testName, make([]byte, MaxObjectBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Guards against returning a corrupt replica, and against a corrupt or missing
// replica that hides an intact one.
func TestGet(t *testing.T) {
	f := newFleet(t, "a1", "b1")
	a := f.archiver("a1", 2)
	replicas, err := a.Put(t.Context(), testName, []byte("content"))
	assert.NilError(t, err)

	corrupt := func(t *testing.T, id string) {
		t.Helper()
		name := filepath.Join(f.folders[id].root.Name(), testName)
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		content[len(content)-1] ^= 1
		assert.NilError(t, os.WriteFile(name, content, 0o600))
	}
	corrupt(t, "a1")
	data, err := a.Get(t.Context(), testName, replicas)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "content")

	corrupt(t, "b1")
	_, err = a.Get(t.Context(), testName, replicas)
	assert.ErrorIs(t, err, ErrCorrupt)
	assert.NilError(t, f.folders["a1"].Remove(testName))
	assert.NilError(t, f.folders["b1"].Remove(testName))
	_, err = a.Get(t.Context(), testName, replicas)
	assert.ErrorIs(t, err, ErrNotFound)
	f.unreachable["b1"] = true
	_, err = a.Get(t.Context(), testName, replicas)
	assert.ErrorIs(t, err, linker.ErrUnreachable)
}

// Guards against names that escape the data folder or collide with temporary
// files.
func TestNames(t *testing.T) {
	f := newFleet(t, "a1")
	for _, name := range []string{
		"", "x", "/etc/x", "../x/y", "a/../x", "a/./x", "a//x", "a/.tmp-x", "a/x/", "a/x\x00", "a/x y", `a\..\x/y`,
		strings.Repeat("a/", 8) + "x", strings.Repeat("a", 129) + "/x",
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, f.folders["a1"].Write(name, nil), ErrBadName)
			_, err := f.folders["a1"].Read(name)
			assert.ErrorIs(t, err, ErrBadName)
		})
	}
	t.Run("symbolic link", func(t *testing.T) {
		outside := t.TempDir()
		assert.NilError(t, os.Symlink(outside, filepath.Join(f.folders["a1"].root.Name(), "link")))
		assert.Assert(t, f.folders["a1"].Write("link/x", nil) != nil)
		entries, err := os.ReadDir(outside)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 0)
	})
}

// Guards against storing an object that was altered in transit.
func TestHandlersCheckDigests(t *testing.T) {
	f := newFleet(t, "a1")
	o := newObject(testName, []byte("content"))
	o.Data = []byte("other")
	payload, err := cbor.Marshal(o)
	assert.NilError(t, err)
	_, err = (&PutHandler{Folder: f.folders["a1"]}).Handle(t.Context(), "b1", payload)
	assert.ErrorIs(t, err, ErrCorrupt)
	_, err = (&PutHandler{}).Handle(t.Context(), "b1", payload)
	assert.ErrorContains(t, err, "no disk")
}

// A stubCatalog returns the same inventory for every group.
type stubCatalog struct {
	inventory Inventory
	err       error
	moves     []Placement
}

func (c *stubCatalog) Inventory(context.Context, string) (Inventory, error) {
	return c.inventory, c.err
}

func (c *stubCatalog) Move(_ context.Context, _ string, moves []Placement) error {
	c.moves = append(c.moves, moves...)
	return nil
}

// newTestReconciler returns a reconciler with a fake clock that starts at the
// current time.
func newTestReconciler(f *fleet, id string, catalog Catalog) (*Reconciler, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Now())
	a := f.archiver(id, 2)
	a.cfg.Clock = clock
	return NewReconciler(ReconcilerConfig{Archiver: a, Catalog: catalog}), clock
}

// reconcileOnce makes one pass and advances the fake clock over its pause.
func reconcileOnce(t *testing.T, reconciler *Reconciler, clock *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- reconciler.Reconcile(ctx) }()
	assert.NilError(t, clock.BlockUntilContext(ctx, 1)) // Waits in the pause after the only group.
	clock.Advance(DefaultGroupPause)
	assert.NilError(t, <-done)
	cancel()
}

// Guards against objects that are removed too early or never.
func TestReconcilerRemoves(t *testing.T) {
	unneededName := "jobs/w/j/s/out-00000"
	setUp := func(t *testing.T, inventory Inventory, err error) (*fleet, *Reconciler, *clockwork.FakeClock) {
		t.Helper()
		f := newFleet(t, "a1", "b1")
		for _, name := range []string{testName, unneededName} {
			_, putErr := f.archiver("a1", 2).Put(t.Context(), name, []byte("content"))
			assert.NilError(t, putErr)
		}
		reconciler, clock := newTestReconciler(f, "a1", &stubCatalog{inventory: inventory, err: err})
		return f, reconciler, clock
	}
	assertHolds := func(t *testing.T, f *fleet, name string, want bool) {
		t.Helper()
		_, err := f.folders["a1"].Read(name)
		assert.Equal(t, err == nil, want, "%s: %v", name, err)
	}
	needed := []Placement{{Name: testName, Replicas: []string{"a1", "b1"}}}

	t.Run("unknown group", func(t *testing.T) {
		f, reconciler, clock := setUp(t, Inventory{}, nil)
		reconcileOnce(t, reconciler, clock)
		assertHolds(t, f, testName, true) // It may belong to a submission in progress.
		clock.Advance(DefaultOrphanGrace + time.Minute)
		reconcileOnce(t, reconciler, clock)
		groups, err := f.folders["a1"].Groups()
		assert.NilError(t, err)
		assert.Equal(t, len(groups), 0)
	})
	t.Run("unknown group of an instance that is not listed", func(t *testing.T) {
		f, reconciler, clock := setUp(t, Inventory{}, nil)
		f.removeInstance("a1")
		clock.Advance(DefaultOrphanGrace + time.Minute)
		reconcileOnce(t, reconciler, clock)
		assertHolds(t, f, testName, true)
	})
	t.Run("platform down", func(t *testing.T) {
		f, reconciler, clock := setUp(t, Inventory{}, errors.New("down"))
		clock.Advance(DefaultOrphanGrace + time.Minute)
		reconcileOnce(t, reconciler, clock)
		assertHolds(t, f, testName, true)
	})
	for name, final := range map[string]bool{"running job": false, "ended job": true} {
		t.Run(name, func(t *testing.T) {
			f, reconciler, clock := setUp(t, Inventory{Known: true, Final: final, Objects: needed}, nil)
			clock.Advance(DefaultOrphanGrace + time.Minute)
			reconcileOnce(t, reconciler, clock)
			assertHolds(t, f, testName, true)
			assertHolds(t, f, unneededName, !final)
		})
	}
}

// Guards against an object that is left with one replica, and against replacing
// the replica of an instance that is only restarting.
func TestReconcilerRepairs(t *testing.T) {
	f := newFleet(t, "a1", "a2", "b1", "c1")
	content := bytes.Repeat([]byte("x"), 1000)
	for _, id := range []string{"a1", "b1"} {
		assert.NilError(t, f.folders[id].Write(testName, content))
	}
	catalog := &stubCatalog{inventory: Inventory{
		Known: true, Objects: []Placement{{Name: testName, Replicas: []string{"a1", "b1"}}},
	}}
	reconciler, clock := newTestReconciler(f, "a1", catalog)
	f.removeInstance("b1")
	reconcileOnce(t, reconciler, clock)
	assert.Equal(t, len(catalog.moves), 0)

	clock.Advance(DefaultAbsenceGrace)
	reconcileOnce(t, reconciler, clock)
	assert.DeepEqual(t, catalog.moves, []Placement{{Name: testName, Replicas: []string{"a1", "c1"}}})
	data, err := f.folders["c1"].Read(testName)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, content))
}
