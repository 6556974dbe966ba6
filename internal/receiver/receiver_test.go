package receiver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/batcher"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// stubKeys accepts the key "good" of workspace "ljepilo" until it is withdrawn.
type stubKeys struct {
	mu        sync.Mutex
	withdrawn bool
}

func (k *stubKeys) Workspace(key string) (string, *refuser.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key != "good" || k.withdrawn {
		return "", &refuser.Refusal{Code: refuser.KeyUnknown, Outcome: refuser.NotRun, Status: http.StatusUnauthorized}
	}
	return "ljepilo", nil
}

// stubJobs records the uploads that it receives.
type stubJobs struct {
	mu       sync.Mutex
	accepted map[string]string // Custom IDs by workspace, job and due-in.
	ended    chan error        // Receives the error of each upload, or nil.
	results  func(w io.Writer) error
}

func (j *stubJobs) Submit(_ context.Context, s batcher.Submission) (batcher.Manifest, error) {
	var items int
	d := batcher.NewDecoder(s.Upload, s.Key)
	var text strings.Builder
	for {
		item, err := d.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			j.ended <- err
			return batcher.Manifest{}, &refuser.Refusal{Code: refuser.BadRequest, Message: err.Error(), Outcome: refuser.NotRun, Status: 400}
		}
		items++
		text.WriteString(item.CustomID)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted[s.Workspace+"/"+s.Job+" "+s.DueIn.String()] = text.String()
	j.ended <- nil
	return batcher.Manifest{Job: s.Job, State: batcher.Running, Items: items}, nil
}

func (j *stubJobs) Status(_ context.Context, workspace, job string) (batcher.Manifest, error) {
	if workspace != "ljepilo" || job != "known" {
		return batcher.Manifest{}, &refuser.Refusal{
			Code: refuser.JobNotFound, Outcome: refuser.NotRun, Status: 404, RetryAfter: 1500 * time.Millisecond,
		}
	}
	return batcher.Manifest{Job: job, State: batcher.Running, Items: 3}, nil
}

func (j *stubJobs) Cancel(context.Context, string, string) (batcher.Manifest, error) {
	return batcher.Manifest{}, errors.New("storage failed")
}

func (j *stubJobs) Results(_ context.Context, _, _ string, w io.Writer) error {
	return j.results(w)
}

// A testServer is an HTTP server with a Receiver.
type testServer struct {
	url  string
	keys *stubKeys
	jobs *stubJobs
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{keys: &stubKeys{}, jobs: &stubJobs{accepted: make(map[string]string), ended: make(chan error, 100)}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := New(Config{Keys: s.keys, Jobs: s.jobs, Clock: clockwork.NewRealClock(), Logger: logger})
	app := fiber.New(fiber.Config{StreamRequestBody: true, BodyLimit: 64 << 10})
	r.Mount(app)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.url = "http://" + listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		assert.NilError(t, app.Shutdown())
		r.Close()
		assert.NilError(t, <-done)
	})
	return s
}

// A testResponse is a response whose body is closed at the end of the test.
type testResponse struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
}

// send makes a request with the good key.
func (s *testServer) send(t *testing.T, method, path string, body io.Reader) testResponse {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, s.url+path, body)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer good")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return testResponse{StatusCode: response.StatusCode, Header: response.Header, Body: response.Body}
}

// assertRefused checks the status of a refusal and its JSON body.
func assertRefused(t *testing.T, response testResponse, status int, code refuser.Code, outcome refuser.Outcome) {
	t.Helper()
	assert.Equal(t, response.StatusCode, status)
	var body refuser.Refusal
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&body))
	assert.Equal(t, body.Code, code)
	assert.Equal(t, body.Outcome, outcome)
}

func upload(n int) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, `{"custom_id":"%d","url":"/v1/completions","body":{"prompt":"%s"}}`+"\n", i, strings.Repeat("x", 100))
	}
	return out.String()
}

// Guards against uploads that are truncated, mixed up or held to the body limit
// of the server, with Content-Length and chunked.
func TestSubmit(t *testing.T) {
	s := newTestServer(t)
	fullUpload := upload(5000)
	assert.Assert(t, len(fullUpload) > 5*64<<10)
	bodies := map[string]func() io.Reader{
		"length": func() io.Reader { return strings.NewReader(fullUpload) },
		"chunks": func() io.Reader { return io.MultiReader(strings.NewReader(fullUpload)) },
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			response := s.send(t, http.MethodPut, "/v1/batches/"+name+"?due-in=8h", body())
			assert.Equal(t, response.StatusCode, http.StatusOK)
			var report JobReport
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&report))
			assert.Equal(t, report.Items, 5000)
			_, ok := s.jobs.accepted["ljepilo/"+name+" 8h0m0s"]
			assert.Assert(t, ok, "%v", s.jobs.accepted)
		})
	}
	t.Run("refused during the upload", func(t *testing.T) {
		response := s.send(t, http.MethodPut, "/v1/batches/x", strings.NewReader("x\n"+fullUpload+fullUpload))
		assertRefused(t, response, http.StatusBadRequest, refuser.BadRequest, refuser.NotRun)
	})
	t.Run("bad due time", func(t *testing.T) {
		response := s.send(t, http.MethodPut, "/v1/batches/x?due-in=soon", strings.NewReader(fullUpload))
		assertRefused(t, response, http.StatusBadRequest, refuser.BadRequest, refuser.NotRun)
	})
	t.Run("unknown key", func(t *testing.T) {
		s.keys.withdrawn = true
		defer func() { s.keys.withdrawn = false }()
		response := s.send(t, http.MethodPut, "/v1/batches/x", strings.NewReader(upload(1)))
		assertRefused(t, response, http.StatusUnauthorized, refuser.KeyUnknown, refuser.NotRun)
	})
}

