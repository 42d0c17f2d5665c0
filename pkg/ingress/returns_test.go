package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: all clients have a timeout of 14 s; in a burst, 4 of 10 requests are retries of refused
// clients.
func TestReturningClientsAreDetectedWithEqualTimeouts(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var r returnDetector
	wrong := 0
	for range 2000 {
		back := rng.Float64() < 0.4
		left := 14 * time.Second
		if back {
			left -= 3*time.Second + time.Duration(rng.Int64N(int64(1600*time.Millisecond)))
		}
		if r.observe(left, true) != back {
			wrong++
		}
	}
	g.Expect(wrong).To(BeNumerically("<", 20))
}

// Load: clients' timeouts differ by 15 % and hardly any request is a retry.
func TestVaryingTimeoutsAreNotDetectedAsReturning(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var r returnDetector
	taken := 0
	for range 2000 {
		left := time.Duration(float64(14*time.Second) * (0.85 + 0.15*rng.Float64()))
		if r.observe(left, true) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 5), "among the first requests only")
}

// Load: clients' timeouts differ by 15 %. In a burst, 4 of 10 requests are retries after 3 to 4.6 s.
func TestReturningClientsAreDetectedWithVaryingTimeouts(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var r returnDetector
	timeout := func() time.Duration { return time.Duration(float64(14*time.Second) * (0.85 + 0.15*rng.Float64())) }
	for range 20 {
		g.Expect(r.observe(timeout(), false)).To(BeFalse(), "no request was refused")
	}
	wrong := 0
	for range 2000 {
		back, left := rng.Float64() < 0.4, timeout()
		if back {
			left -= 3*time.Second + time.Duration(rng.Int64N(int64(1600*time.Millisecond)))
		}
		if r.observe(left, true) != back {
			wrong++
		}
	}
	g.Expect(wrong).To(BeNumerically("<", 20))
}

// A gateway that starts in a burst has seen no requests from before it, and must not take new ones
// for retries.
func TestNewGatewayTakesNoVaryingTimeoutForReturning(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var r returnDetector
	taken := 0
	for range 200 {
		if r.observe(time.Duration(float64(14*time.Second)*(0.85+0.15*rng.Float64())), true) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 5), "among the first requests only")
}
