package jobkeeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// linkMargin is the time that a call to the owner may take beyond the wait
	// of the caller.
	linkMargin = 400 * time.Millisecond
	// recordLifetime is how long a record that was read is used again.
	recordLifetime = 700 * time.Millisecond
	// announceTime is how long a new job is named in reports to peers. It covers
	// several reports, since some are lost.
	announceTime = 1500 * time.Millisecond
	// maxCopies bounds the jobs of other instances that are remembered.
	maxCopies = 4096
)

// An operation is what a peer asks the owner of a job.
type operation string

const (
	operationBody operation = "body"
	operationEnd  operation = "end"
	operationRead operation = "read"
)

// A jobRequest asks the owner of a job.
type jobRequest struct {
	Operation operation     `cbor:"operation"`
	Job       string        `cbor:"job"`
	Workspace string        `cbor:"workspace"`
	Item      string        `cbor:"item,omitempty"`
	After     int           `cbor:"after,omitempty"`
	Wait      time.Duration `cbor:"wait,omitempty"`
}

// A jobResponse is the owner's answer.
type jobResponse struct {
	Owned bool   `cbor:"owned"` // The instance owns the job.
	Found bool   `cbor:"found"` // It belongs to the workspace, and so does the item.
	View  View   `cbor:"view"`
	Body  []byte `cbor:"body,omitempty"`
}

// copies remember jobs of other instances.
type copies struct {
	mu   sync.Mutex
	jobs map[string]*jobCopy // By job ID.
}

// A jobCopy is what is known of a job of another instance. Listed results never
// change.
type jobCopy struct {
	mu      sync.Mutex
	record  Record
	readAt  time.Time // Of the record.
	owner   string    // Instance to ask; it may have changed.
	results []Result
	read    int // Segments in results.
}

// unknown reports whether neither the owner nor the end of the job is known.
func (c *jobCopy) unknown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner == "" && !c.record.Done
}

// whole reports whether all results that the job will ever have are here. The
// lock is held.
func (c *jobCopy) whole() bool {
	return c.record.Done && c.read == c.record.Segments
}

func (c *copies) init() { c.jobs = map[string]*jobCopy{} }

func (c *copies) of(id string) *jobCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[id]
	if known == nil {
		for old := range c.jobs {
			if len(c.jobs) < maxCopies {
				break
			}
			delete(c.jobs, old)
		}
		known = &jobCopy{}
		c.jobs[id] = known
	}
	return known
}

