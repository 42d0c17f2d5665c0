// Package admin implements the admin port of a process: health, metrics, the events
// of the process (timeline), usage, explanations of routing decisions, changes of the
// configuration, and planned stops. It is a separate
// port, which must be reachable from the operators' network only, since it has no
// authentication.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/gossip"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/sidecar"
	"github.com/hopwell/hopwell/pkg/trace"
)

// Paths of the admin port.
const (
	PathHealth   = "/health"
	PathReady    = "/ready"
	PathMetrics  = "/metrics"
	PathStatus   = "/v1/status"
	PathTimeline = "/v1/timeline"
	PathExplain  = "/v1/explain/"
	PathConfig   = "/v1/config"
	PathChange   = "/v1/change"
	PathDrain    = "/v1/drain"
	PathUsage    = "/v1/usage"
)

// maxUsageEntries limits the number of workspaces in a usage report of a gateway.
const maxUsageEntries = 1000

// Usage is the usage of one workspace at one gateway.
type Usage struct {
	Gateway string `json:"gateway"`
	quota.Status
}

// maxChangeBytes limits the size of the body of a change request.
const maxChangeBytes = platform.MaxValue

// Handler serves the admin port of one process. Either Gateway or Sidecar is nil.
type Handler struct {
	Node    *node.Node
	Gateway *gateway.Gateway
	Sidecar *sidecar.Sidecar
	// Drain starts the process's planned stop.
	Drain func(deadline time.Time)
}

// Status is what a process reports of itself and of the instances in its
// member list.
type Status struct {
	Instance string    `json:"instance"`
	Role     string    `json:"role"`
	Domain   string    `json:"domain"`
	Epoch    uint64    `json:"epoch"`
	Ready    bool      `json:"ready"`
	Revision uint64    `json:"revision"`
	Hash     uint64    `json:"hash"`
	Members  []Member  `json:"members"`
	Time     time.Time `json:"time"`
}

// Member is an instance in the member list of the reporting process.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Admin   string `json:"admin"`
	Leaving bool   `json:"leaving"`
	// Evacuated is set while the instance's failure domain is evacuated and receives no
	// new work.
	Evacuated bool         `json:"evacuated,omitempty"`
	Labels    fleet.Labels `json:"labels"`
	// Work lists the names of the selectors that match the instance.
	Work []string `json:"work"`
	// Load is reported by gateways only.
	Load *gateway.RunnerLoad `json:"load,omitempty"`
}

// Mux returns the handler of the admin port.
func (h *Handler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.HandleFunc("GET "+PathMetrics, h.metrics)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.status()) })
	mux.HandleFunc("GET "+PathTimeline, h.timeline)
	mux.HandleFunc("GET "+PathExplain+"{id}", h.explain)
	mux.HandleFunc("GET "+PathConfig, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.Node.Keeper.Document()) })
	mux.HandleFunc("POST "+PathChange, h.change)
	mux.HandleFunc("POST "+PathDrain, h.drain)
	mux.HandleFunc("GET "+PathUsage, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.usage()) })
	return mux
}

// usage returns the usage of workspaces at this gateway. It is empty in a sidecar.
func (h *Handler) usage() []Usage {
	out := []Usage{}
	if h.Gateway == nil {
		return out
	}
	for _, s := range h.Gateway.Usage(maxUsageEntries) {
		out = append(out, Usage{Gateway: h.Node.Self.Name, Status: s})
	}
	return out
}

func (h *Handler) isReady() bool {
	if h.Gateway != nil {
		return h.Gateway.Ready()
	}
	return h.Node.Ready()
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, "\n")
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	h.Node.WriteMetrics(w)
	if h.Gateway != nil {
		h.Gateway.WriteMetrics(w)
	}
	if h.Sidecar != nil {
		h.Sidecar.WriteMetrics(w)
	}
}

func (h *Handler) status() Status {
	d, _ := h.Node.Keeper.Digest()
	s := Status{
		Instance: h.Node.Self.Name, Role: h.Node.Self.Role, Domain: h.Node.Self.Domain, Epoch: h.Node.Epoch,
		Ready: h.isReady(), Revision: d.Revision, Hash: d.Hash, Time: time.Now(),
	}
	view := h.Node.View()
	for _, m := range view.Members {
		x := Member{Name: m.Name, Role: m.Role, Domain: m.Domain, Admin: m.Admin, Leaving: m.Leaving || m.Labels.Leaving(), Evacuated: view.Evacuated(m), Labels: m.Labels}
		for _, sel := range view.Work(m) {
			x.Work = append(x.Work, sel.Name)
		}
		if h.Gateway != nil && m.Role == platform.RoleSidecar {
			l := h.Gateway.Load(m)
			x.Load = &l
		}
		s.Members = append(s.Members, x)
	}
	return s
}

