// Package httpapi is the callers' side of a gateway: the OpenAI-compatible API,
// and the way to plain services.
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

// Headers of requests and answers.
const (
	// HeaderKind names the request kind that selectors distinguish.
	HeaderKind = "Hopwell-Kind"
	// HeaderWorkspace names the tenant.
	HeaderWorkspace = "Hopwell-Workspace"
	// HeaderRepeatable set to "no" marks a request that runs at most once.
	HeaderRepeatable = "Hopwell-Repeatable"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome tells in every answer what became of the request.
	HeaderOutcome = "Hopwell-Outcome"
	// HeaderRequest is the request's ID, for `hopwell explain`.
	HeaderRequest = "X-Request-Id"
)

// Defaults for what a caller leaves out.
const (
	defaultKind      = "default"
	defaultWorkspace = "default"
	defaultMaxTokens = 256
	maxMaxTokens     = 32768
	maxNameBytes     = 128
	maxKeyBytes      = 256
	maxHeader        = 64 << 10
)

// MaxBody is the largest request body, in bytes.
const MaxBody = 2 << 20

// API answers callers.
type API struct {
	g   *gateway.Gateway
	mux *http.ServeMux
}

// New returns the handler of a gateway's callers.
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
	if headerBytes(r.Header) > maxHeader {
		writeError(w, "", &errRequest{Status: http.StatusRequestHeaderFieldsTooLarge, Code: "header_too_large", Message: "the headers are over 64 KiB"})
		return
	}
	a.mux.ServeHTTP(w, r)
}

// headerBytes is the size of a request's headers.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// health is the balancer's health page: it fails first when the gateway drains.
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

// caller is what all requests tell by headers.
type caller struct {
	id, kind, workspace, key string
	notRepeatable            bool
	// keyed says that a key proved the workspace.
	keyed bool
}

// identify reads the headers of a request. It fails with *errRequest and, where keys are in
// force, *workspace.ErrCredential: the key then says which workspace it is.
func (a *API) identify(r *http.Request) (caller, error) {
	c, err := read(r)
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
	c.workspace, c.keyed = w.Name, true
	return c, nil
}

// read reads the headers of a request. It fails with *errRequest.
func read(r *http.Request) (caller, error) {
	c := caller{
		id:   uuid.NewString(),
		kind: r.Header.Get(HeaderKind), workspace: r.Header.Get(HeaderWorkspace), key: r.Header.Get(HeaderKey),
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
	if len(c.key) > maxKeyBytes {
		return c, badRequest(HeaderKey, "expected at most 256 bytes")
	}
	return c, nil
}

// readBody reads a request's body within MaxBody.
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

// readJSON reads a request's body as JSON.
func readJSON(r *http.Request, into any) error {
	body, err := readBody(r)
	if err != nil {
		return err
	}
	return decodeJSON(body, into)
}

// decodeJSON reads a body and says where it is wrong.
func decodeJSON(body []byte, into any) error {
	if !utf8.Valid(body) {
		return badRequest("body", "is not UTF-8")
	}
	err := json.Unmarshal(body, into)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &kind):
		return badRequest(kind.Field, "expected "+kind.Type.String()+", got "+kind.Value)
	case errors.As(err, &syntax):
		return badRequest("body", "not JSON: "+syntax.Error())
	}
	return badRequest("body", err.Error())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// created is the time of an answer, in OpenAI's unit.
func created() int64 { return time.Now().Unix() }
