// Package routetable matches requests to the operators' routes by host and path. A
// route selects the service of a request and limits its time and its attempts.
package routetable

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests receive a stream of events as their response. They are treated
	// as unsafe unless their route is Resumable.
	Stream Kind = "stream"
)

// Target is one service of a route. It receives a share of the route's requests in
// proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route is the rule for the requests of one host and path prefix.
type Route struct {
	Name string
	// Host and PathPrefix select the requests; the longest matching prefix wins.
	Host, PathPrefix string
	Kind             Kind
	// Timeout limits the time that a request may take in all; 0 for no limit.
	Timeout time.Duration
	// LatencyTarget is the target time until the response, or a stream's first event. GapTarget is
	// the target for the longest gap between two events of a stream.
	LatencyTarget, GapTarget time.Duration
	// Priority ranks the routes' requests; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests.
	Targets []Target
	// MaxAttempts limits the number of times that one request is sent to a runner.
	MaxAttempts int
	// Resumable streams that break off may be resumed at another runner.
	Resumable bool
	// Public routes require no API key.
	Public bool
	// Regions are the regions in which the route's requests may be served; empty for all.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request. draw is a random number in [0, 1), which
// selects a target by weight.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		if rest -= float64(t.Weight); rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine holds the properties that all engines of a service share.
type Engine struct {
	// Slots is the number of requests that one engine runs in a batch.
	Slots int
	// Memory is the capacity of one engine's KV cache, in tokens.
	Memory int
	// PrefillRetention is how long a prefill engine keeps a prompt's KV cache for the decode
	// engine to fetch.
	PrefillRetention time.Duration
	// MaxHold is the longest time that an engine keeps a hold (a reservation of its memory for
	// a request).
	MaxHold time.Duration
	// StageChangeTime is how long a stage change (from prefill to decode or back) takes.
	StageChangeTime time.Duration
	// TokensPerEvent is the largest number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of interchangeable runners.
type Service struct {
	Name string
	// MaxConnections limits the connections to one runner from all gateways together;
	// 0 for no limit.
	MaxConnections int
	// ColdPerSecond limits the requests per second from all gateways together to one runner that
	// started recently (a cold runner); 0 for no limit.
	ColdPerSecond float64
	// Engine is nil for a service of plain runners.
	Engine *Engine
}

// Limits restricts the requests and connections of clients.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime limits the time to receive a request's header, IdleTime the time
	// that a connection may be idle between requests.
	HeaderTime, IdleTime time.Duration
}

// Config is one version of the configuration: all routes, services, limits and workspaces.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are the tenants of the system. If there are none, no route requires an API key.
	Workspaces []workspace.Workspace
}

// ErrRoute reports an invalid field of a route.
type ErrRoute struct {
	Route, Field, Expected string
}

// Error implements error.
func (e *ErrRoute) Error() string {
	return fmt.Sprintf("bad route: route=%s field=%s expected=%q", e.Route, e.Field, e.Expected)
}

// Table finds the route of a request. It is immutable.
type Table struct {
	Config Config
	// Workspaces finds the workspace of an API key; nil if there are no workspaces and so
	// no route requires a key.
	Workspaces *workspace.Directory
	hosts      map[string][]*Route
}

// New validates a configuration and returns its table. It fails with *ErrRoute or
// *workspace.ErrWorkspace.
func New(c Config) (*Table, error) {
	t := &Table{Config: c, hosts: map[string][]*Route{}}
	if len(c.Workspaces) > 0 {
		var err error
		if t.Workspaces, err = workspace.NewDirectory(c.Workspaces); err != nil {
			return nil, err
		}
	}
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		if err := r.check(c.Services); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t, nil
}

func (r *Route) check(services map[string]Service) error {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return &ErrRoute{r.Name, "path prefix", "a path that begins with a slash"}
	}
	if r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream {
		return &ErrRoute{r.Name, "kind", "safe, unsafe or stream"}
	}
	if r.Timeout < 0 || r.LatencyTarget < 0 || r.GapTarget < 0 {
		return &ErrRoute{r.Name, "times", "times of 0 or more"}
	}
	if len(r.Targets) == 0 {
		return &ErrRoute{r.Name, "service", "at least one service"}
	}
	for _, t := range r.Targets {
		if _, ok := services[t.Service]; !ok {
			return &ErrRoute{r.Name, "service", "a service of the configuration"}
		}
		if t.Weight < 0 {
			return &ErrRoute{r.Name, "weight", "a weight of 0 or more"}
		}
	}
	return nil
}

// LongestTimeout returns the longest timeout of the routes to a service, 0 if none of
// them has a timeout.
func (t *Table) LongestTimeout(service string) time.Duration {
	longest := time.Duration(0)
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		for _, target := range r.Targets {
			if target.Service == service {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// ShortestLatencyTarget returns the shortest latency target of the routes to a service, 0 if none
// of them has one.
func (t *Table) ShortestLatencyTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		for _, target := range r.Targets {
			if target.Service == service && r.LatencyTarget > 0 && (shortest == 0 || r.LatencyTarget < shortest) {
				shortest = r.LatencyTarget
			}
		}
	}
	return shortest
}

// Match returns the route for a host and path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
