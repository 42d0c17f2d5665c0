// Package spectest runs ginkgo suites and rapid checks with fixed seeds, so that
// their random choices, and with them their results, are the same in every run.
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

// Run runs the ginkgo specs of the calling test's package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Check runs a rapid property with the fixed seed unless the command line sets
// another one.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261202"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(noDeadline{t}, property)
}

// noDeadline hides the Deadline method of a test: rapid would call it, and it must
// not be called inside a synctest bubble.
type noDeadline struct{ rapid.TB }
