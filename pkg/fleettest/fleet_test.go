package fleettest

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

var (
	chaosRuns = flag.Int("chaos.runs", 16, "number of random fault runs")
	chaosFrom = flag.Int("chaos.from", 0, "first seed of the random fault runs")
)

// TestChaos runs load under random faults. The seed fixes the plan and the load.
func TestChaos(t *testing.T) {
	for seed := *chaosFrom; seed < *chaosFrom+*chaosRuns; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { chaos(t, seed) })
		})
	}
}

func chaos(t *testing.T, seed int) {
	spec := DefaultSpec()
	spec.Seed = uint64(seed)
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	plan := RandomPlan(rng, 4+seed%8, 20*time.Second)
	f := Start(spec)
	defer f.Close()
	c := &Chaos{F: f, Record: NewRecord(), Length: 25 * time.Second, Rate: 8}
	bad := c.Run(rng, plan)
	for _, v := range bad {
		t.Error(v)
	}
	if len(bad) > 0 {
		for _, s := range plan {
			t.Logf("%s at %s for %s, pick %d", s.Fault, s.At, s.For, s.Pick)
		}
	}
}
