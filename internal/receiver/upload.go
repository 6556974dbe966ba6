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
	// maxDrainBytes is read of an upload that was refused, so that the refusal
	// reaches a client that writes everything before it reads.
	maxDrainBytes = 32 << 20
	// gateTime is how long an upload waits for its turn.
	gateTime = 20 * time.Second
)

func (r *Receiver) submit(c fiber.Ctx) error {
	who, refusal := r.identify(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	upload, refusal := uploadOf(c)
	if refusal != nil {
		return acceptor.Refuse(c, refusal)
	}
	dueIn, err := time.ParseDuration(c.Query("due-in", defaultDueIn.String()))
	if err != nil {
		return r.refuseUpload(c, upload, badRequest("due-in is not a duration such as 8h"))
	}
	ctx, cancel := context.WithTimeout(r.ctx, uploadTime)
	defer cancel()
	leave, refusal := r.gate.enter(ctx, who.workspace)
	if refusal != nil {
		return r.refuseUpload(c, upload, refusal)
	}
	defer leave()
	m, err := r.cfg.Jobs.Submit(ctx, batcher.Submission{
		Workspace: who.workspace, Job: who.job, Key: who.key, DueIn: dueIn,
		Upload: http.MaxBytesReader(nil, io.NopCloser(upload), batcher.MaxUploadBytes),
	})
	if err != nil {
		return r.refuseUpload(c, upload, r.refusalOf(err))
	}
	return c.JSON(reportOf(m))
}

func badRequest(message string) *refuser.Refusal {
	return &refuser.Refusal{
		Code: refuser.BadRequest, Message: message, Outcome: refuser.NotRun, Status: http.StatusBadRequest,
	}
}

// refuseUpload reads some more of an upload before the refusal is sent.
func (r *Receiver) refuseUpload(c fiber.Ctx, upload io.Reader, refusal *refuser.Refusal) error {
	_, _ = io.CopyN(io.Discard, upload, maxDrainBytes)
	return acceptor.Refuse(c, refusal)
}

// uploadOf returns the body of a request.
func uploadOf(c fiber.Ctx) (upload io.Reader, refusal *refuser.Refusal) {
	encoding := c.Get(fiber.HeaderContentEncoding)
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return nil, badRequest("uploads with a Content-Encoding are not taken")
	}
	stream := c.Request().BodyStream()
	if stream == nil {
		return bytes.NewReader(c.Request().Body()), nil
	}
	return &wholeReader{r: stream, want: int64(c.Request().Header.ContentLength())}, nil
}

// A wholeReader tells an upload that was cut from one that has ended. The body
// stream of fasthttp ends without an error when the connection closes before
// Content-Length bytes have come.
type wholeReader struct {
	r    io.Reader
	want int64 // Negative when the length is not known; then the stream tells itself.
	got  int64
}

// Read implements io.Reader.
func (w *wholeReader) Read(p []byte) (n int, err error) {
	n, err = w.r.Read(p)
	w.got += int64(n)
	if errors.Is(err, io.EOF) && w.want >= 0 && w.got < w.want {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// A gate bounds the uploads that are read at the same time, in all and of each
// workspace, so that one workspace cannot keep others from submitting.
type gate struct {
	clock Clock
	all   chan struct{}
	each  int

	mu         sync.Mutex
	workspaces map[string]chan struct{}
}

func newGate(clock Clock, limit int) *gate {
	return &gate{
		clock: clock, all: make(chan struct{}, limit), each: max(1, limit/2),
		workspaces: make(map[string]chan struct{}),
	}
}

// enter waits for a place, which leave gives back.
func (g *gate) enter(ctx context.Context, workspace string) (leave func(), refusal *refuser.Refusal) {
	own := g.workspace(workspace)
	timeout := g.clock.After(gateTime)
	for i, places := range []chan struct{}{own, g.all} {
		select {
		case places <- struct{}{}:
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		if i > 0 {
			<-own
		}
		return nil, &refuser.Refusal{
			Code: refuser.StorageUnavailable, Message: "too many uploads at the same time",
			Outcome: refuser.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: gateTime,
		}
	}
	return func() {
		<-g.all
		<-own
	}, nil
}

func (g *gate) workspace(name string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	places, ok := g.workspaces[name]
	if !ok {
		places = make(chan struct{}, g.each)
		g.workspaces[name] = places
	}
	return places
}
