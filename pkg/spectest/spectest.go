// Package spectest starts ginkgo suites and rapid checks the same way each time:
// their random choices come from fixed seeds, so that a verdict never changes
// from run to run.
package spectest

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Seed is the seed of all random choices in tests.
const Seed = 20261202

// Run runs the package's ginkgo specs.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Check runs a rapid property with the fixed seed, unless one was given on the
// command line.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261202"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(bubbled{t}, property)
}

// bubbled hides the deadline of a test, which rapid would ask for and which may
// not be asked for inside a synctest bubble.
type bubbled struct{ rapid.TB }
