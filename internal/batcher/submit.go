package batcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// uploadConcurrency is the number of chunks of an upload that are stored
	// concurrently. It limits the memory of an upload to about 40 MiB: a line
	// (1 MiB), the chunk being filled (2 MiB), those being stored (2 MiB each,
	// and twice that for each of two messages) and the digests of the
	// custom_ids (5 MiB).
	uploadConcurrency = 3
	refusalRetryAfter = time.Second
)

// A Submission is a request to run a job.
type Submission struct {
	Workspace string
	Job       string
	Key       string        // API key of the request; no item may contain it. It is not stored.
	DueIn     time.Duration // Time until the last result should be available.
	Upload    io.Reader     // JSON lines.
}

// Submit accepts a job: when it returns without an error, the items are on disk
// and the manifest is in the platform. A job that was accepted before with the
// same items is returned unchanged, with its original due time. Errors of type
// *refuser.Refusal are for the caller.
func (b *Batcher) Submit(ctx context.Context, s Submission) (m Manifest, err error) {
	if err = s.check(); err != nil {
		return Manifest{}, err
	}
	k := scheduler.Key{Workspace: s.Workspace, Job: s.Job}
	existing, _, err := b.records.manifest(ctx, k)
	switch {
	case err == nil:
		return b.resubmit(ctx, existing, s)
	case !errors.Is(err, storer.ErrNotFound):
		return Manifest{}, b.readRefusal(err, k)
	}
	if err = b.cfg.Archive.Ready(); err != nil {
		return Manifest{}, b.storageRefusal(err)
	}
	m = Manifest{Workspace: s.Workspace, Job: s.Job, Submission: newID(), State: Running}
	if err = b.storeItems(ctx, &m, s); err != nil {
		return Manifest{}, err
	}
	m.AcceptedAt = b.cfg.Clock.Now().UTC()
	m.Due = m.AcceptedAt.Add(s.DueIn)
	return b.accept(ctx, m)
}

func (s Submission) check() error {
	if err := checkName("workspace", s.Workspace); err != nil {
		return err
	}
	if err := checkName("job", s.Job); err != nil {
		return err
	}
	if s.DueIn <= 0 || s.DueIn > MaxDueIn {
		return badRequest("due-in is not between 0 and %s", MaxDueIn)
	}
	return nil
}

func checkName(what, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return badRequest("%s name %q does not match %s", what, truncate(name), namePattern)
}

func badRequest(format string, args ...any) error {
	return &refuser.Refusal{
		Code: refuser.BadRequest, Message: fmt.Sprintf(format, args...),
		Outcome: refuser.NotRun, Status: http.StatusBadRequest,
	}
}

func (b *Batcher) storageRefusal(err error) error {
	b.cfg.Logger.WithError(err).Warn("job refused: its items could not be stored")
	return &refuser.Refusal{
		Code: refuser.StorageUnavailable, Message: "too few disk instances are live",
		Outcome: refuser.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter,
	}
}

// resubmit compares an upload with an existing job.
func (b *Batcher) resubmit(ctx context.Context, existing Manifest, s Submission) (m Manifest, err error) {
	d := NewDecoder(s.Upload, s.Key)
	for err == nil {
		_, err = d.Next()
	}
	if !errors.Is(err, io.EOF) {
		return Manifest{}, uploadRefusal(err)
	}
	return b.checkResubmission(ctx, existing, d.Digest())
}

// checkResubmission returns the existing job if it has the same items. It restores
// a missing index entry, since the first submission may have been interrupted.
func (b *Batcher) checkResubmission(ctx context.Context, existing Manifest, digest string) (m Manifest, err error) {
	if existing.Digest != digest {
		return Manifest{}, &refuser.Refusal{
			Code: refuser.JobConflict, Message: "job " + existing.Job + " was submitted with other items",
			Outcome: refuser.NotRun, Status: http.StatusConflict,
		}
	}
	if !existing.Folded {
		if err = b.records.createIfAbsent(ctx, openKey(existing.key()), encode(existing.open())); err != nil {
			return Manifest{}, b.writeRefusal(err, "the entry of the job")
		}
		b.AddOpenJob(existing.open())
	}
	return existing, nil
}

