// Package httpapi serves a gateway's clients: the OpenAI-compatible API and the
// proxy for plain services.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/openai"
)

// Headers of requests and responses.
const (
	// HeaderKind names the request kind that selectors distinguish.
	HeaderKind = "Hopwell-Kind"
	// HeaderWorkspace names the workspace of the request.
	HeaderWorkspace = "Hopwell-Workspace"
	// HeaderRepeatable set to "no" marks a request that runs at most once.
	HeaderRepeatable = "Hopwell-Repeatable"
	// HeaderKey carries the client's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome reports the outcome of the request. A streamed response lacks
	// it, because its headers are sent before the outcome is known.
	HeaderOutcome = "Hopwell-Outcome"
	// HeaderRequest carries the request ID, which `hopwell explain` takes.
	HeaderRequest = "X-Request-Id"
)

// Defaults for fields that a request leaves out, and limits on its fields.
const (
	defaultKind      = "default"
	defaultWorkspace = "default"
	defaultMaxTokens = 256
	maxMaxTokens     = 32768
	maxNameBytes     = 128
	maxKeyBytes      = 256
	maxHeaderBytes   = 64 << 10
)

// MaxBody limits the body of one request, in bytes.
const MaxBody = 2 << 20

// API is the HTTP handler for clients of a gateway.
type API struct {
	g   *gateway.Gateway
	mux *http.ServeMux
}

// New returns the handler for clients of g.
func New(g *gateway.Gateway) *API {
	a := &API{g: g, mux: http.NewServeMux()}
	a.mux.HandleFunc("POST /v1/completions", a.completions)
	a.mux.HandleFunc("POST /v1/chat/completions", a.chat)
	a.mux.HandleFunc("GET /v1/models", a.models)
	a.mux.HandleFunc("GET /v1/models/{model}", a.model)
	a.mux.HandleFunc("/services/{name}/{path...}", a.service)
	a.mux.HandleFunc("GET /health", a.health)
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", &errRequest{Status: http.StatusNotFound, Code: "not_found", Message: "no such path: " + r.URL.Path})
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if headerBytes(r.Header) > maxHeaderBytes {
		writeError(w, "", &errRequest{Status: http.StatusRequestHeaderFieldsTooLarge, Code: "header_too_large", Message: "the headers are over 64 KiB"})
		return
	}
	a.mux.ServeHTTP(w, r)
}

// headerBytes returns the total size of the names and values in h, in bytes. A
// name counts once for each of its values.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// health serves the load balancer's health check. The check fails as the first
// step of a drain, so that the balancer stops sending requests.
func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	if !a.g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "draining or not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (a *API) models(w http.ResponseWriter, _ *http.Request) {
	list := openai.Models{Object: openai.ObjectList, Data: []openai.Model{}}
	for _, m := range a.g.Keeper.Document().Models() {
		list.Data = append(list.Data, toModel(m))
	}
	writeJSON(w, http.StatusOK, list)
}

func toModel(name string) openai.Model {
	return openai.Model{ID: name, Object: openai.ObjectModel, OwnedBy: "hopwell"}
}

func (a *API) model(w http.ResponseWriter, r *http.Request) {
	for _, m := range a.g.Keeper.Document().Models() {
		if m == r.PathValue("model") {
			writeJSON(w, http.StatusOK, toModel(m))
			return
		}
	}
	writeError(w, "", &gateway.ErrUnknownModel{Model: r.PathValue("model")})
}

// requestInfo holds the request ID and what the headers of a request state.
type requestInfo struct {
	id, kind, workspace, idempotencyKey string
	notRepeatable                       bool
	// authenticated is set if the workspace comes from a valid API key.
	authenticated bool
}

// identify reads the headers of a request. If API keys are in force, the API key
// determines the workspace. It fails with *errRequest, the error of
// gateway.Workspaces or, if API keys are in force, *workspace.ErrCredential.
func (a *API) identify(r *http.Request) (requestInfo, error) {
	c, err := readHeaders(r)
	if err != nil {
		return c, err
	}
	directory, err := a.g.Workspaces()
	if err != nil || directory == nil {
		return c, err
	}
	w, _, err := directory.Authenticate(r.Header.Values("Authorization"))
	if err != nil {
		return c, err
	}
	if claimed := r.Header.Get(HeaderWorkspace); claimed != "" && claimed != w.Name {
		return c, &errRequest{Status: http.StatusForbidden, Code: "workspace_mismatch", Param: HeaderWorkspace, Message: "the key is that of another workspace"}
	}
	c.workspace, c.authenticated = w.Name, true
	return c, nil
}

// readHeaders parses the headers of a request. It fails with *errRequest.
func readHeaders(r *http.Request) (requestInfo, error) {
	c := requestInfo{
		id:   uuid.NewString(),
		kind: r.Header.Get(HeaderKind), workspace: r.Header.Get(HeaderWorkspace), idempotencyKey: r.Header.Get(HeaderKey),
	}
	switch v := strings.ToLower(r.Header.Get(HeaderRepeatable)); v {
	case "", "yes", "true":
	case "no", "false":
		c.notRepeatable = true
	default:
		return c, badRequest(HeaderRepeatable, `expected "yes" or "no"`)
	}
	if c.kind == "" {
		c.kind = defaultKind
	}
	if c.workspace == "" {
		c.workspace = defaultWorkspace
	}
	if len(c.kind) > maxNameBytes || len(c.workspace) > maxNameBytes {
		return c, badRequest(HeaderKind+", "+HeaderWorkspace, "expected at most 128 bytes")
	}
	if len(c.idempotencyKey) > maxKeyBytes {
		return c, badRequest(HeaderKey, "expected at most 256 bytes")
	}
	return c, nil
}

// readBody reads a request's body and rejects one that is larger than MaxBody.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil {
		return nil, badRequest("body", "could not be read")
	}
	if len(body) > MaxBody {
		return nil, &errRequest{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: "the body is over 2 MiB"}
	}
	return body, nil
}

// readJSON reads a request's body and decodes it as JSON.
func readJSON(r *http.Request, into any) error {
	body, err := readBody(r)
	if err != nil {
		return err
	}
	return decodeJSON(body, into)
}

// decodeJSON decodes a body. Its error names the invalid field, if it is known.
func decodeJSON(body []byte, into any) error {
	if !utf8.Valid(body) {
		return badRequest("body", "is not UTF-8")
	}
	err := json.Unmarshal(body, into)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return badRequest(typeErr.Field, "expected "+typeErr.Type.String()+", got "+typeErr.Value)
	case errors.As(err, &syntaxErr):
		return badRequest("body", "not JSON: "+syntaxErr.Error())
	}
	return badRequest("body", err.Error())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// created returns the current time for the field created of a response, in seconds
// since the Unix epoch.
func created() int64 { return time.Now().Unix() }
