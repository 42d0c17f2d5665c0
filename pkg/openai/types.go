// Package openai holds the wire types of the OpenAI-compatible API: what client
// libraries send and expect. Request fields that hopwell does not support are
// ignored, as other servers of this API do.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Values of the object field in responses.
const (
	ObjectCompletion = "text_completion"
	ObjectChat       = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
	ObjectModel      = "model"
	ObjectList       = "list"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        Text           `json:"prompt"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options"`
	N             int            `json:"n"`
	User          string         `json:"user"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
	N                   int            `json:"n"`
	User                string         `json:"user"`
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// Text is decoded from a string, or from an array of strings and text parts, which
// are concatenated.
type Text string

// UnmarshalJSON implements json.Unmarshaler. It fails with *ErrText.
func (t *Text) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) == nil {
		*t = Text(s)
		return nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return &ErrText{}
	}
	var b strings.Builder
	for _, p := range parts {
		piece, err := part(p)
		if err != nil {
			return err
		}
		b.WriteString(piece)
	}
	*t = Text(b.String())
	return nil
}

// part decodes one element of an array that Text is decoded from: a string or a text
// part.
func part(data []byte) (string, error) {
	var s string
	if json.Unmarshal(data, &s) == nil {
		return s, nil
	}
	var p struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &p); err != nil || p.Type != "text" {
		return "", &ErrText{}
	}
	return p.Text, nil
}

// ErrText reports that a prompt or a message is not text.
type ErrText struct{}

// Error implements error.
func (e *ErrText) Error() string { return "expected a string, or an array of strings or text parts" }

// Prompt renders the messages as the prompt text for the engine.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "<|%s|>\n%s\n", m.Role, m.Content)
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completion is a response of /v1/completions, or one chunk of a streamed one.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// CompletionChoice holds the text of a completion or of one chunk.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Chat is a response of /v1/chat/completions, or one chunk of a streamed one.
type Chat struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// ChatChoice has Message in a response that is not streamed and Delta in a chunk.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatMessage is a message of a response, or the part of it in one chunk.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Models is the response of /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one available model.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ErrorBody is the body of every error response, and the data of an error event in
// a stream.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes an error to a client library.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome reports whether the request ran: "not_run" or "unknown".
	Outcome string `json:"outcome"`
	// Request is the request ID, which `hopwell explain` takes.
	Request string `json:"request_id,omitempty"`
}