// accept writes the index entry and then the manifest; the latter accepts the
// job. It overwrites an entry left by an earlier submission, so that no instance
// deletes it as an old orphan.
func (b *Batcher) accept(ctx context.Context, m Manifest) (Manifest, error) {
	err := b.records.overwrite(ctx, openKey(m.key()), encode(m.open()))
	if errors.Is(err, storer.ErrRefused) {
		return Manifest{}, b.jobRefusal(err)
	}
	if err != nil {
		// Without a manifest the job does not exist, even if the entry was written.
		return Manifest{}, platformRefusal("the platform does not take the entry of the job")
	}
	existing, err := b.records.createManifest(ctx, m)
	if errors.Is(err, storer.ErrRefused) {
		return Manifest{}, b.jobRefusal(err)
	}
	if err != nil {
		return Manifest{}, b.writeRefusal(err, "the manifest of the job")
	}
	if existing.Submission != m.Submission {
		return b.checkResubmission(ctx, existing, m.Digest)
	}
	b.AddOpenJob(m.open())
	return m, nil
}

// storeItems decodes the upload and writes its chunks to the archive.
func (b *Batcher) storeItems(ctx context.Context, m *Manifest, s Submission) (err error) {
	u := &upload{batcher: b, manifest: m, decoder: NewDecoder(s.Upload, s.Key)}
	u.storing = pool.New().WithErrors().WithContext(ctx).WithCancelOnError().
		WithFirstError().WithMaxGoroutines(uploadConcurrency)
	readErr := u.read(ctx, s)
	storeErr := u.storing.Wait()
	var refusal *refuser.Refusal
	switch {
	case errors.As(readErr, &refusal):
		return refusal
	case readErr != nil && !errors.Is(readErr, errNotStored):
		return uploadRefusal(readErr)
	case storeErr != nil:
		return b.storageRefusal(storeErr)
	}
	m.Items = u.decoder.Items()
	m.Digest = u.decoder.Digest()
	return nil
}

// errNotStored stops reading an upload after storing a chunk has failed.
var errNotStored = merry.Sentinel("a chunk was not stored")

// An upload is the state of storing the items of a job.
type upload struct {
	batcher  *Batcher
	manifest *Manifest
	decoder  *Decoder
	storing  *pool.ContextPool

	items []Item // Items of the chunk being filled.
	bytes int    // Size of items.

	mu     sync.Mutex // Guards the replicas in manifest.Chunks, and failed.
	failed bool
}

// read reads items into chunks until the upload ends.
func (u *upload) read(ctx context.Context, s Submission) (err error) {
	for {
		item, err := u.decoder.Next()
		if errors.Is(err, io.EOF) {
			return u.flush(ctx)
		}
		if err != nil {
			return err
		}
		if err = u.add(ctx, item, s); err != nil {
			return err
		}
	}
}

// add adds an item to the chunk being filled.
func (u *upload) add(ctx context.Context, item Item, s Submission) (err error) {
	item.Workspace, item.Job = s.Workspace, s.Job
	lane, refusal := u.batcher.cfg.Routes.CheckRoute(item)
	if refusal != nil {
		located := *refusal
		located.Message = fmt.Sprintf("line %d: %s", u.decoder.line, refusal.Message)
		return &located
	}
	item.Lane = lane
	if u.manifest.Lane == "" {
		u.manifest.Lane = lane
	}
	size := len(item.Body) + len(item.URL) + len(item.CustomID)
	if len(u.items) == chunkItems || u.bytes+size > chunkBytes && len(u.items) > 0 {
		if err = u.flush(ctx); err != nil {
			return err
		}
	}
	u.items = append(u.items, item)
	u.bytes += size
	return nil
}

// flush starts storing the chunk being filled. It blocks while uploadConcurrency
// others are being stored, which limits the memory of the upload.
func (u *upload) flush(ctx context.Context) (err error) {
	data, err := encodeItems(u.items)
	if err != nil {
		return err
	}
	u.mu.Lock()
	chunk := len(u.manifest.Chunks)
	u.manifest.Chunks = append(u.manifest.Chunks, Chunk{Items: len(u.items)})
	failed := u.failed
	u.mu.Unlock()
	if failed || ctx.Err() != nil {
		return errNotStored
	}
	name := u.manifest.inputName(chunk)
	u.storing.Go(func(ctx context.Context) error { return u.store(ctx, chunk, name, data) })
	u.items, u.bytes = nil, 0
	return nil
}

func (u *upload) store(ctx context.Context, chunk int, name string, data []byte) (err error) {
	replicas, err := u.batcher.cfg.Archive.Put(ctx, name, data)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.manifest.Chunks[chunk].Replicas = replicas
	u.failed = u.failed || err != nil
	return err
}
