package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/hopwell/hopwell/pkg/engine"
)

// EngineHandler serves an engine over the engines' HTTP API.
func EngineHandler(e engine.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathPrefill, handle(func(r *http.Request, p engine.Prefill) (any, error) {
		return e.Prefill(r.Context(), p)
	}))
	mux.HandleFunc("POST "+engine.PathHandover, handle(func(r *http.Request, id string) (any, error) {
		return e.Handover(r.Context(), id)
	}))
	mux.HandleFunc("POST "+engine.PathRelease, handle(func(r *http.Request, h string) (any, error) {
		return nil, e.Release(r.Context(), h)
	}))
	mux.HandleFunc("POST "+engine.PathCancel, handle(func(r *http.Request, id string) (any, error) {
		return nil, e.Cancel(r.Context(), id)
	}))
	mux.HandleFunc("POST "+engine.PathAssign, handle(func(r *http.Request, o engine.AssignOrder) (any, error) {
		return nil, e.Assign(r.Context(), o.Fence, o.Assignment)
	}))
	mux.HandleFunc("GET "+engine.PathHeld, func(w http.ResponseWriter, r *http.Request) {
		v, err := e.Held(r.Context())
		respond(w, v, err)
	})
	mux.HandleFunc("GET "+engine.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		v, err := e.Load(r.Context())
		respond(w, v, err)
	})
	mux.HandleFunc("GET "+engine.PathEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		v, err := e.Events(r.Context(), after)
		respond(w, v, err)
	})
	mux.HandleFunc("POST "+engine.PathDecode, func(w http.ResponseWriter, r *http.Request) { serveDecode(e, w, r) })
	return mux
}

// handle decodes the JSON body of a call, passes it to do and writes the result
// as JSON.
func handle[T any](do func(*http.Request, T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		v, err := do(r, body)
		respond(w, v, err)
	}
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		v = toEngineError(err)
	}
	_ = json.NewEncoder(w).Encode(v)
}

func toEngineError(err error) *engine.ErrEngine {
	var refused *engine.ErrEngine
	if errors.As(err, &refused) {
		return refused
	}
	return &engine.ErrEngine{Code: engine.CodeBroken, Detail: err.Error()}
}

// serveDecode streams the steps of a decode as JSON, one per line.
func serveDecode(e engine.Engine, w http.ResponseWriter, r *http.Request) {
	var d engine.Decode
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	enc := json.NewEncoder(w)
	step := func(s engine.Step) error {
		err := enc.Encode(s)
		w.(http.Flusher).Flush()
		return err
	}
	err := e.Decode(r.Context(), d,
		func() { _ = step(engine.Step{Imported: true}) },
		func(t engine.Token) error { return step(engine.Step{Token: &t}) })
	if err != nil && r.Context().Err() == nil {
		_ = step(engine.Step{Err: toEngineError(err)})
	}
}
