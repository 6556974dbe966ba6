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
	// ownerCallMargin is added to the requested wait to get the timeout of a call to
	// the owner.
	ownerCallMargin = 400 * time.Millisecond
	// recordCacheTTL is how long a cached record is used.
	recordCacheTTL = 700 * time.Millisecond
	// ownerReportPeriod is how long a job that this instance has accepted or taken
	// over is listed in reports to peers. It covers several reports, since some are
	// lost.
	ownerReportPeriod = 1500 * time.Millisecond
	// maxCachedJobs limits the number of cached jobs of other instances.
	maxCachedJobs = 4096
)

// An operation selects what a jobRequest asks for.
type operation string

const (
	operationBody operation = "body"
	operationEnd  operation = "end"
	operationRead operation = "read"
)

// A jobRequest is a request to the owner of a job.
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
	// Owned tells that the instance owns the job. If it only did so until its lease
	// ended or it began to leave, it answers false, and the store tells the owner.
	Owned bool   `cbor:"owned"`
	Found bool   `cbor:"found"` // The job belongs to the workspace and, for a body, has the item.
	View  View   `cbor:"view"`
	Body  []byte `cbor:"body,omitempty"`
}

// A jobCache caches jobs of other instances.
type jobCache struct {
	limit int64 // Of the bytes; 0 if there is none.

	mu    sync.Mutex
	jobs  map[string]*cachedJob // By job ID.
	bytes int64                 // Of the results of all jobs.
}

// A cachedJob is the cached state of a job of another instance. Listed results
// never change, so they do not expire.
type cachedJob struct {
	mu       sync.Mutex
	record   Record
	readAt   time.Time // When the record was read.
	owner    string    // Instance to ask; it may have changed.
	results  []Result
	segments int // Segments in results.

	resultBytes int64 // Guarded by the lock of the cache.
}

// needsLookup reports whether the record has to be read: the job is not done as
// far as is known, and its owner is unknown.
func (c *cachedJob) needsLookup() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner == "" && !c.record.Done
}

// complete reports whether the job is done and all its results are cached. The
// caller holds c.mu.
func (c *cachedJob) complete() bool {
	return c.record.Done && c.segments == c.record.Segments
}

func (c *jobCache) init(limit int64) { c.jobs, c.limit = map[string]*cachedJob{}, limit }

func (c *jobCache) get(id string) *cachedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[id]
	if known == nil {
		for old := range c.jobs {
			if len(c.jobs) < maxCachedJobs {
				break
			}
			c.drop(old)
		}
		known = &cachedJob{}
		c.jobs[id] = known
	}
	return known
}

