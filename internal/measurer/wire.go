package measurer

import (
	"fmt"
	"strings"
)

// URL paths of the entries.
const (
	batchPath     = "/v1/batches/"
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
)

// Parts of server-sent events.
const (
	dataPrefix = "data:"
	streamEnd  = "[DONE]"
)

// markerPrefix precedes the marker in a prompt. The engine emulator repeats the
// marker in each token, so a response to another request is detected.
const markerPrefix = "marker:"

// numberPlaceholder is replaced by the request's marker in a call's path.
const numberPlaceholder = "{number}"

// A chatBody is the request body of a chat completion.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A chatChunk holds the fields that the load tool reads from a streamed chunk or
// a complete response.
type chatChunk struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Error *refusal `json:"error"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// text returns the generated text of a chunk.
func (c chatChunk) text() (text string) {
	for _, choice := range c.Choices {
		text += choice.Delta.Content + choice.Message.Content
	}
	return text
}

// A refusalBody is the body of an error response.
type refusalBody struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// A batchLine is one item of a submitted job.
type batchLine struct {
	CustomID string   `json:"custom_id"`
	URL      string   `json:"url"`
	Body     chatBody `json:"body"`
}

// newPrompt returns a prompt with a prefix that is common to all prompts of the
// workspace, like shared instructions or an order form.
func newPrompt(workspace, marker string, prefixWords int) string {
	var b strings.Builder
	for i := range prefixWords {
		fmt.Fprintf(&b, "%s-%d ", workspace, i)
	}
	b.WriteString(markerPrefix)
	b.WriteString(marker)
	return b.String()
}
