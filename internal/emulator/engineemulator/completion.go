package engineemulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator"
)

// defaultMaxTokens is the length of a response if the request sets none.
const defaultMaxTokens = 16

// markerPattern matches the marker in a prompt, which each token of the response
// repeats so that tests can assign responses to requests.
var markerPattern = regexp.MustCompile(`marker:([A-Za-z0-9_.-]+)`)

var errMessages = merry.Sentinel("messages is no list")

// A completionRequest holds the fields of a request that the engine uses.
type completionRequest struct {
	Model     string   `json:"model"`
	Messages  chatText `json:"messages"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Stream    bool     `json:"stream"`
}

// A chatText is the text of a list of messages.
type chatText string

// UnmarshalJSON implements json.Unmarshaler. It decodes the messages one by one, and stops
// at the first that is invalid: many small ones take much more memory than their text.
func (c *chatText) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	switch {
	case err != nil:
		return err
	case start == nil: // null
		return nil
	case start != json.Delim('['):
		return errMessages
	}
	var text strings.Builder
	for decoder.More() {
		var m chatMessage
		if err := decoder.Decode(&m); err != nil {
			return err
		}
		fmt.Fprintf(&text, "%s: %s\n", m.Role, m.Content)
	}
	*c = chatText(text.String())
	return nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text returns the prompt as a single string.
func (r completionRequest) text() string {
	if r.Messages == "" {
		return r.Prompt
	}
	return string(r.Messages)
}

// A completion is the processing of one request.
type completion struct {
	engine     *Engine
	request    completionRequest
	prompt     string
	marker     string
	fault      Fault
	chat       bool
	tokenCount int
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if _, err := e.journal.Record(r); err != nil {
		return
	}
	var request completionRequest
	if !emulator.ReadJSON(w, r, &request) {
		return
	}
	if !e.orders.serves(request.Model) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	c := e.newCompletion(r, request)
	e.loads.add(1)
	defer e.loads.add(-1)
	c.serve(w, r)
}

func (e *Engine) newCompletion(r *http.Request, request completionRequest) *completion {
	c := &completion{engine: e, request: request, prompt: request.text(), chat: strings.Contains(r.URL.Path, "chat")}
	c.tokenCount = orInt(request.MaxTokens, defaultMaxTokens)
	c.marker = "token"
	if match := markerPattern.FindStringSubmatch(c.prompt); match != nil {
		c.marker = match[1]
	}
	c.fault = e.consumeFault(c.prompt)
	return c
}

func (c *completion) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case c.fault.CrashOn != "":
		c.engine.crashOrExit(c.fault)
		return
	case c.fault.StallAtStart:
		<-r.Context().Done()
		return
	case c.fault.Status != 0:
		http.Error(w, "fault", c.fault.Status)
		return
	}
	if !c.prefill(r.Context()) {
		return
	}
	s := c.engine.batch.add(c.tokenCount)
	defer c.engine.batch.remove(s)
	if c.request.Stream {
		c.writeStream(w, r, s)
		return
	}
	c.writeResponse(w, r, s)
}

func (c *completion) prefill(ctx context.Context) bool {
	uncached := max(countTokens(c.prompt)-c.engine.cache.lookupAndInsert(c.prompt), 0)
	select {
	case <-time.After(c.fault.delay() + time.Duration(uncached)*c.engine.cfg.PrefillTime):
		return true
	case <-ctx.Done():
		return false
	}
}

// nextToken waits for the next token and reports whether there is one.
func (c *completion) nextToken(ctx context.Context, s *sequence) (text string, ok bool) {
	select {
	case i, ok := <-s.tokens:
		return fmt.Sprintf("%s-%d ", c.marker, i), ok
	case <-ctx.Done():
		return "", false
	}
}

func (c *completion) writeStream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	for sent := 0; sent < c.tokenCount; sent++ {
		text, ok := c.nextToken(r.Context(), s)
		if !ok {
			return
		}
		c.writeEvent(w, c.chunk(text))
		if sent+1 == c.fault.CloseAfterTokens {
			emulator.CloseConnection(w)
			return
		}
		if sent+1 == c.fault.StallAfterTokens {
			<-r.Context().Done()
			return
		}
	}
	c.writeEvent(w, c.usageChunk())
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (c *completion) writeEvent(w http.ResponseWriter, document any) {
	data, err := json.Marshal(document)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

func (c *completion) writeResponse(w http.ResponseWriter, r *http.Request, s *sequence) {
	var text strings.Builder
	for range c.tokenCount {
		token, ok := c.nextToken(r.Context(), s)
		if !ok {
			return
		}
		text.WriteString(token)
	}
	response := c.response(text.String())
	if c.fault.CloseAfterTokens == 0 {
		emulator.WriteJSON(w, http.StatusOK, response)
		return
	}
	data, err := json.Marshal(response)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	emulator.CloseConnection(w)
}
