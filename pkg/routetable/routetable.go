// Package routetable holds the operators' routes: which requests, told apart by
// host and path, go to which service, for how long and how often.
package routetable

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a series of events. They count as
	// unsafe unless their route is Resumable.
	Stream Kind = "stream"
)

// Target is one service of a route with its share.
type Target struct {
	Service string
	Weight  int
}

// Route is one route.
type Route struct {
	Name string
	// Host and PathPrefix pick the requests; the longest prefix wins.
	Host, PathPrefix string
	Kind             Kind
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// Latency is the time within which an answer, or a stream's first event,
	// is good; Gap is the longest pause in a good stream.
	Latency, Gap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests.
	Targets []Target
	// MaxAttempts bounds the runners that may run one request.
	MaxAttempts int
	// Resumable streams may go on at another runner.
	Resumable bool
	// Public routes ask for no key.
	Public bool
	// Regions are those in which the route's requests may be served; empty for all.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request whose draw is between 0 and 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		if left -= float64(t.Weight); left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine is what a service of model engines says of them.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// Memory is what one engine's KV cache holds, in tokens.
	Memory int
	// HandleFor is how long a prompt's KV cache is kept for a decode.
	HandleFor time.Duration
	// HoldFor bounds a hold.
	HoldFor time.Duration
	// Restage is how long a change of stage takes.
	Restage time.Duration
	// TokensPerEvent is how many tokens one event of a stream holds at most.
	TokensPerEvent int
}

// Service is a group of like runners.
type Service struct {
	Name string
	// MaxConnections is what one runner takes from all callers together.
	MaxConnections int
	// ColdPerSecond is how many requests a second a runner bears that has just started, from all
	// callers together; 0 for any number.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long a request's head may take, IdleTime how long a
	// connection may rest.
	HeaderTime, IdleTime time.Duration
}

// Config is one version of all routes and services.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces share the system; with none, nobody is asked for a key.
	Workspaces []workspace.Workspace
}

// ErrRoute reports what is wrong with a route.
type ErrRoute struct {
	Route, Field, Expected string
}

// Error implements error.
func (e *ErrRoute) Error() string {
	return fmt.Sprintf("bad route: route=%s field=%s expected=%q", e.Route, e.Field, e.Expected)
}

// Table finds the route of a request. It does not change.
type Table struct {
	Config Config
	// Workspaces finds the workspace of a key; nil where nobody is asked for one.
	Workspaces *workspace.Directory
	hosts      map[string][]*Route
}

// New checks a configuration and makes its table. It fails with *ErrRoute or
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
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
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
	if r.Timeout < 0 || r.Latency < 0 || r.Gap < 0 {
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

// LongestTimeout returns the longest time that a route to a service lets a request
// take, 0 if no route bounds it.
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

// Match returns the route of a host and path, nil for none.
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
