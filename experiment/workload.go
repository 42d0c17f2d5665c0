package experiment

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/fleettest"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/prefix"
)

// Class describes one kind of request of a deployment.
type Class struct {
	// Kind is the request kind, and Share its share of all requests.
	Kind  string
	Share float64
	// PromptMin and PromptMax bound the prompt tokens after the prefix. Prefix is the
	// number of prefix tokens shared by all requests of a group, and Prefixes the
	// number of groups.
	PromptMin, PromptMax int
	Prefix, Prefixes     int
	// OutMin and OutMax bound the tokens of the response. An OutMax of 0 makes it a
	// request to a plain service.
	OutMin, OutMax int
	// Colocate lets decode runners prefill the request when the prefill runners have
	// no time for it.
	Colocate bool
	// FirstToken and PerToken are the latency targets.
	FirstToken, PerToken time.Duration
}

// Deployment describes a fleet of one of the users and its load.
type Deployment struct {
	Name                        string
	Prefills, Decodes, Services int
	Domains                     []string
	Delay                       time.Duration
	Engine                      fake.Spec
	ServiceTime                 time.Duration
	Classes                     []Class
	Workspaces                  int
}

// Bangkok returns the deployment of the localisation division: 12 model runners and 3
// services.
func Bangkok() Deployment {
	return Deployment{
		Name: "bangkok", Prefills: 5, Decodes: 7, Services: 3,
		Domains: []string{"bkk-a", "bkk-b", "bkk-c"}, Delay: time.Millisecond,
		Engine: fake.DefaultSpec(), ServiceTime: 200 * time.Millisecond, Workspaces: 12,
		Classes: []Class{
			{Kind: "segment-batch", Share: 0.15, PromptMin: 800, PromptMax: 3000, Prefix: 3072, Prefixes: 12, OutMin: 100, OutMax: 240, FirstToken: 4 * time.Second, PerToken: 80 * time.Millisecond},
			{Kind: "glossary-lookup", Colocate: true, Share: 0.45, PromptMin: 40, PromptMax: 160, OutMin: 6, OutMax: 20, FirstToken: 500 * time.Millisecond, PerToken: 63 * time.Millisecond},
			{Kind: "term-check", Colocate: true, Share: 0.30, PromptMin: 200, PromptMax: 800, OutMin: 20, OutMax: 60, FirstToken: 1400 * time.Millisecond, PerToken: 63 * time.Millisecond},
			{Kind: "memory-export", Share: 0.10, FirstToken: 3 * time.Second},
		},
	}
}

// VitiWest returns the deployment of the chandleries: 18 model runners and 3 ordering
// services.
func VitiWest() Deployment {
	return Deployment{
		Name: "viti-west", Prefills: 10, Decodes: 8, Services: 3,
		Domains: []string{"lautoka", "savusavu", "levuka"}, Delay: 500 * time.Microsecond,
		Engine: fake.DefaultSpec(), ServiceTime: 50 * time.Millisecond, Workspaces: 9,
		Classes: []Class{
			{Kind: "hull-survey", Share: 0.08, PromptMin: 8000, PromptMax: 30000, OutMin: 150, OutMax: 400, FirstToken: 8 * time.Second, PerToken: 80 * time.Millisecond},
			{Kind: "part-check", Colocate: true, Share: 0.40, PromptMin: 100, PromptMax: 400, Prefix: 1024, Prefixes: 3, OutMin: 15, OutMax: 40, FirstToken: 1400 * time.Millisecond, PerToken: 63 * time.Millisecond},
			{Kind: "stock", Colocate: true, Share: 0.42, PromptMin: 40, PromptMax: 100, OutMin: 2, OutMax: 6, FirstToken: 500 * time.Millisecond, PerToken: 63 * time.Millisecond},
			{Kind: "order-confirm", Share: 0.10, FirstToken: 1400 * time.Millisecond},
		},
	}
}

// floodingWorkspace is the workspace that sends the flood in a scene with Flood set.
const floodingWorkspace = "workspace-0"

// service reports whether requests of the class go to a plain service.
func (c *Class) service() bool { return c.OutMax == 0 }

// Selectors returns the configuration of the deployment: one selector per class and
// role.
func (d *Deployment) Selectors() []fleet.Selector {
	var out []fleet.Selector
	for _, c := range d.Classes {
		s := fleet.Selector{Kind: c.Kind, Model: fleettest.Model, FirstToken: fleet.Duration(c.FirstToken), PerToken: fleet.Duration(c.PerToken)}
		if c.service() {
			s.Name, s.Role, s.Model, s.Match, s.NotRepeatable = c.Kind, fleet.RoleServe, fleettest.Service, "pool=service", true
			out = append(out, s)
			continue
		}
		for _, role := range []fleet.Role{fleet.RolePrefill, fleet.RoleDecode} {
			s.Name, s.Role, s.Match = c.Kind+"-"+string(role), role, "pool="+string(role)
			if role == fleet.RolePrefill && c.Colocate {
				s.Match = "pool in (prefill,decode)"
			}
			out = append(out, s)
		}
	}
	return out
}

// Arrival is one request of a load.
type Arrival struct {
	At       time.Duration
	Class    *Class
	Request  *gateway.Request
	Service  *gateway.ServiceRequest
	Prompt   int
	Out      int
	Shared   int
	PrefixID int
}

// Load generates the arrivals of a run as a Poisson process with the given rate, in
// requests per second. The share flood of the requests comes from the first workspace;
// the rest is distributed uniformly over all workspaces.
func (d *Deployment) Load(seed uint64, rate, flood float64, length time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		out = append(out, d.arrival(rng, at, flood, len(out)))
	}
}

func (d *Deployment) arrival(rng *rand.Rand, at time.Duration, flood float64, n int) Arrival {
	c := d.pick(rng.Float64())
	id := fmt.Sprintf("%s-%d", c.Kind, n)
	workspace := fmt.Sprintf("workspace-%d", rng.IntN(d.Workspaces))
	if flood > 0 && rng.Float64() < flood {
		workspace = floodingWorkspace
	}
	a := Arrival{At: at, Class: c}
	if c.service() {
		a.Service = &gateway.ServiceRequest{
			ID: id, Workspace: workspace, Kind: c.Kind, Service: fleettest.Service, Method: http.MethodPost,
			Path: "/", Header: http.Header{}, Body: []byte(id), Key: id, NotRepeatable: true,
		}
		return a
	}
	own := between(rng, c.PromptMin, c.PromptMax)
	a.Out, a.Prompt = between(rng, c.OutMin, c.OutMax), own+c.Prefix
	a.Shared = c.Prefix
	if c.Prefixes > 0 {
		a.PrefixID = rng.IntN(c.Prefixes)
	}
	a.Request = &gateway.Request{
		ID: id, Workspace: workspace, Kind: c.Kind, Model: fleettest.Model, MaxTokens: a.Out,
		Prompt: text(fmt.Sprintf("%s/%d ", c.Kind, a.PrefixID), c.Prefix) + text(id+" ", own),
	}
	return a
}

// text repeats a word up to a length in tokens.
func text(word string, tokens int) string {
	n := tokens * prefix.TokenBytes
	return strings.Repeat(word, n/len(word)+1)[:n]
}

func between(rng *rand.Rand, low, high int) int { return low + rng.IntN(high-low+1) }

func (d *Deployment) pick(x float64) *Class {
	for i := range d.Classes {
		if x -= d.Classes[i].Share; x < 0 {
			return &d.Classes[i]
		}
	}
	return &d.Classes[0]
}
