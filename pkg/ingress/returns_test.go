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
		if r.observe(left) != back {
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
		if r.observe(left) {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 5), "among the first requests only")
}
