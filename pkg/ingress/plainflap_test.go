package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

const (
	plainSlots = 6
	plainQueue = 24
	plainWork  = 15 * time.Millisecond
	// flapTime is how long the flapping runner is up, and then down.
	flapTime = time.Second
	// hop is the time of a request or a response between a gateway and a runner.
	hop = time.Millisecond
)

// plainFleet plays two plain runners: "steady", and "flaps", which breaks the connections of its
// requests while it is down.
type plainFleet struct {
	RunnerClient
	started time.Time
	slots   map[string]chan struct{}

	mu   sync.Mutex
	open map[string]int
}

func newPlainFleet() *plainFleet {
	return &plainFleet{
		started: time.Now(), open: map[string]int{},
		slots: map[string]chan struct{}{"steady": make(chan struct{}, plainSlots), "flaps": make(chan struct{}, plainSlots)},
	}
}

func (f *plainFleet) down(id string) bool {
	return id == "flaps" && time.Since(f.started)/flapTime%2 == 1
}

func (f *plainFleet) enter(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] >= plainSlots+plainQueue {
		return false
	}
	f.open[id]++
	return true
}

func (f *plainFleet) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[id]--
}

func (f *plainFleet) Send(_ context.Context, r *runners.State, _ *Call, _ CallOptions) (*Response, error) {
	time.Sleep(hop)
	defer time.Sleep(hop)
	lost := &upstream.ErrExchange{Address: r.ID, Err: errors.New("connection reset")}
	if f.down(r.ID) {
		return nil, lost
	}
	if !f.enter(r.ID) {
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	defer f.leave(r.ID)
	f.slots[r.ID] <- struct{}{}
	time.Sleep(plainWork)
	<-f.slots[r.ID]
	if f.down(r.ID) {
		return nil, lost
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Verified: true}, nil
}

// flapReader parses requests with a client's timeout.
type flapReader struct{}

func (flapReader) Read(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("X-Request-Id"), Timeout: 1500 * time.Millisecond, Method: r.Method, Host: r.Host, Path: r.URL.Path, Header: http.Header{}}, nil
}

// newPlainGateway returns a gateway before a fleet, with routes for requests that may be repeated
// (/safe) and for others (/unsafe).
func newPlainGateway(t *testing.T, name string, fleet *plainFleet) *Ingress {
	log := decisionlog.New(name, io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	in := New(Options{Name: name, Runners: fleet, Reader: flapReader{}, Log: log, MaxOpen: 4000, Held: memory.NewAccount("held", 1<<20), Budget: retrybudget.Limits{Share: 0.2, Slack: 90, Window: 10 * time.Second}, Gateways: 1})
	route := func(kind routetable.Kind, attempts int) routetable.Route {
		return routetable.Route{
			Name: string(kind), Host: "h", PathPrefix: "/" + string(kind), Kind: kind, Timeout: 800 * time.Millisecond, LatencyTarget: 120 * time.Millisecond,
			MaxAttempts: attempts, Targets: []routetable.Target{{Service: "s", Weight: 1}},
		}
	}
	table, err := routetable.New(routetable.Config{
		Version: 1, Services: map[string]routetable.Service{"s": {Name: "s"}}, Limits: routetable.Limits{BodyBytes: 1 << 20},
		Routes: []routetable.Route{route(routetable.Safe, 2), route(routetable.Unsafe, 1)},
	})
	if err != nil {
		t.Fatal(err)
	}
	in.SetTable(table)
	for id := range fleet.slots {
		in.Directory.Put(runners.Runner{ID: id, Service: "s"}, time.Now())
	}
	return in
}

// Guards against an overload that pushes requests which must not be repeated from a runner that is
// full to one that loses them.
func TestOverloadLosesNoRequestsAtFlappingRunner(t *testing.T) {
	const gateways, perSecond, seconds = 25, 700, 6
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newPlainFleet()
		var all []*Ingress
		for i := range gateways {
			all = append(all, newPlainGateway(t, fmt.Sprint("g", i), fleet))
		}
		var mu sync.Mutex
		var open sync.WaitGroup
		unsafe, inTime := map[int]int{}, 0
		for i := range perSecond * seconds {
			kind := routetable.Unsafe
			if i%5 < 2 {
				kind = routetable.Safe
			}
			open.Go(func() {
				r := httptest.NewRequest(http.MethodPost, "http://h/"+string(kind), nil)
				r.Header.Set("X-Request-Id", fmt.Sprint("r", i))
				w, began := httptest.NewRecorder(), time.Now()
				all[i%gateways].ServeHTTP(w, r)
				mu.Lock()
				defer mu.Unlock()
				if kind == routetable.Unsafe {
					unsafe[w.Code]++
				}
				if w.Code == http.StatusOK && time.Since(began) <= 120*time.Millisecond {
					inTime++
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		open.Wait()
		t.Log("unsafe requests by status:", unsafe, "in time:", inTime)
		g.Expect(unsafe[http.StatusBadGateway]).To(BeNumerically("<", 3*gateways), "one at each gateway, each time that the runner goes down")
		g.Expect(unsafe[http.StatusOK]).To(BeNumerically(">", unsafe[http.StatusServiceUnavailable]))
		g.Expect(inTime).To(BeNumerically(">", seconds*plainSlots*int(time.Second/plainWork)), "what the steady runner can serve")
	})
}

// decliningOnce is a runner that is full when the first request comes.
type decliningOnce struct {
	RunnerClient
	sends int
}

func (d *decliningOnce) Send(context.Context, *runners.State, *Call, CallOptions) (*Response, error) {
	d.sends++
	if d.sends == 1 {
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Verified: true}, nil
}

// Guards against a refusal by the gateway because the only runner was full for a moment.
func TestRequestReturnsToRunnerThatWasFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := newPlainGateway(t, "g", newPlainFleet())
		runner := &decliningOnce{}
		in.options.Runners = runner
		in.Directory.Remove("flaps", time.Now())
		time.Sleep(2 * time.Second)
		r := httptest.NewRequest(http.MethodPost, "http://h/unsafe", nil)
		r.Header.Set("X-Request-Id", "r1")
		w, began := httptest.NewRecorder(), time.Now()
		in.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(http.StatusOK))
		g.Expect(runner.sends).To(Equal(2))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 20*time.Millisecond))
		g.Expect(in.plain.Statuses(time.Now())).To(HaveLen(1))
		g.Expect(in.plain.Statuses(time.Now())[0].InFlight).To(BeZero(), "each place is given back")
	})
}
