package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/forecast"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/routetable"
)

// A client that one gateway told to come back may come back to any other.
func TestPromisedReturnsAreExpectedAtOtherGateways(t *testing.T) {
	g := NewWithT(t)
	a, b := New(Options{Name: "a"}), New(Options{Name: "b"})
	for _, i := range []*Ingress{a, b} {
		i.pool("llm").Configure(enginepool.Spec{Memory: 1000, Slots: 8})
	}
	now := time.Now()
	a.planner("llm").Promises.Add(now.Add(3 * time.Second))
	g.Expect(b.planner("llm").Promises.Expected(now)).To(BeFalse())
	snapshots, _ := a.Snapshots(nil)
	b.ReceiveSnapshot("a", "llm", snapshots["llm"])
	g.Expect(b.planner("llm").Promises.Expected(now)).To(BeTrue())
	due := b.planner("llm").Promises.Due(now)
	sum := 0.0
	for _, n := range due {
		sum += n
	}
	g.Expect(sum).To(BeNumerically("~", 1, 0.01))
	b.DropGateway("a")
	due = b.planner("llm").Promises.Due(now)
	for _, n := range due {
		g.Expect(n).To(BeZero())
	}
}

// Load: one of two engines leaves. Its answers run for long, and the other has room.
func TestAnswersOnLeavingEnginesUseNoRoom(t *testing.T) {
	g := NewWithT(t)
	b := enginepool.Backlog{Capacity: 1000, Engines: map[string]bool{"a": true}}
	running := []enginepool.Running{{Runner: "a", Memory: 100, Left: time.Second}, {Runner: "leaving", Memory: 900, Left: time.Minute}}
	f := forecast.NewPlanner().Forecast(func() forecast.Observation { return observation(b, running, 1) }, time.Unix(1000, 0))
	g.Expect(f.Spare(0)).To(BeNumerically(">", 500))
}

// newTestGeneration returns a request with an expected answer of 1000 tokens and a deadline, whose
// service has no engines.
func newTestGeneration(t *testing.T, timeout time.Duration) *generation {
	t.Helper()
	log := decisionlog.New("g", io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	in, now := New(Options{Gateways: 1, Log: log}), time.Now()
	p := in.pool("llm")
	p.Configure(enginepool.Spec{Memory: 10000, Slots: 8})
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(timeout))
	t.Cleanup(cancel)
	x := &exchange{g: in, arrived: now, ctx: ctx, service: "llm", rank: enginepool.Returning, call: &Call{Timeout: timeout}, route: &routetable.Route{LatencyTarget: 3 * time.Second}}
	return &generation{exchange: x, pool: p, planner: in.planner("llm"), job: enginepool.Job{ID: "1", Prompt: 100, Length: p.Lengths.Estimate(1000, 1000)}}
}

// A return that gets room so late that its deadline cuts the answer off occupies an engine for
// nothing.
func TestReturnWaitsWhileItsAnswerFitsBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	s := newTestGeneration(t, 9*time.Second)
	answer := time.Duration(s.job.Length.Expected(0) / s.pool.Speed("", s.arrived).Decode * float64(time.Second))
	g.Expect(s.roomDeadline()).To(BeTemporally("~", s.arrived.Add(9*time.Second-answer-serveReserve), time.Microsecond))
	patience := s.arrived.Add(latencyFactor*s.route.LatencyTarget - serveReserve)
	s.rank = enginepool.Begun
	g.Expect(s.roomDeadline()).To(Equal(patience), "an engine may have spent time on it")
	s = newTestGeneration(t, time.Hour)
	g.Expect(s.roomDeadline()).To(Equal(s.arrived.Add(latencyFactor*s.route.LatencyTarget - serveReserve)))
}

func TestReturnWithoutTimeToWaitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newTestGeneration(t, time.Second)
		_, err := s.room(s.roomDeadline())
		var full *enginepool.ErrNoRoom
		g.Expect(errors.As(err, &full)).To(BeTrue())
		g.Expect(time.Since(s.arrived)).To(BeZero())
	})
}

// A client is told the time at which its return is expected, within its share of the time that it
// has left.
func TestClientIsToldThePromisedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for range 50 {
			s := newTestGeneration(t, 9*time.Second)
			w := httptest.NewRecorder()
			s.w, s.life = httpd.NewStallWriter(w, time.Second), request.NewLife("1", true)
			s.finishIncomplete(&enginepool.ErrNoRoom{ID: "1"})
			g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
			told, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(told).To(BeNumerically("<=", 9*retryAfterShare+0.005))
			due, mean := s.planner.Promises.Due(s.arrived), 0.0
			for k, n := range due {
				mean += n * (float64(k) + 0.5) * forecast.SlotLength.Seconds()
			}
			g.Expect(mean).To(BeNumerically("~", told, 2*forecast.SlotLength.Seconds()))
		}
	})
}

func TestRequestThatMayHaveRunIsPromisedNothing(t *testing.T) {
	g := NewWithT(t)
	s := newTestGeneration(t, 9*time.Second)
	w := httptest.NewRecorder()
	s.w, s.life = httpd.NewStallWriter(w, time.Second), request.NewLife("1", true)
	n, err := s.life.Begin()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.life.Send(n)).To(Succeed())
	s.finishIncomplete(&enginepool.ErrNoRoom{ID: "1"})
	g.Expect(w.Code).To(Equal(http.StatusBadGateway))
	g.Expect(s.planner.Promises.Expected(s.arrived)).To(BeFalse())
}
