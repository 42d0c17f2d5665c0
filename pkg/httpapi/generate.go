package httpapi

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/openai"
)

// job is a generation as both endpoints ask for it.
type job struct {
	model, prompt, user string
	maxTokens, n        int
	stream, usage       bool
	shape               shape
}

// shape writes answers in one endpoint's form.
type shape interface {
	// whole is the answer in one piece.
	whole(m meta, text, reason string, u openai.Usage) any
	// chunk is one piece of a streamed answer; reason is empty but at the end.
	chunk(m meta, text, reason string, first bool) any
	// usage is the last piece of a stream whose caller wants the counts.
	usage(m meta, u openai.Usage) any
}

// meta is what all pieces of an answer repeat.
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
		n: body.N, stream: body.Stream, usage: wantsUsage(body.StreamOptions), shape: completionShape{},
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
		n: body.N, stream: body.Stream, usage: wantsUsage(body.StreamOptions), shape: chatShape{},
	})
}

func wantsUsage(o *openai.StreamOptions) bool { return o != nil && o.IncludeUsage }

// check returns *errRequest for the first fault of a job, and fills in defaults.
func (j *job) check() error {
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

// generate runs a job and answers in one piece or as a stream.
func (a *API) generate(w http.ResponseWriter, r *http.Request, j job) {
	c, err := a.identify(r)
	if err == nil {
		err = j.check()
	}
	if err != nil {
		writeError(w, c.id, err)
		return
	}
	req := &gateway.Request{
		ID: c.id, Workspace: c.workspace, Kind: c.kind, Model: j.model, Prompt: j.prompt,
		MaxTokens: j.maxTokens, Key: c.key, NotRepeatable: c.notRepeatable,
	}
	s := &answerSink{w: w, job: &j, meta: meta{id: c.id, model: j.model, created: created()}}
	res := a.g.Generate(r.Context(), req, s)
	s.end(&res)
}

// answerSink writes an answer.
type answerSink struct {
	w       http.ResponseWriter
	job     *job
	meta    meta
	started bool
	text    strings.Builder
}

// Text implements gateway.Sink.
func (s *answerSink) Text(text string, _ int) error {
	if !s.job.stream {
		s.text.WriteString(text)
		return nil
	}
	first := !s.started
	s.start()
	return s.event(s.job.shape.chunk(s.meta, text, "", first))
}

// start sends the head of a streamed answer.
func (s *answerSink) start() {
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

// event sends one server-sent event.
func (s *answerSink) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.raw(string(data))
}

func (s *answerSink) raw(data string) error {
	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// end sends the end of an answer, or the error that took its place. A stream
// that broke off gets an error event and no [DONE], so that it can't be taken
// for a whole one.
func (s *answerSink) end(res *gateway.Result) {
	if res.Err != nil {
		s.fail(res)
		return
	}
	u := openai.Usage{PromptTokens: res.PromptTokens, CompletionTokens: res.Tokens, TotalTokens: res.PromptTokens + res.Tokens}
	if !s.job.stream {
		s.w.Header().Set(HeaderRequest, s.meta.id)
		s.w.Header().Set(HeaderOutcome, string(res.Outcome))
		writeJSON(s.w, http.StatusOK, s.job.shape.whole(s.meta, s.text.String(), res.Reason, u))
		return
	}
	s.start()
	_ = s.event(s.job.shape.chunk(s.meta, "", res.Reason, false))
	if s.job.usage {
		_ = s.event(s.job.shape.usage(s.meta, u))
	}
	_ = s.raw("[DONE]")
}

func (s *answerSink) fail(res *gateway.Result) {
	a := describe(s.meta.id, res.Err, res.Outcome)
	if !s.started {
		writeAnswer(s.w, a)
		return
	}
	_ = s.event(openai.ErrorBody{Error: a.body})
}

// completionShape is the form of /v1/completions.
type completionShape struct{}

func (completionShape) piece(m meta, text, reason string) openai.Completion {
	return openai.Completion{
		ID: "cmpl-" + m.id, Object: openai.ObjectCompletion, Created: m.created, Model: m.model,
		Choices: []openai.CompletionChoice{{Text: text, FinishReason: optional(reason)}},
	}
}

func (f completionShape) whole(m meta, text, reason string, u openai.Usage) any {
	c := f.piece(m, text, reason)
	c.Usage = &u
	return c
}

func (f completionShape) chunk(m meta, text, reason string, _ bool) any {
	return f.piece(m, text, reason)
}

func (f completionShape) usage(m meta, u openai.Usage) any {
	c := f.piece(m, "", "")
	c.Choices, c.Usage = []openai.CompletionChoice{}, &u
	return c
}

// chatShape is the form of /v1/chat/completions.
type chatShape struct{}

func (chatShape) piece(m meta, object string, choices ...openai.ChatChoice) openai.Chat {
	return openai.Chat{ID: "chatcmpl-" + m.id, Object: object, Created: m.created, Model: m.model, Choices: choices}
}

func (f chatShape) whole(m meta, text, reason string, u openai.Usage) any {
	c := f.piece(m, openai.ObjectChat, openai.ChatChoice{
		Message: &openai.ChatMessage{Role: "assistant", Content: text}, FinishReason: optional(reason),
	})
	c.Usage = &u
	return c
}

func (f chatShape) chunk(m meta, text, reason string, first bool) any {
	delta := &openai.ChatMessage{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return f.piece(m, openai.ObjectChunk, openai.ChatChoice{Delta: delta, FinishReason: optional(reason)})
}

func (f chatShape) usage(m meta, u openai.Usage) any {
	c := f.piece(m, openai.ObjectChunk)
	c.Choices, c.Usage = []openai.ChatChoice{}, &u
	return c
}

// optional returns nil for an empty text.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
