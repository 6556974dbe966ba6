package jobkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// jobOverhead, itemOverhead and fieldOverhead are what a job, an item and a header
	// field take beside their texts.
	jobOverhead   = 1 << 10
	itemOverhead  = 512
	fieldOverhead = 64
	// memoryRetryAfter is how long a caller waits whose job finds no room. Other
	// instances may have some.
	memoryRetryAfter = 500 * time.Millisecond
	// largeShare is the part of the limit that is available to jobs of more than
	// smallBytes, and workspaceShare that of one workspace, so that neither keeps out
	// others.
	largeShare     = 0.75
	smallBytes     = 64 << 10
	workspaceShare = 0.5
)

// heldBytes returns about how much memory the manifest takes.
func (m Manifest) heldBytes() int64 {
	n := jobOverhead
	for _, i := range m.Items {
		n += itemOverhead + len(i.ID) + len(i.Target) + len(i.Body)
		for _, f := range i.Header {
			n += fieldOverhead + len(f.Name) + len(f.Value)
		}
	}
	return int64(n)
}

// A jobMemory counts the bytes of the manifests of open jobs.
type jobMemory struct {
	limit int64 // 0 if there is none.

	mu         sync.Mutex
	used       int64
	workspaces map[string]int64 // Those with open jobs.
}

func newJobMemory(limit int64) *jobMemory {
	return &jobMemory{limit: limit, workspaces: map[string]int64{}}
}

// take adds a job that is submitted, if it fits. A job of any size fits if there is no
// other.
func (m *jobMemory) take(workspace string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if n > smallBytes {
		limit = int64(largeShare * float64(limit))
	}
	own := m.workspaces[workspace]
	switch {
	case m.limit > 0 && m.used > 0 && m.used+n > limit:
		return false
	case m.limit > 0 && own > 0 && own+n > int64(workspaceShare*float64(m.limit)):
		return false
	}
	m.change(workspace, n)
	return true
}

// add changes the bytes by those of a job that has been accepted, or no longer is open.
func (m *jobMemory) add(workspace string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(workspace, n)
}

// change changes the bytes. The caller holds m.mu.
func (m *jobMemory) change(workspace string, n int64) {
	m.used += n
	m.workspaces[workspace] += n
	if m.workspaces[workspace] == 0 {
		delete(m.workspaces, workspace)
	}
}

// register adds a metric of the bytes.
func (m *jobMemory) register(meter metric.Meter) (err error) {
	defer func() { err = merry.Prepend(err, "register memory of jobs") }()
	_, err = meter.Int64ObservableGauge("jobkeeper.held", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the open jobs that this instance owns"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			o.Observe(m.used)
			return nil
		}))
	return err
}

func memoryRefusal() *refuser.Refusal {
	refusal := refuser.New(refuser.Overloaded, refuser.NotRun, "the instance has no room for further jobs")
	refusal.RetryAfter = memoryRetryAfter
	return refusal
}

// releaseItems lets go of what is not needed of items that do not run any more. The
// caller holds j.mu.
func (k *Keeper) releaseItems(j *job) {
	if j.released {
		return
	}
	j.released = true
	k.memory.add(j.manifest.Workspace, -j.held)
	items := make([]Item, 0, len(j.items)) // Running tasks refer to the former ones.
	for _, i := range j.items {
		items = append(items, Item{ID: i.ID, Tokens: i.Tokens})
	}
	j.items = items
}
