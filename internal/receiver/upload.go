package receiver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/acceptor"
	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// maxDrainBytes of a refused upload are read and discarded, so that the
	// refusal reaches a client that writes everything before it reads.
	maxDrainBytes = 32 << 20
	// uploadSlotTimeout is how long an upload waits for a free slot.
	uploadSlotTimeout = 20 * time.Second
)

func (r *Receiver) submit(c fiber.Ctx) error {
	req, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	upload, refusal := uploadBody(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	dueIn, err := time.ParseDuration(c.Query("due-in", defaultDueIn.String()))
	if err != nil {
		return r.refuseUpload(c, upload, badRequest("due-in is not a duration such as 8h"))
	}
	ctx, cancel := context.WithTimeout(r.ctx, uploadTimeout)
	defer cancel()
	release, refusal := r.uploads.acquire(ctx, req.workspace)
	if refusal != nil {
		return r.refuseUpload(c, upload, refusal)
	}
	defer release()
	m, err := r.cfg.Jobs.Submit(ctx, batcher.Submission{
		Workspace: req.workspace, Job: req.job, Key: req.key, DueIn: dueIn,
		Upload: http.MaxBytesReader(nil, io.NopCloser(upload), batcher.MaxUploadBytes),
	})
	if err != nil {
		return r.refuseUpload(c, upload, r.refusalOf(err))
	}
	return c.JSON(newJobReport(m))
}

func badRequest(message string) *refuser.Refusal {
	return &refuser.Refusal{
		Code: refuser.BadRequest, Message: message, Outcome: refuser.NotRun, Status: http.StatusBadRequest,
	}
}

// refuseUpload discards up to maxDrainBytes of an upload, then sends the refusal.
func (r *Receiver) refuseUpload(c fiber.Ctx, upload io.Reader, refusal *refuser.Refusal) error {
	_, _ = io.CopyN(io.Discard, upload, maxDrainBytes)
	return acceptor.Refuse(c, refusal)
}

// uploadBody returns a reader of the request body.
func uploadBody(c fiber.Ctx) (upload io.Reader, refusal *refuser.Refusal) {
	encoding := c.Get(fiber.HeaderContentEncoding)
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return nil, badRequest("uploads with a Content-Encoding are not taken")
	}
	stream := c.Request().BodyStream()
	if stream == nil {
		return bytes.NewReader(c.Request().Body()), nil
	}
	return &lengthCheckingReader{r: stream, wantBytes: int64(c.Request().Header.ContentLength())}, nil
}

// A lengthCheckingReader returns io.ErrUnexpectedEOF for a truncated upload. The
// body stream of fasthttp returns io.EOF even if the connection closes before
// Content-Length bytes have arrived.
type lengthCheckingReader struct {
	r         io.Reader
	wantBytes int64 // Negative for chunked bodies, whose stream detects truncation itself.
	readBytes int64
}

// Read implements io.Reader.
func (l *lengthCheckingReader) Read(p []byte) (n int, err error) {
	n, err = l.r.Read(p)
	l.readBytes += int64(n)
	if errors.Is(err, io.EOF) && l.wantBytes >= 0 && l.readBytes < l.wantBytes {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// An uploadLimiter bounds the concurrent uploads, in total and per workspace, so
// that one workspace cannot block the uploads of others.
type uploadLimiter struct {
	clock        Clock
	slots        chan struct{}
	perWorkspace int

	mu             sync.Mutex
	workspaceSlots map[string]chan struct{}
}

func newUploadLimiter(clock Clock, limit int) *uploadLimiter {
	return &uploadLimiter{
		clock: clock, slots: make(chan struct{}, limit), perWorkspace: max(1, limit/2),
		workspaceSlots: make(map[string]chan struct{}),
	}
}

// acquire waits for a slot, which release frees.
func (l *uploadLimiter) acquire(ctx context.Context, workspace string) (release func(), refusal *refuser.Refusal) {
	workspaceSlots := l.slotsOf(workspace)
	timeout := l.clock.After(uploadSlotTimeout)
	for i, slots := range []chan struct{}{workspaceSlots, l.slots} {
		select {
		case slots <- struct{}{}:
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		if i > 0 {
			<-workspaceSlots
		}
		return nil, &refuser.Refusal{
			Code: refuser.StorageUnavailable, Message: "too many uploads at the same time",
			Outcome: refuser.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: uploadSlotTimeout,
		}
	}
	return func() {
		<-l.slots
		<-workspaceSlots
	}, nil
}

func (l *uploadLimiter) slotsOf(name string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots, ok := l.workspaceSlots[name]
	if !ok {
		slots = make(chan struct{}, l.perWorkspace)
		l.workspaceSlots[name] = slots
	}
	return slots
}
