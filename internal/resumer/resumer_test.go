package resumer

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/storeemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const service = "s"

var (
	v1 = Origin{Service: service, Version: "v1"}
	v2 = Origin{Service: service, Version: "v2"}
)

// A fleet is a set of instances with a common store.
type fleet struct {
	clock *clockwork.FakeClock
	store *storeemulator.Store

	mu        sync.Mutex
	instances map[string]*instance
	calls     int // Calls between instances.
}

type instance struct {
	*Resumer
	fleet    *fleet
	id       string
	handler  linker.Handler
	stop     func()
	isolated bool     // The list of servers cannot be brought up to date.
	unlisted []Origin // Those that the list lacks until it is brought up to date.
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{clock: clockwork.NewFakeClock(), store: storeemulator.New(clockwork.NewRealClock()), instances: map[string]*instance{}}
	for i := range n {
		f.start(t, fmt.Sprint("i", i))
	}
	f.setMembers(n)
	return f
}

func (f *fleet) setMembers(n int) {
	for id, i := range f.instances {
		var peers []string
		for m := range n {
			if peer := fmt.Sprint("i", m); peer != id {
				peers = append(peers, peer)
			}
		}
		i.SetMembers(peers)
	}
}

// start starts an instance that knows nothing. It has read the store when start returns.
func (f *fleet) start(t *testing.T, id string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	i := &instance{fleet: f, id: id}
	i.Resumer = New(Config{Instance: id, Prefix: "version/", Links: i, Store: f.store, Current: i.updateOrigins, Clock: f.clock, Logger: logger})
	ctx, cancel := context.WithCancel(t.Context())
	ended := i.Start(ctx)
	i.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	t.Cleanup(i.stop)
	f.mu.Lock()
	f.instances[id] = i
	f.mu.Unlock()
	await(t, func() bool {
		i.history.mu.Lock()
		defer i.history.mu.Unlock()
		return i.history.loaded
	})
}

// kill ends an instance.
func (f *fleet) kill(id string) {
	f.instances[id].stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.instances, id)
}

// Handle implements Links.
func (i *instance) Handle(_ linker.Kind, h linker.Handler) { i.handler = h }

// Call implements Links.
func (i *instance) Call(ctx context.Context, peer string, _ linker.Kind, request, response any) error {
	i.fleet.mu.Lock()
	i.fleet.calls++
	to := i.fleet.instances[peer]
	i.fleet.mu.Unlock()
	if to == nil {
		return linker.ErrUnreachable
	}
	payload, err := linker.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := to.handler.Handle(ctx, i.id, payload)
	if err != nil {
		return err
	}
	return linker.Unmarshal(answer, response)
}

func (f *fleet) setOrigins(listed ...Origin) {
	for _, i := range f.instances {
		i.SetOrigins(listed)
	}
}

// settle lets the instances notify each other of the streams that have begun.
func (f *fleet) settle() {
	for range 5 {
		time.Sleep(5 * time.Millisecond)
		f.clock.Advance(notifyDelay)
	}
	time.Sleep(20 * time.Millisecond)
}

