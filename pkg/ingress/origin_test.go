package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Guards against a gateway that takes its own stream, whose origin it had no room for, for one of another gateway that
// began before a second version came.
func TestStreamWhoseOriginWasDroppedIsNotResumedAtVersionBefore(t *testing.T) {
	g := NewWithT(t)
	x := newStreamExchange(t, &askedRunners{}, routetable.Route{Kind: routetable.Stream, Resumable: true, Targets: make([]routetable.Target, 1)}, nil)
	x.g.ReadRecord("llm", record("v1"))
	x.g.ReadRecord("llm", record("v1", "v2"))
	for k := range 1 << 16 {
		x.g.origins.Receive("b", resume.Origin{Key: resume.Key(k), Version: "v1", Left: time.Minute}, time.Now())
	}
	x.g.Directory.Put(runners.Runner{ID: "d2", Service: "llm", Version: "v2"}, time.Now())
	x.beginStream(x.g.Directory.Find("d2"))
	g.Expect(x.g.OriginOf(x.streamKey("q"), "llm").Unannounced).To(BeEmpty(), "a reply to another gateway")
	x.call = &Call{ID: "q2", After: "1", OriginID: "q"}
	g.Expect(x.bindResumed()).NotTo(Succeed(), "bound to %s", x.software)
}
