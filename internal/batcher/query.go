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

// Status returns the manifest of a job with its present counts.
func (b *Batcher) Status(ctx context.Context, workspace, job string) (m Manifest, err error) {
	return b.snapshot(ctx, scheduler.Key{Workspace: workspace, Job: job})
}

// snapshot returns a manifest with the results that the chunk records hold. A
// job that is folded meanwhile loses its records, so the manifest is read again
// after them.
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

// Cancel ends a job: nothing more of it is dispatched, and its finished results
// stay readable. Cancelling a job that has ended changes nothing.
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
	return Manifest{}, merry.Errorf("the manifest of job %s changes all the time", job)
}

// publishCancel makes a cancellation known to the other instances, here again
// when the job is cancelled again.
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

// Results writes the results of all chunks that are done as JSON lines, in the
// order of the items.
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
// the manifest was read, so after a failure it is read again, once.
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
		return nil, merry.New("the job was removed")
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

// readRefusal turns an error of a read into a refusal; nothing has run.
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
	b.cfg.Logger.WithError(err).Warn("the platform did not answer a read")
	return platformRefusal("the platform does not answer")
}

// writeRefusal turns an error of a write into a refusal that says whether the
// write may have taken effect.
func (b *Batcher) writeRefusal(err error, what string) error {
	b.cfg.Logger.WithError(err).Warn("the platform did not answer a write")
	if errors.Is(err, storer.ErrUnavailable) {
		return platformRefusal("the platform does not take " + what)
	}
	return &refuser.Refusal{
		Code: refuser.InDoubt, Message: "the platform's answer to " + what + " was lost; send the request again",
		Outcome: refuser.Unknown, Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter,
	}
}

func platformRefusal(message string) error {
	return &refuser.Refusal{
		Code: refuser.PlatformUnavailable, Message: message,
		Outcome: refuser.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter,
	}
}