func (f *fleet) storedOrigins(t *testing.T) int {
	t.Helper()
	l, err := f.store.List(t.Context(), "version/")
	assert.NilError(t, err)
	return len(l.Entries)
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !done() {
			return poll.Continue("not yet")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// updateOrigins brings the list of servers up to date.
func (i *instance) updateOrigins(context.Context) bool {
	if i.unlisted != nil {
		i.SetOrigins(i.unlisted)
		i.unlisted = nil
	}
	return !i.isolated
}

func assertOrigin(t *testing.T, i *instance, id string, want Origin) {
	t.Helper()
	got, known := i.Find(t.Context(), id, []string{service})
	assert.Assert(t, known, "the origin is not known")
	assert.Equal(t, got, want)
}

func assertUnknown(t *testing.T, i *instance, id string, services ...string) {
	t.Helper()
	origin, known := i.Find(t.Context(), id, append(services, service))
	assert.Assert(t, !known, "%v", origin)
}

// TestOneVersion guards against streams that cannot go on, and against messages for
// nothing, while a service has servers of one version only.
func TestOneVersion(t *testing.T) {
	f := newFleet(t, 4)
	f.setOrigins(v1, v1)
	for n := range 20 {
		f.instances["i0"].RecordBeginning(Stream{ID: fmt.Sprint("q", n), Origin: v1}, []string{service})
	}
	f.settle()
	assertOrigin(t, f.instances["i1"], "q3", v1)
	assertOrigin(t, f.instances["i1"], "", v1)
	f.mu.Lock()
	assert.Equal(t, f.calls, 0)
	f.mu.Unlock()
	t.Run("a route with a second service", func(t *testing.T) {
		other := Origin{Service: "other", Version: "v1"}
		f.setOrigins(v1, other)
		assertUnknown(t, f.instances["i1"], "elsewhere", "other")
	})
}

// TestSeveralVersions guards against streams that go on at a version that did not begin
// them, and against streams that cannot go on although an instance that knows them is
// left.
func TestSeveralVersions(t *testing.T) {
	begin := func(t *testing.T, n int) *fleet {
		f := newFleet(t, n)
		f.setOrigins(v1, v2)
		for n := range 20 {
			origin := v1
			if n%2 == 1 {
				origin = v2
			}
			f.instances["i0"].RecordBeginning(Stream{ID: fmt.Sprint("q", n), Origin: origin}, []string{service})
		}
		f.settle()
		return f
	}
	for _, n := range []int{2, 4, 33} {
		t.Run(fmt.Sprintf("the first of %d instances is killed", n), func(t *testing.T) {
			f := begin(t, n)
			f.mu.Lock()
			assert.Assert(t, f.calls <= replicasPerStream*20, "%d calls", f.calls)
			f.mu.Unlock()
			f.kill("i0")
			for id := range f.instances {
				assertOrigin(t, f.instances[id], "q4", v1)
				assertOrigin(t, f.instances[id], "q5", v2)
			}
		})
	}
	t.Run("two of four instances are killed", func(t *testing.T) {
		f := begin(t, 4)
		f.kill("i0")
		f.kill("i1")
		for n := range 20 {
			assertOrigin(t, f.instances["i2"], fmt.Sprint("q", n), []Origin{v1, v2}[n%2])
		}
	})
	t.Run("a stream that nobody knows", func(t *testing.T) {
		f := begin(t, 4)
		assertUnknown(t, f.instances["i2"], "other")
		assertUnknown(t, f.instances["i2"], "")
	})
	t.Run("a stream that began before the second version came", func(t *testing.T) {
		f := newFleet(t, 4)
		f.setOrigins(v1)
		f.instances["i0"].RecordBeginning(Stream{ID: "q0", Origin: v1}, []string{service})
		f.setOrigins(v1, v2)
		f.settle()
		f.kill("i0")
		assertOrigin(t, f.instances["i1"], "q0", v1)
	})
	t.Run("a version has just left", func(t *testing.T) {
		f := begin(t, 4)
		f.setOrigins(v2)
		assertUnknown(t, f.instances["i2"], "other")
		f.clock.Advance(originRetention)
		assertOrigin(t, f.instances["i2"], "other", v2)
	})
	t.Run("an instance whose list lacks the second version", func(t *testing.T) {
		f := newFleet(t, 4)
		f.setOrigins(v1)
		for n := range 3 {
			f.instances[fmt.Sprint("i", n)].SetOrigins([]Origin{v1, v2})
		}
		f.instances["i0"].RecordBeginning(Stream{ID: "q0", Origin: v2}, []string{service})
		f.settle()
		f.instances["i3"].unlisted = []Origin{v1, v2}
		assertOrigin(t, f.instances["i3"], "q0", v2)
		assertUnknown(t, f.instances["i3"], "other")
	})
	t.Run("an instance that is cut off", func(t *testing.T) {
		f := newFleet(t, 4)
		f.setOrigins(v1)
		f.instances["i3"].isolated = true
		assertUnknown(t, f.instances["i3"], "q0")
	})
}

// TestRestartOfAllInstances guards against streams that go on at another version after
// all instances have restarted, when nobody remembers what began them.
func TestRestartOfAllInstances(t *testing.T) {
	restart := func(t *testing.T, f *fleet, listed ...Origin) {
		t.Helper()
		for n := range 4 {
			f.kill(fmt.Sprint("i", n))
		}
		for n := range 4 {
			f.start(t, fmt.Sprint("i", n))
		}
		f.setMembers(4)
		f.setOrigins(listed...)
	}
	t.Run("the version was replaced", func(t *testing.T) {
		f := newFleet(t, 4)
		f.setOrigins(v1)
		await(t, func() bool { return f.storedOrigins(t) == 1 })
		restart(t, f, v2)
		assertUnknown(t, f.instances["i0"], "q0")
		await(t, func() bool { return f.storedOrigins(t) == 2 })
		f.clock.Advance(originRetention)
		await(t, func() bool { return f.storedOrigins(t) == 1 })
		assertOrigin(t, f.instances["i0"], "q0", v2)
	})
	t.Run("the version serves on", func(t *testing.T) {
		f := newFleet(t, 4)
		f.setOrigins(v1)
		await(t, func() bool { return f.storedOrigins(t) == 1 })
		restart(t, f, v1)
		assertOrigin(t, f.instances["i0"], "q0", v1)
	})
	t.Run("the name of the version does not fit into a key", func(t *testing.T) {
		f := newFleet(t, 4)
		long := Origin{Service: service, Version: strings.Repeat("v", storer.MaxKeyBytes)}
		f.setOrigins(long)
		await(t, func() bool { return f.storedOrigins(t) == 1 })
		restart(t, f, v2)
		assertUnknown(t, f.instances["i0"], "q0")
		assert.Equal(t, f.store.Refusals(), 0)
	})
	t.Run("the versions in the store were not read yet", func(t *testing.T) {
		f := newFleet(t, 1)
		f.setOrigins(v1)
		h := &f.instances["i0"].history
		h.mu.Lock()
		h.loaded = false
		h.mu.Unlock()
		assertUnknown(t, f.instances["i0"], "q0")
	})
}

// Guards against callers that fill the memory with long IDs of streams, and against such
// streams that cannot be taken up.
func TestLongIDs(t *testing.T) {
	f := newFleet(t, 2)
	long := strings.Repeat("q", 16<<10)
	f.instances["i0"].RecordBeginning(Stream{ID: long, Origin: v1}, []string{service})
	origin, known := f.instances["i0"].Find(t.Context(), long, []string{service})
	assert.Assert(t, known)
	assert.Equal(t, origin, v1)
	for _, s := range f.instances["i0"].begunHere(service) {
		assert.Assert(t, len(s.ID) <= maxIDBytes, "%d bytes are kept", len(s.ID))
	}
}