// NewJobs are the jobs that this instance owns since lately, for its peers.
func (k *Keeper) NewJobs() []string {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var ids []string
	for id, at := range k.adopted {
		if now.Sub(at) > announceTime {
			delete(k.adopted, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// LearnOwner notes the owner of jobs, so that it can be asked without a call to
// the store.
func (k *Keeper) LearnOwner(owner string, jobs []string) {
	for _, id := range jobs {
		c := k.copies.of(id)
		c.mu.Lock()
		if !c.record.Done {
			c.owner = owner
		}
		c.mu.Unlock()
	}
}

func (c *copies) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, id)
}

var notFound = refuser.New(refuser.JobNotFound, refuser.NotRun, "no such job exists")

// Read returns the results of a job from a position on. It waits up to wait for
// the first one.
func (k *Keeper) Read(ctx context.Context, workspace, id string, after int, wait time.Duration) (View, *refuser.Refusal) {
	if j, ok := k.owned(id); ok {
		if v, ok := k.readCertain(ctx, j, workspace, after, wait); ok {
			return v, nil
		}
		return k.readStored(ctx, workspace, id, after)
	}
	response, refusal := k.askOwner(ctx, jobRequest{Operation: operationRead, Job: id, Workspace: workspace, After: after, Wait: wait})
	switch {
	case refusal != nil:
		return View{}, refusal
	case response.Owned && !response.Found:
		return View{}, notFound
	case response.Owned:
		return response.View, nil
	}
	return k.readStored(ctx, workspace, id, after)
}

// readCertain reads a job of this instance, unless another instance may have
// taken it over. Results that are there are true in any case.
func (k *Keeper) readCertain(ctx context.Context, j *job, workspace string, after int, wait time.Duration) (View, bool) {
	v, refusal := k.readOwned(ctx, j, workspace, after, wait)
	if refusal != nil {
		return View{}, false
	}
	return v, len(v.Results) > 0 || k.certain()
}

func (k *Keeper) readOwned(ctx context.Context, j *job, workspace string, after int, wait time.Duration) (View, *refuser.Refusal) {
	if j.manifest.Workspace != workspace {
		return View{}, notFound
	}
	done := make(chan struct{})
	timer := k.cfg.Clock.AfterFunc(wait, func() { close(done) })
	defer timer.Stop()
	for {
		j.mu.Lock()
		v, changed := j.view(after), j.changed
		j.mu.Unlock()
		if len(v.Results) > 0 || v.Ended || wait <= 0 {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return v, nil
		case <-done:
			return v, nil
		case <-changed:
		}
	}
}

// readStored reads what the store holds, for jobs whose owner cannot be asked.
func (k *Keeper) readStored(ctx context.Context, workspace, id string, after int) (View, *refuser.Refusal) {
	c, refusal := k.fresh(ctx, id)
	if refusal != nil {
		return View{}, refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.Workspace != workspace {
		return View{}, notFound
	}
	if c.read < c.record.Segments {
		results, err := k.readResults(ctx, id, c.read, c.record.Segments)
		if err != nil {
			return View{}, k.storeRefusal(id, err)
		}
		c.results = append(c.results, results...)
		c.read = c.record.Segments
	}
	return viewOf(c.record.Total, c.results, after, c.record.Done), nil
}

// fresh returns a copy whose record was read lately.
func (k *Keeper) fresh(ctx context.Context, id string) (*jobCopy, *refuser.Refusal) {
	c := k.copies.of(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := k.now()
	if c.record.Done || !c.readAt.IsZero() && now.Sub(c.readAt) < recordLifetime {
		return c, nil
	}
	record, _, err := k.readRecord(ctx, id)
	if err != nil {
		k.copies.forget(id)
		return nil, k.storeRefusal(id, err)
	}
	c.record, c.readAt, c.owner = record, now, record.Owner
	return c, nil
}

// storeRefusal says that a job does not exist only where the store says so.
func (k *Keeper) storeRefusal(id string, err error) *refuser.Refusal {
	if errors.Is(err, storer.ErrNotFound) {
		return notFound
	}
	k.log(id).WithError(err).Warn("job cannot be read now")
	refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the job cannot be read now")
	refusal.RetryAfter = flushRetry
	return refusal
}

// askOwner asks the instance that owns a job. A response that is not owned means
// that the store has to be asked.
func (k *Keeper) askOwner(ctx context.Context, q jobRequest) (jobResponse, *refuser.Refusal) {
	c := k.copies.of(q.Job)
	if c.unknown() {
		read, refusal := k.fresh(ctx, q.Job)
		if refusal != nil {
			return jobResponse{}, refusal
		}
		c = read
	}
	c.mu.Lock()
	owner, done, whole := c.owner, c.record.Done, c.whole()
	c.mu.Unlock()
	switch {
	case owner == "", whole:
		return jobResponse{}, nil
	case owner == k.cfg.Self.ID && !done:
		k.askSweep() // It is this instance's by a write whose answer was lost, or from before a restart.
		return jobResponse{}, nil
	case owner == k.cfg.Self.ID:
		return jobResponse{}, nil
	}
	var response jobResponse
	callCtx, cancel := context.WithTimeout(ctx, q.Wait+linkMargin)
	defer cancel()
	if err := k.cfg.Links.Call(callCtx, owner, linker.KindJob, q, &response); err != nil {
		k.log(q.Job).WithError(err).WithField("owner", owner).Info("owner of the job cannot be asked")
		c.mu.Lock()
		c.owner = ""
		c.mu.Unlock()
		return jobResponse{}, nil
	}
	if !response.Owned {
		c.mu.Lock()
		c.owner = "" // Another instance may own it by now.
		c.mu.Unlock()
	}
	return response, nil
}

func (k *Keeper) handleJob(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var q jobRequest
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	j, ok := k.owned(q.Job)
	if !ok {
		if k.isDoubted(q.Job) {
			k.askSweep()
		}
		return linker.Marshal(jobResponse{})
	}
	response := jobResponse{Owned: true}
	switch q.Operation {
	case operationRead:
		response.Found = j.manifest.Workspace == q.Workspace
		if response.Found {
			response.View, response.Owned = k.readCertain(ctx, j, q.Workspace, q.After, q.Wait)
		}
	case operationBody:
		response.Body, response.Found = bodyOf(j, q.Workspace, q.Item)
	case operationEnd:
		response.Found = j.manifest.Workspace == q.Workspace
		if response.Found {
			k.endLocal(j)
		}
	}
	return linker.Marshal(response)
}

// Body returns the body of an item that is not listed yet.
func (k *Keeper) Body(ctx context.Context, workspace, id, item string) ([]byte, *refuser.Refusal) {
	if j, ok := k.owned(id); ok {
		if body, found := bodyOf(j, workspace, item); found {
			return body, nil
		}
		return nil, notFound
	}
	response, refusal := k.askOwner(ctx, jobRequest{Operation: operationBody, Job: id, Workspace: workspace, Item: item})
	switch {
	case refusal != nil:
		return nil, refusal
	case response.Owned && response.Found:
		return response.Body, nil
	case response.Owned:
		return nil, notFound
	}
	c, refusal := k.fresh(ctx, id)
	if refusal != nil {
		return nil, refusal
	}
	c.mu.Lock()
	parts := c.record.Parts
	c.mu.Unlock()
	m, err := k.readManifest(ctx, id, parts)
	if err != nil {
		return nil, k.storeRefusal(id, err)
	}
	for _, i := range m.Items {
		if i.ID == item && m.Workspace == workspace {
			return i.Body, nil
		}
	}
	return nil, notFound
}

func bodyOf(j *job, workspace, item string) (body []byte, found bool) {
	if j.manifest.Workspace != workspace {
		return nil, false
	}
	for _, i := range j.manifest.Items {
		if i.ID == item {
			return i.Body, true
		}
	}
	return nil, false
}
