// Package ingress serves clients' requests to operators' routes before runners
// that admit by themselves. Bodies and answers go through unchanged; what is
// decided is where, when and how often a request is sent.
package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Options are an ingress's settings.
type Options struct {
	// Zone is the failure domain of the process.
	Zone    string
	Engines Engines
	Reader  Reader
	Log     *decisionlog.Log
	// Budget is shared by all gateways.
	Budget retrybudget.Limits
	// Gateways is how many gateways there are at first.
	Gateways int
	// MaxOpen bounds the requests that are served at once, MaxBodies the bytes
	// of their bodies together.
	MaxOpen   int
	MaxBodies int64
	// Pool tunes the choice of engines.
	Pool enginepool.Options
}

// Ingress serves requests. It is safe for concurrent use.
type Ingress struct {
	options Options
	// Directory is filled by whoever watches the store.
	Directory *runners.Directory
	table     atomic.Pointer[routetable.Table]
	metrics   *meters
	drain     drain
	open      atomic.Int64
	bodies    atomic.Int64

	mu       sync.Mutex
	pools    map[string]*enginepool.Pool
	budgets  map[string]*retrybudget.Budget
	gateways int
	// patience is the longest that clients of a route were ready to wait: a
	// request with less has been tried before.
	patience map[string]time.Duration
}

// New returns an ingress that knows no routes yet.
func New(o Options) *Ingress {
	return &Ingress{
		options: o, Directory: runners.NewDirectory(), metrics: newMeters(), gateways: o.Gateways,
		pools: map[string]*enginepool.Pool{}, budgets: map[string]*retrybudget.Budget{}, patience: map[string]time.Duration{},
	}
}

// Use puts a table into force. A table that is not newer is left, and false is
// returned: configurations never go back.
func (g *Ingress) Use(t *routetable.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Config.Version >= t.Config.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			break
		}
	}
	for name, s := range t.Config.Services {
		if s.Engine != nil {
			g.pool(name).Configure(enginepool.Spec{Memory: s.Engine.Memory, Slots: s.Engine.Slots})
		}
	}
	return true
}

// Table returns the table in force, nil before the first.
func (g *Ingress) Table() *routetable.Table { return g.table.Load() }

// Ready reports whether new connections should come here.
func (g *Ingress) Ready() bool { return g.informed() && !g.drain.begun() }

// informed reports whether routes and runners are known.
func (g *Ingress) informed() bool { return g.table.Load() != nil && g.Directory.Len() > 0 }

// pool returns the engines of a service.
func (g *Ingress) pool(service string) *enginepool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[service]
	if p == nil {
		p = enginepool.New(service, g.Directory, g.options.Pool)
		g.pools[service] = p
	}
	return p
}

// Pools returns the engines of all services, by service.
func (g *Ingress) Pools() map[string]*enginepool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]*enginepool.Pool, len(g.pools))
	for name, p := range g.pools {
		out[name] = p
	}
	return out
}

// Say returns what other gateways should know of the engines, by service.
func (g *Ingress) Say() map[string]enginepool.Peer {
	now := time.Now()
	out := map[string]enginepool.Peer{}
	for service, p := range g.Pools() {
		out[service] = p.Say(now)
	}
	return out
}

// Hear takes what another gateway told of the engines of a service. Services
// that the own configuration doesn't know are left.
func (g *Ingress) Hear(gateway, service string, said enginepool.Peer) {
	if p := g.Pools()[service]; p != nil {
		p.Hear(gateway, said)
	}
}

// Version returns the version of the configuration in force, 0 before the first.
func (g *Ingress) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// budget returns the retry budget of a service.
func (g *Ingress) budget(service string) *retrybudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retrybudget.New(g.options.Budget, g.gateways)
		g.budgets[service] = b
	}
	return b
}

// Gateways sets how many gateways share the retry budget.
func (g *Ingress) Gateways(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways = n
	for _, b := range g.budgets {
		b.Share(n)
	}
}

// returning reports whether a client has tried before: it has less time left
// than others on the same route.
func (g *Ingress) returning(route *routetable.Route, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := max(g.patience[route.Name], patience)
	g.patience[route.Name] = longest
	return patience < longest-returnMargin
}

// returnMargin is how much less time than others a returning client has.
const returnMargin = 150 * time.Millisecond

// pulse is the time between two looks at what waits.
const pulse = 20 * time.Millisecond

