package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runners"
)

// A runner that loses responses is given up sooner than one that is only slow.
func TestPrefillTimeoutIsLongerForReliableRunner(t *testing.T) {
	g := NewWithT(t)
	d := runners.NewDirectory("a")
	d.Put(runners.Runner{ID: "r", Service: "s", Stage: runners.Prefill}, time.Now())
	r := d.All("s")[0]
	trusted := prefillTimeout(r, time.Second)
	r.Failed(time.Now())
	g.Expect(prefillTimeout(r, time.Second)).To(Equal(prefillSlack + prefillFactor*time.Second))
	g.Expect(trusted).To(BeNumerically(">", prefillTimeout(r, time.Second)))
}
