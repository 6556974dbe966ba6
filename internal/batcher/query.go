package batcher

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	resultsBufferBytes = 64 << 10
	maxCancelConflicts = 10
)

// Status returns the manifest of a job with its current counts.
func (b *Batcher) Status(ctx context.Context, workspace, job string) (m Manifest, err error) {
	return b.snapshot(ctx, scheduler.Key{Workspace: workspace, Job: job})
}

// snapshot returns a manifest merged with the results in the chunk records. A
// concurrent fold deletes the records, so the manifest is read again after them.
func (b *Batcher) snapshot(ctx context.Context, k scheduler.Key) (m Manifest, err error) {
	if err = checkName("job", k.Job); err != nil {
		return Manifest{}, err
	}
	m, version, err := b.records.manifest(ctx, k)
	for err == nil && !m.Folded {
		var entries []storedChunk
		if entries, err = b.records.chunks(ctx, k); err != nil {
			break
		}
		again, now, readErr := b.records.manifest(ctx, k)
		if err = readErr; err == nil && now == version {
			m.mergeResults(entries)
			return m, nil
		}
		m, version = again, now
	}
	return m, b.readRefusal(err, k)
}

// Cancel cancels a job: no more of its items are dispatched, and its finished
// results stay readable. Cancelling a job that has ended has no effect.
func (b *Batcher) Cancel(ctx context.Context, workspace, job string) (m Manifest, err error) {
	k := scheduler.Key{Workspace: workspace, Job: job}
	if err = checkName("job", k.Job); err != nil {
		return Manifest{}, err
	}
	for range maxCancelConflicts {
		var version int64
		m, version, err = b.records.manifest(ctx, k)
		if err != nil {
			return Manifest{}, b.readRefusal(err, k)
		}
		if m.State == Running {
			m.State = Cancelled
			m.EndedAt = b.cfg.Clock.Now().UTC()
			err = b.records.updateManifest(ctx, m, version)
		}
		if errors.Is(err, storer.ErrConflict) {
			continue
		}
		if err != nil {
			return Manifest{}, b.writeRefusal(err, "the cancellation")
		}
		return b.publishCancel(ctx, m)
	}
	return Manifest{}, merry.Errorf("cancelling job %s: too many conflicting writes to its manifest", job)
}

// publishCancel makes a cancellation known to the other instances. It does so
// again when the job is cancelled again.
func (b *Batcher) publishCancel(ctx context.Context, m Manifest) (Manifest, error) {
	b.cancelItems(m.key())
	if m.Folded {
		return m, nil
	}
	if err := b.records.createIfAbsent(ctx, cancelKey(m.key()), encode(m.EndedAt)); err != nil {
		return Manifest{}, b.writeRefusal(err, "the notice of the cancellation")
	}
	b.AddOpenJob(m.open())
	return b.snapshot(ctx, m.key())
}

// Results writes the stored results of a job as JSON lines, in the order of the
// items.
func (b *Batcher) Results(ctx context.Context, workspace, job string, w io.Writer) (err error) {
	m, err := b.snapshot(ctx, scheduler.Key{Workspace: workspace, Job: job})
	if err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(w, resultsBufferBytes)
	for i := range m.Chunks {
		records, err := b.chunkResults(ctx, &m, i)
		if err != nil {
			return merry.Prependf(err, "reading the results of chunk %d", i)
		}
		if err = writeLines(buffered, records); err != nil {
			return err
		}
		if err = buffered.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// chunkResults reads the results of a chunk. A repair may have moved them since
// the manifest was read, so on failure it reads the manifest again, once.
func (b *Batcher) chunkResults(ctx context.Context, m *Manifest, chunk int) (records []ItemRecord, err error) {
	if m.Chunks[chunk].Results == nil {
		return nil, nil
	}
	records, err = b.readResults(ctx, *m, chunk, m.Chunks[chunk].Results)
	if err == nil {
		return records, nil
	}
	again, err := b.snapshot(ctx, m.key())
	if err != nil {
		return nil, err
	}
	if again.Submission != m.Submission || again.Chunks[chunk].Results == nil {
		return nil, merry.New("the job was removed while its results were read")
	}
	*m = again
	return b.readResults(ctx, *m, chunk, m.Chunks[chunk].Results)
}

func writeLines(w io.Writer, records []ItemRecord) (err error) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	for _, record := range records {
		if err = encoder.Encode(record.line()); err != nil {
			return err
		}
	}
	return nil
}

// readRefusal converts an error of a read to a refusal; nothing has run.
func (b *Batcher) readRefusal(err error, k scheduler.Key) error {
	var refusal *refuser.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, storer.ErrNotFound):
		return &refuser.Refusal{
			Code: refuser.JobNotFound, Message: "there is no job " + k.Job,
			Outcome: refuser.NotRun, Status: http.StatusNotFound,
		}
	}
	b.cfg.Logger.WithError(err).Warn("reading from the platform failed")
	return platformRefusal("the platform does not answer")
}

// writeRefusal converts an error of a write to a refusal that says whether the
// write may have taken effect.
func (b *Batcher) writeRefusal(err error, what string) error {
	b.cfg.Logger.WithError(err).Warn("writing to the platform failed")
	if errors.Is(err, storer.ErrUnavailable) {
		return platformRefusal("the platform does not take " + what)
	}
	return &refuser.Refusal{
		Code: refuser.InDoubt, Message: "the platform's answer to " + what + " was lost; send the request again",
		Outcome: refuser.Unknown, Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter,
	}
}

// jobRefusal refuses a new job of which the platform refuses a record. It would be
// refused again.
func (b *Batcher) jobRefusal(err error) error {
	b.cfg.Logger.WithError(err).Warn("the platform refuses a record of a new job")
	return refuser.New(refuser.BadRequest, refuser.NotRun, "the platform does not take the job")
}

func platformRefusal(message string) error {
	return &refuser.Refusal{
		Code: refuser.PlatformUnavailable, Message: message,
		Outcome: refuser.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter,
	}
}
