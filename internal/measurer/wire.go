package measurer

import (
	"fmt"
	"strings"
)

// Paths and headers of the entries' HTTP.
const (
	batchPath     = "/v1/batches/"
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
)

// Lines of server-sent events.
const (
	dataPrefix = "data:"
	endMarker  = "[DONE]"
)

// markerPrefix marks a prompt. The engines' stand-in repeats the marker in
// each token, so that an answer to another request is noticed.
const markerPrefix = "marker:"

// numberPlaceholder stands for the number of the request in a call's path.
const numberPlaceholder = "{number}"

// A chatBody is the body of a chat completion.
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

// A chatChunk is the part of a streamed chunk, or of a whole answer, that the
// load tool reads.
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

// text is the generated text of a chunk.
func (c chatChunk) text() (text string) {
	for _, choice := range c.Choices {
		text += choice.Delta.Content + choice.Message.Content
	}
	return text
}

// A refusalBody is the body of an error answer.
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

// newPrompt returns a prompt whose first words all prompts of a workspace
// share, as instructions and order forms do.
func newPrompt(workspace, marker string, prefixWords int) string {
	var b strings.Builder
	for i := range prefixWords {
		fmt.Fprintf(&b, "%s-%d ", workspace, i)
	}
	b.WriteString(markerPrefix)
	b.WriteString(marker)
	return b.String()
}