// Run keeps the pools going until the context ends.
func (g *Ingress) Run(ctx context.Context) {
	tick := time.NewTicker(pulse)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.beat(now, n%50 == 0)
		}
	}
}

func (g *Ingress) beat(now time.Time, sweep bool) {
	for _, p := range g.Pools() {
		if here, _ := p.Waiting(); here > 0 {
			p.Dispatch(now)
		}
		if sweep {
			p.Sweep(now)
		}
	}
	if sweep {
		g.Directory.Sweep(now)
	}
}

// exchange is one request while it is served.
type exchange struct {
	g       *Ingress
	w       http.ResponseWriter
	call    *Call
	route   *routetable.Route
	service string
	arrived time.Time
	// version is that of the table that the request is served by.
	version uint64
	// sends counts the sends to runners, prefills not.
	sends int
	// bodyBytes is what the body takes of the memory for bodies.
	bodyBytes int64
	rank      enginepool.Rank
	ctx       context.Context
	// fields are what the final line tells besides the outcome.
	fields []decisionlog.Field
}

// ServeHTTP implements http.Handler.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, arrived: time.Now()}
	if g.open.Add(1) > int64(g.options.MaxOpen) {
		g.open.Add(-1)
		x.refuse(&ErrBusy{What: "open requests", Limit: g.options.MaxOpen}, shortWait)
		return
	}
	defer g.open.Add(-1)
	defer func() { g.bodies.Add(-x.bodyBytes) }()
	if err := x.accept(r); err != nil {
		x.reject(err)
		discard(w, r.Body)
		return
	}
	ctx, cancel := x.bound(r.Context())
	defer cancel()
	x.ctx = ctx
	if x.route.Kind == routetable.Stream && g.engine(x.service) != nil {
		x.generate()
		return
	}
	x.forward()
}

// engine returns what a service says of its engines, nil for a plain one.
func (g *Ingress) engine(service string) *routetable.Engine {
	return g.table.Load().Config.Services[service].Engine
}

// accept finds the route and reads the body.
func (x *exchange) accept(r *http.Request) error {
	call, err := x.g.options.Reader.Read(r)
	x.call = call
	table := x.g.table.Load()
	if !x.g.informed() {
		return &ErrNotReady{Why: "no routes or no runners known yet"}
	}
	if err != nil {
		return err
	}
	x.version = table.Config.Version
	x.route = table.Match(call.Host, call.Path)
	if x.route == nil {
		return &ErrNoRoute{Host: call.Host, Path: call.Path, Version: x.version}
	}
	x.service = x.route.Pick(rand.Float64())
	if x.g.drain.refuses(x.arrived) {
		return &ErrNotReady{Why: "stopping"}
	}
	return x.readBody(r, table.Config.Limits.BodyBytes)
}

// readBody reads the body whole, since it may be sent more than once.
func (x *exchange) readBody(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	if r.ContentLength == 0 {
		return nil
	}
	share := r.ContentLength
	if share < 0 {
		share = 64 << 10
	}
	if !x.book(share) {
		return &ErrBusy{What: "bytes of bodies", Limit: int(x.g.options.MaxBodies)}
	}
	var err error
	if r.ContentLength > 0 {
		x.call.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, x.call.Body)
	} else {
		x.call.Body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil {
		return &ErrBody{Limit: limit, Err: err}
	}
	if int64(len(x.call.Body)) > limit {
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	x.book(int64(len(x.call.Body)) - share)
	return nil
}

// book takes memory for a body.
func (x *exchange) book(n int64) bool {
	if x.g.bodies.Add(n) > x.g.options.MaxBodies && n > 0 {
		x.g.bodies.Add(-n)
		return false
	}
	x.bodyBytes += n
	return true
}

// bound gives the request's context its end: that of the client's patience or of
// the route's time, whichever is first.
func (x *exchange) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, whose := x.route.Timeout, "route"
	if x.call.Patience > 0 && (limit <= 0 || x.call.Patience < limit) {
		limit, whose = x.call.Patience, "client"
	}
	if limit <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, x.arrived.Add(limit), &ErrTime{After: limit, Whose: whose})
}

// left returns the time that the request still has.
func (x *exchange) left() time.Duration {
	end, ok := x.ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(end), time.Millisecond)
}

// over returns why the request must end now, nil if it need not.
func (x *exchange) over() error {
	if x.ctx.Err() == nil {
		return nil
	}
	var timed *ErrTime
	if errors.As(context.Cause(x.ctx), &timed) {
		return timed
	}
	return errGone{}
}
