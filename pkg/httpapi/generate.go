package httpapi

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/openai"
)

// job is a generation request in the form that /v1/completions and
// /v1/chat/completions share.
type job struct {
	model, prompt, user string
	maxTokens, n        int
	stream, usage       bool
	format              responseFormat
}

// responseFormat builds the response bodies of one endpoint.
type responseFormat interface {
	// full returns the body of a response that is not streamed.
	full(m meta, text, reason string, u openai.Usage) any
	// chunk returns one event of a streamed response; reason is empty except in
	// the last chunk.
	chunk(m meta, text, reason string, first bool) any
	// usage returns the event with the token counts. It is the last event before
	// [DONE] if the client set include_usage.
	usage(m meta, u openai.Usage) any
}

// meta holds the fields that every chunk of a response repeats.
type meta struct {
	id, model string
	created   int64
}

func (a *API) completions(w http.ResponseWriter, r *http.Request) {
	var body openai.CompletionRequest
	if err := readJSON(r, &body); err != nil {
		writeError(w, "", err)
		return
	}
	a.generate(w, r, job{
		model: body.Model, prompt: string(body.Prompt), user: body.User, maxTokens: body.MaxTokens,
		n: body.N, stream: body.Stream, usage: wantsUsage(body.StreamOptions), format: completionFormat{},
	})
}

func (a *API) chat(w http.ResponseWriter, r *http.Request) {
	var body openai.ChatRequest
	if err := readJSON(r, &body); err != nil {
		writeError(w, "", err)
		return
	}
	if len(body.Messages) == 0 {
		writeError(w, "", badRequest("messages", "expected at least one message"))
		return
	}
	a.generate(w, r, job{
		model: body.Model, prompt: body.Prompt(), user: body.User, maxTokens: max(body.MaxTokens, body.MaxCompletionTokens),
		n: body.N, stream: body.Stream, usage: wantsUsage(body.StreamOptions), format: chatFormat{},
	})
}

func wantsUsage(o *openai.StreamOptions) bool { return o != nil && o.IncludeUsage }

// validate fills in defaults and returns *errRequest for the first invalid field.
func (j *job) validate() error {
	switch {
	case j.model == "":
		return badRequest("model", "expected the name of a model")
	case j.prompt == "":
		return badRequest("prompt", "expected some text")
	case j.n > 1:
		return badRequest("n", "only one answer for each request is supported")
	case j.maxTokens < 0 || j.maxTokens > maxMaxTokens:
		return badRequest("max_tokens", "expected a number from 1 to 32768")
	}
	if j.maxTokens == 0 {
		j.maxTokens = defaultMaxTokens
	}
	return nil
}

// generate runs a job and writes the response, whole or as a stream.
func (a *API) generate(w http.ResponseWriter, r *http.Request, j job) {
	c, err := a.identify(r)
	if err == nil {
		err = j.validate()
	}
	if err != nil {
		writeError(w, c.id, err)
		return
	}
	req := &gateway.Request{
		ID: c.id, Workspace: c.workspace, Kind: c.kind, Model: j.model, Prompt: j.prompt,
		MaxTokens: j.maxTokens, Key: c.idempotencyKey, NotRepeatable: c.notRepeatable,
	}
	s := &responseSink{w: w, job: &j, meta: meta{id: c.id, model: j.model, created: created()}}
	res := a.g.Generate(r.Context(), req, s)
	s.end(&res)
}

// responseSink writes the response of a generation: as one body at its end, or as a
// stream of server-sent events.
type responseSink struct {
	w       http.ResponseWriter
	job     *job
	meta    meta
	started bool
	text    strings.Builder
}

// Text implements gateway.Sink.
func (s *responseSink) Text(text string, _ int) error {
	if !s.job.stream {
		s.text.WriteString(text)
		return nil
	}
	first := !s.started
	s.start()
	return s.writeEvent(s.job.format.chunk(s.meta, text, "", first))
}

// start sends the status and the headers of a streamed response, once.
func (s *responseSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequest, s.meta.id)
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent sends v as one server-sent event.
func (s *responseSink) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeData(string(data))
}

func (s *responseSink) writeData(data string) error {
	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// end completes the response, or reports the error instead. A stream that failed
// ends with an error event and without [DONE], so that a client can't take it for
// a complete one.
func (s *responseSink) end(res *gateway.Result) {
	if res.Err != nil {
		s.fail(res)
		return
	}
	u := openai.Usage{PromptTokens: res.PromptTokens, CompletionTokens: res.Tokens, TotalTokens: res.PromptTokens + res.Tokens}
	if !s.job.stream {
		s.w.Header().Set(HeaderRequest, s.meta.id)
		s.w.Header().Set(HeaderOutcome, string(res.Outcome))
		writeJSON(s.w, http.StatusOK, s.job.format.full(s.meta, s.text.String(), res.Reason, u))
		return
	}
	s.start()
	_ = s.writeEvent(s.job.format.chunk(s.meta, "", res.Reason, false))
	if s.job.usage {
		_ = s.writeEvent(s.job.format.usage(s.meta, u))
	}
	_ = s.writeData("[DONE]")
}

func (s *responseSink) fail(res *gateway.Result) {
	a := describe(s.meta.id, res.Err, res.Outcome)
	if !s.started {
		writeErrorResponse(s.w, a)
		return
	}
	_ = s.writeEvent(openai.ErrorBody{Error: a.body})
}

// completionFormat builds the response bodies of /v1/completions.
type completionFormat struct{}

func (completionFormat) base(m meta, text, reason string) openai.Completion {
	return openai.Completion{
		ID: "cmpl-" + m.id, Object: openai.ObjectCompletion, Created: m.created, Model: m.model,
		Choices: []openai.CompletionChoice{{Text: text, FinishReason: optional(reason)}},
	}
}

func (f completionFormat) full(m meta, text, reason string, u openai.Usage) any {
	c := f.base(m, text, reason)
	c.Usage = &u
	return c
}

func (f completionFormat) chunk(m meta, text, reason string, _ bool) any {
	return f.base(m, text, reason)
}

func (f completionFormat) usage(m meta, u openai.Usage) any {
	c := f.base(m, "", "")
	c.Choices, c.Usage = []openai.CompletionChoice{}, &u
	return c
}

// chatFormat builds the response bodies of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) base(m meta, object string, choices ...openai.ChatChoice) openai.Chat {
	return openai.Chat{ID: "chatcmpl-" + m.id, Object: object, Created: m.created, Model: m.model, Choices: choices}
}

func (f chatFormat) full(m meta, text, reason string, u openai.Usage) any {
	c := f.base(m, openai.ObjectChat, openai.ChatChoice{
		Message: &openai.ChatMessage{Role: "assistant", Content: text}, FinishReason: optional(reason),
	})
	c.Usage = &u
	return c
}

func (f chatFormat) chunk(m meta, text, reason string, first bool) any {
	delta := &openai.ChatMessage{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return f.base(m, openai.ObjectChunk, openai.ChatChoice{Delta: delta, FinishReason: optional(reason)})
}

func (f chatFormat) usage(m meta, u openai.Usage) any {
	c := f.base(m, openai.ObjectChunk)
	c.Choices, c.Usage = []openai.ChatChoice{}, &u
	return c
}

// optional returns a pointer to s, or nil if s is empty.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
