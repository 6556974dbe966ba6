package engineemulator

// A Response is a complete response or one chunk of a stream.
type Response struct {
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// A Choice holds the generated text in the field that the kind of response uses.
type Choice struct {
	Message *Text  `json:"message,omitempty"` // Complete chat completion.
	Delta   *Text  `json:"delta,omitempty"`   // Chunk of a chat completion.
	Text    string `json:"text,omitempty"`    // Text completion or a chunk of one.
}

// A Text is the text of a chat message.
type Text struct {
	Content string `json:"content"`
}

// A Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completion) chunk(text string) Response {
	choice := Choice{Text: text}
	if c.chat {
		choice = Choice{Delta: &Text{Content: text}}
	}
	return Response{Model: c.request.Model, Choices: []Choice{choice}}
}

func (c *completion) usageChunk() Response {
	return Response{Model: c.request.Model, Choices: []Choice{}, Usage: c.usage()}
}

func (c *completion) response(text string) Response {
	choice := Choice{Text: text}
	if c.chat {
		choice = Choice{Message: &Text{Content: text}}
	}
	return Response{Model: c.request.Model, Choices: []Choice{choice}, Usage: c.usage()}
}

func (c *completion) usage() *Usage {
	prompt := countTokens(c.prompt)
	return &Usage{PromptTokens: prompt, CompletionTokens: c.tokenCount, TotalTokens: prompt + c.tokenCount}
}