// NewlyOwnedJobs returns the jobs that this instance has owned for at most
// ownerReportPeriod, to be reported to peers.
func (k *Keeper) NewlyOwnedJobs() []string {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var ids []string
	for id, at := range k.ownedSince {
		if now.Sub(at) > ownerReportPeriod {
			delete(k.ownedSince, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// RecordOwner records the owner of jobs, so that it can be called without reading
// the record from the store.
func (k *Keeper) RecordOwner(owner string, jobs []string) {
	for _, id := range jobs {
		c := k.cache.get(id)
		c.mu.Lock()
		if !c.record.Done {
			c.owner = owner
		}
		c.mu.Unlock()
	}
}

func (c *jobCache) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(id)
}

// drop removes a job. The caller holds c.mu.
func (c *jobCache) drop(id string) {
	if known := c.jobs[id]; known != nil {
		c.bytes -= known.resultBytes
		delete(c.jobs, id)
	}
}

// add counts results that were added to a job. Other jobs with results are dropped until
// all fit.
func (c *jobCache) add(known *cachedJob, id string, results []Result) {
	n := int64(0)
	for _, r := range results {
		n += int64(r.encodedBytes())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] != known { // It was dropped meanwhile.
		return
	}
	known.resultBytes += n
	c.bytes += n
	for other, job := range c.jobs {
		if c.limit <= 0 || c.bytes <= c.limit {
			return
		}
		if other != id && job.resultBytes > 0 {
			c.drop(other)
		}
	}
}

var notFound = refuser.New(refuser.JobNotFound, refuser.NotRun, "no such job exists")

// Holds reports whether a workspace has a job. It returns a refusal if that cannot be told
// now.
func (k *Keeper) Holds(ctx context.Context, workspace, id string) (bool, *refuser.Refusal) {
	refusal := k.checkWorkspace(ctx, workspace, id)
	if refusal != nil && refusal.Code == refuser.JobNotFound {
		return false, nil
	}
	return refusal == nil, refusal
}

// Read returns the results of a job from a position on. If there are none yet, it
// waits up to wait for the first one.
func (k *Keeper) Read(ctx context.Context, workspace, id string, after int, wait time.Duration) (View, *refuser.Refusal) {
	if j, ok := k.owned(id); ok {
		if v, ok := k.readConfirmed(ctx, j, workspace, after, wait); ok {
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
		return response.View.limited(), nil
	}
	return k.readStored(ctx, workspace, id, after)
}

// readConfirmed reads a job that this instance owns. It returns false if there are
// no results to return and the store may hold some: another instance may have taken
// the job over, or a write of results is in doubt. Listed results are valid in any
// case.
func (k *Keeper) readConfirmed(ctx context.Context, j *job, workspace string, after int, wait time.Duration) (View, bool) {
	v, refusal := k.readOwned(ctx, j, workspace, after, wait)
	if refusal != nil {
		return View{}, false
	}
	return v, len(v.Results) > 0 || k.confirmsOwnership() && !j.isDoubtful()
}

func (k *Keeper) readOwned(ctx context.Context, j *job, workspace string, after int, wait time.Duration) (View, *refuser.Refusal) {
	if !mayAccess(workspace, j.manifest.Workspace) {
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

// readStored reads results from the store, for jobs whose owner cannot be reached.
func (k *Keeper) readStored(ctx context.Context, workspace, id string, after int) (View, *refuser.Refusal) {
	c, refusal := k.refreshCached(ctx, id)
	if refusal != nil {
		return View{}, refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !mayAccess(workspace, c.record.Workspace) {
		return View{}, notFound
	}
	if c.segments < c.record.Segments {
		results, err := k.readResults(ctx, id, c.segments, c.record.Segments)
		if err != nil {
			return View{}, k.storeRefusal(id, err)
		}
		c.results = append(c.results, results...)
		k.cache.add(c, id, results)
		c.segments = c.record.Segments
	}
	return newView(c.record.Total, c.results, after, c.record.Done), nil
}

// refreshCached returns the cached job after reading its record again if it is
// older than recordCacheTTL.
func (k *Keeper) refreshCached(ctx context.Context, id string) (*cachedJob, *refuser.Refusal) {
	if !k.mayExist(id) {
		return nil, notFound
	}
	c := k.cache.get(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := k.now()
	if c.record.Done || !c.readAt.IsZero() && now.Sub(c.readAt) < recordCacheTTL {
		return c, nil
	}
	record, _, err := k.readRecord(ctx, id)
	if err != nil {
		k.cache.remove(id)
		return nil, k.storeRefusal(id, err)
	}
	c.record, c.readAt, c.owner = record, now, record.Owner
	return c, nil
}

// storeRefusal maps a store error to a refusal. Only storer.ErrNotFound means that
// the job does not exist.
func (k *Keeper) storeRefusal(id string, err error) *refuser.Refusal {
	if errors.Is(err, storer.ErrNotFound) {
		return notFound
	}
	k.log(id).WithError(err).Warn("failed to access the job in the store")
	refusal := refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the job cannot be read now")
	refusal.RetryAfter = flushRetryDelay
	return refusal
}

// askOwner sends a request to the owner of a job. If Owned is false in the
// response, the job has to be read from the store.
func (k *Keeper) askOwner(ctx context.Context, q jobRequest) (jobResponse, *refuser.Refusal) {
	if !k.mayExist(q.Job) {
		return jobResponse{}, notFound
	}
	c := k.cache.get(q.Job)
	if c.needsLookup() {
		read, refusal := k.refreshCached(ctx, q.Job)
		if refusal != nil {
			return jobResponse{}, refusal
		}
		c = read
	}
	c.mu.Lock()
	owner, done, complete := c.owner, c.record.Done, c.complete()
	c.mu.Unlock()
	switch {
	case owner == "", complete:
		return jobResponse{}, nil
	case owner == k.cfg.Self.ID && !done:
		k.requestSweep() // Owned since before a restart, or through a write whose response was lost.
		return jobResponse{}, nil
	case owner == k.cfg.Self.ID:
		return jobResponse{}, nil
	}
	response, err := k.callOwner(ctx, owner, q)
	if err != nil {
		k.log(q.Job).WithError(err).WithField("owner", owner).Info("failed to call the owner of the job")
		c.mu.Lock()
		c.owner = ""
		c.mu.Unlock()
		return jobResponse{}, nil
	}
	if !response.Owned {
		c.mu.Lock()
		c.owner = "" // Another instance may own the job by now.
		c.mu.Unlock()
	}
	return response, nil
}

func (k *Keeper) callOwner(ctx context.Context, owner string, q jobRequest) (response jobResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+ownerCallMargin)
	defer cancel()
	err = k.cfg.Links.Call(ctx, owner, linker.KindJob, q, &response)
	return response, err
}

func (k *Keeper) handleJob(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var q jobRequest
	if err := linker.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	j, ok := k.owned(q.Job)
	if !ok {
		if q.Operation == operationEnd {
			k.markEnded(q.Job) // This instance may be taking the job over.
		}
		// The caller read that this instance owns the job: a write of this or of an
		// earlier incarnation took effect late.
		if k.isInDoubt(q.Job) || k.hasOldScan() {
			k.requestSweep()
		}
		return linker.Marshal(jobResponse{})
	}
	response := jobResponse{Owned: true}
	switch q.Operation {
	case operationRead:
		response.Found = mayAccess(q.Workspace, j.manifest.Workspace)
		if response.Found {
			response.View, response.Owned = k.readConfirmed(ctx, j, q.Workspace, q.After, q.Wait)
		}
	case operationBody:
		response.Body, response.Found, response.Owned = findBody(j, q.Workspace, q.Item)
	case operationEnd:
		response.Found = mayAccess(q.Workspace, j.manifest.Workspace)
		if response.Found {
			k.endLocal(j)
			response.Owned = k.confirmsOwnership()
		}
	}
	return linker.Marshal(response)
}

// Body returns the request body of an item.
func (k *Keeper) Body(ctx context.Context, workspace, id, item string) ([]byte, *refuser.Refusal) {
	if j, ok := k.owned(id); ok {
		body, found, held := findBody(j, workspace, item)
		switch {
		case found:
			return body, nil
		case held:
			return nil, notFound
		}
		return k.readBody(ctx, workspace, id, item)
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
	return k.readBody(ctx, workspace, id, item)
}

// readBody reads the request body of an item from the store.
func (k *Keeper) readBody(ctx context.Context, workspace, id, item string) ([]byte, *refuser.Refusal) {
	c, refusal := k.refreshCached(ctx, id)
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
		if i.ID == item && mayAccess(workspace, m.Workspace) {
			return i.Body, nil
		}
	}
	return nil, notFound
}

// findBody returns the request body of an item. held is false if the job has the item, but
// no longer its body.
func findBody(j *job, workspace, item string) (body []byte, found, held bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !mayAccess(workspace, j.manifest.Workspace) {
		return nil, false, true
	}
	for _, i := range j.items {
		if i.ID == item {
			return i.Body, !j.released, !j.released
		}
	}
	return nil, false, true
}
