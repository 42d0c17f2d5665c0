package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against runners that get work because of their own entries although their failure domain
// is evacuated.
func TestRunnersOfEvacuatedDomainAreNotUsable(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	put := func(id, domain string, stage Stage) {
		d.Put(Runner{ID: id, Service: "s", Domain: domain, Stage: stage}, now)
	}
	put("a", "left", Decode)
	put("b", "right", Decode)
	earlier := d.Find("a")
	g.Expect(d.Evacuate("left", now)).To(BeTrue())
	g.Expect(d.Evacuate("left", now)).To(BeFalse(), "already evacuated")
	put("c", "left", Decode) // Registers there after the evacuation.
	put("a", "left", Prefill)
	for _, stage := range []Stage{Prefill, Decode} {
		for _, s := range d.Usable("s", stage, now) {
			g.Expect(s.Domain).To(Equal("right"))
		}
	}
	g.Expect(earlier.Usable(now)).To(BeFalse(), "a State that was returned before the evacuation")
	g.Expect(d.Present("s", now)).To(HaveLen(1), "Present leaves out the evacuated domain")
	g.Expect(d.Evacuated()).To(Equal([]string{"left"}))

	g.Expect(d.SyncEvacuated(map[string]bool{"left": true}, now)).To(BeEmpty())
	g.Expect(d.SyncEvacuated(nil, now)).To(Equal([]string{"left"}), "a full reading without the domain restores it")
	g.Expect(d.Usable("s", Decode, now)).To(HaveLen(2))
	g.Expect(d.Restore("left", now)).To(BeFalse())
}