// Guards against accepting a truncated upload when the connection is lost after
// a complete line.
func TestTruncatedUpload(t *testing.T) {
	part := upload(2000)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(part), part),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "PUT /v1/batches/cut HTTP/1.1\r\nHost: x\r\nX-Api-Key: good\r\n"+head)
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			assert.ErrorIs(t, <-s.jobs.ended, io.ErrUnexpectedEOF)
			assert.Equal(t, len(s.jobs.accepted), 0)
		})
	}
}

// Guards against errors without a code, and against errors with an unknown
// outcome that claim that nothing has run.
func TestStatusAndCancel(t *testing.T) {
	s := newTestServer(t)
	response := s.send(t, http.MethodGet, "/v1/batches/known", nil)
	var report JobReport
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&report))
	assert.DeepEqual(t, report, JobReport{Job: "known", State: batcher.Running, Items: 3})

	response = s.send(t, http.MethodGet, "/v1/batches/other", nil)
	assertRefused(t, response, http.StatusNotFound, refuser.JobNotFound, refuser.NotRun)
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	response = s.send(t, http.MethodPost, "/v1/batches/known/cancel", nil)
	assertRefused(t, response, http.StatusInternalServerError, refuser.InDoubt, refuser.Unknown)
}

// Guards against truncated results that look complete, and against a stream that
// continues after its key was withdrawn or its client has disconnected.
func TestResults(t *testing.T) {
	fetch := func(t *testing.T, s *testServer) (string, error) {
		t.Helper()
		response := s.send(t, http.MethodGet, "/v1/batches/known/results", nil)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		data, err := io.ReadAll(response.Body)
		return string(data), err
	}
	t.Run("complete", func(t *testing.T) {
		s := newTestServer(t)
		s.jobs.results = func(w io.Writer) error {
			_, err := io.WriteString(w, upload(1000))
			return err
		}
		data, err := fetch(t, s)
		assert.NilError(t, err)
		assert.Equal(t, data, upload(1000))
	})
	t.Run("error after the first bytes", func(t *testing.T) {
		s := newTestServer(t)
		s.jobs.results = func(w io.Writer) error {
			_, _ = io.WriteString(w, upload(1))
			return errors.New("no replica")
		}
		_, err := fetch(t, s)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	// endless makes Results write until a write fails, and returns a channel that
	// receives the error.
	endless := func(s *testServer) chan error {
		ended := make(chan error, 1)
		s.jobs.results = func(w io.Writer) (err error) {
			for err == nil {
				_, err = io.WriteString(w, upload(100))
			}
			ended <- err
			return err
		}
		return ended
	}
	t.Run("key withdrawn", func(t *testing.T) {
		s := newTestServer(t)
		ended := endless(s)
		response := s.send(t, http.MethodGet, "/v1/batches/known/results", nil)
		_, err := bufio.NewReader(response.Body).ReadString('\n')
		assert.NilError(t, err)
		s.keys.mu.Lock()
		s.keys.withdrawn = true
		s.keys.mu.Unlock()
		_, err = io.Copy(io.Discard, response.Body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		var refusal *refuser.Refusal
		assert.Assert(t, errors.As(<-ended, &refusal))
	})
	t.Run("client disconnected", func(t *testing.T) {
		s := newTestServer(t)
		ended := endless(s)
		response := s.send(t, http.MethodGet, "/v1/batches/known/results", nil)
		assert.NilError(t, response.Body.Close())
		assert.ErrorIs(t, <-ended, io.ErrClosedPipe)
	})
}

// Guards against uploads that take more memory together than a small machine has.
func TestMaxUploads(t *testing.T) {
	for memoryMB, want := range map[int]int{64: 1, 144: 1, 256: 2, 512: 4, 16_384: 4} {
		assert.Equal(t, MaxUploads(memoryMB), want, "%d MB", memoryMB)
	}
}

// Guards against a workspace whose uploads block those of others.
func TestUploadLimiter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newUploadLimiter(clock, 4)
	acquire := func(workspace string) func() {
		release, refusal := l.acquire(t.Context(), workspace)
		assert.Assert(t, refusal == nil)
		return release
	}
	release := acquire("greedy")
	acquire("greedy")
	refused := make(chan *refuser.Refusal)
	go func() {
		_, refusal := l.acquire(t.Context(), "greedy")
		refused <- refusal
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if clock.BlockUntilContext(t.Context(), 3) != nil {
			return poll.Continue("waiting for the third upload to block")
		}
		return poll.Success()
	})
	acquire("other")
	acquire("other")
	clock.Advance(uploadSlotTimeout)
	assert.Equal(t, (<-refused).Outcome, refuser.NotRun)
	release()
	acquire("greedy")
}