func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := trace.Filter{Request: q.Get("request"), Instance: q.Get("instance")}
	if s := q.Get("since"); s != "" {
		at, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			writeError(w, http.StatusBadRequest, &ErrParam{Name: "since", Expected: "a time as 2006-01-02T15:04:05Z"})
			return
		}
		f.Since = at
	}
	writeJSON(w, http.StatusOK, h.Node.Log.Events(f))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	if h.Gateway != nil {
		if e, ok := h.Gateway.Explain(r.PathValue("id")); ok {
			writeJSON(w, http.StatusOK, e)
			return
		}
	}
	writeError(w, http.StatusNotFound, &ErrParam{Name: "id", Expected: "a request that this gateway served lately"})
}

// ChangeReply is the response to a change.
type ChangeReply struct {
	// Revision is the revision that the change created, or would create in a dry run.
	Revision uint64 `json:"revision"`
	// Gains and Losses list for each instance the names of the selectors that it gains
	// or loses.
	Gains  map[string][]string `json:"gains"`
	Losses map[string][]string `json:"losses"`
	DryRun bool                `json:"dry_run"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
	// Kind is the Go name of the error's type.
	Kind string `json:"kind"`
}

// change applies an operator's change. With a non-empty dry_run parameter, such as
// ?dry_run=1, it only returns the effect that the change would have.
func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var c fleet.Change
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if c.ID == "" {
		writeError(w, http.StatusBadRequest, &ErrParam{Name: "id", Expected: "a unique ID of the change"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	before := h.Node.Keeper.Document()
	var next *fleet.Document
	var err error
	dry := r.URL.Query().Get("dry_run") != ""
	if dry {
		next, err = h.dryRun(before, &c)
	} else {
		next, err = h.Node.Agent.Change(ctx, &c, h.check(&c))
	}
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, h.reply(before, next, dry))
}

// changeTimeout limits the time for one change.
const changeTimeout = 8 * time.Second

func (h *Handler) dryRun(before *fleet.Document, c *fleet.Change) (*fleet.Document, error) {
	next, err := before.Apply(c)
	if err != nil {
		return nil, err
	}
	return next, h.check(c)(before, next)
}

// check returns a function that refuses a change after which a request kind has no
// runner, unless the change is forced.
func (h *Handler) check(c *fleet.Change) func(before, after *fleet.Document) error {
	return func(before, after *fleet.Document) error {
		if c.Force {
			return nil
		}
		members := h.Node.Members.Members()
		return fleet.Check(fleet.NewView(before, members), fleet.NewView(after, members))
	}
}

func (h *Handler) reply(before, next *fleet.Document, dry bool) ChangeReply {
	members := h.Node.Members.Members()
	out := ChangeReply{Revision: next.Revision, Gains: map[string][]string{}, Losses: map[string][]string{}, DryRun: dry}
	oldWork, newWork := selectorNames(fleet.NewView(before, members)), selectorNames(fleet.NewView(next, members))
	for name := range newWork {
		out.Gains[name] = difference(newWork[name], oldWork[name])
		out.Losses[name] = difference(oldWork[name], newWork[name])
		deleteIfEmpty(out.Gains, name)
		deleteIfEmpty(out.Losses, name)
	}
	return out
}

// selectorNames returns the names of the selectors that match each member. Members that
// are leaving have none.
func selectorNames(v *fleet.View) map[string][]string {
	out := map[string][]string{}
	for _, m := range v.Members {
		out[m.Name] = nil
		if m.Labels.Leaving() {
			continue
		}
		for _, s := range v.Work(m) {
			out[m.Name] = append(out[m.Name], s.Name)
		}
	}
	return out
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	in := map[string]bool{}
	for _, x := range b {
		in[x] = true
	}
	var out []string
	for _, x := range a {
		if !in[x] {
			out = append(out, x)
		}
	}
	return out
}

func deleteIfEmpty(m map[string][]string, key string) {
	if len(m[key]) == 0 {
		delete(m, key)
	}
}

// drain starts the process's planned stop. ?deadline=30s is the time from now until
// the instance of the process is stopped.
func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	var deadline time.Time
	if s := r.URL.Query().Get("deadline"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil {
			writeError(w, http.StatusBadRequest, &ErrParam{Name: "deadline", Expected: "a duration as 30s"})
			return
		}
		deadline = time.Now().Add(d)
	}
	h.Drain(deadline)
	writeJSON(w, http.StatusOK, h.status())
}

// statusOf maps a change's error to an HTTP status.
func statusOf(err error) int {
	var conflict *fleet.ErrConflict
	var none *fleet.ErrNoRunner
	var unsettled *gossip.ErrUnsettled
	var down *platform.ErrUnavailable
	switch {
	case errors.As(err, &unsettled), errors.As(err, &down):
		return http.StatusServiceUnavailable
	case errors.As(err, &conflict), errors.As(err, &none):
		return http.StatusConflict
	}
	return http.StatusBadRequest
}
