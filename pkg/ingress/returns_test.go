package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: all clients wait 14 s; in a burst 4 of 10 requests are those of refused clients
// that come back.
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
		if r.observe(left) != back {
			wrong++
		}
	}
	g.Expect(wrong).To(BeNumerically("<", 20))
}

// Load pattern: clients' own times differ by 15 in 100, and hardly any comes back.
func TestVaryingTimeoutsAreNotDetectedAsReturning(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var r returnDetector
	taken := 0
	for range 2000 {
		left := time.Duration(float64(14*time.Second) * (0.85 + 0.15*rng.Float64()))
		if r.observe(left) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 5), "at the first ones only")
}
