package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

func record(versions ...string) resume.Record {
	return resume.Record{Versions: versions, Lifetime: 15 * time.Second}
}

// Guards against a new stream that waits for room while a second version comes, and that begins at it before the record
// lists it.
func TestWaitingStreamDoesNotBeginAtVersionThatCameMeanwhile(t *testing.T) {
	g := NewWithT(t)
	x := newStreamExchange(t, &askedRunners{}, routetable.Route{Kind: routetable.Stream, Resumable: true}, nil)
	x.g.ObserveVersion(&runners.Runner{Service: "llm", Version: "v1"})
	x.g.ReadRecord("llm", record("v1"))
	allows := x.versionFilter()
	x.g.ObserveVersion(&runners.Runner{Service: "llm", Version: "v2"})
	g.Expect(allows == nil || allows("v2")).To(BeFalse())
	g.Expect(x.versionFilter()("v2")).To(BeFalse(), "a request that arrives later")
}

// Guards against a new stream that begins at a version which no record lists, because its runners were evacuated for so
// long that it left the record, and are used again before the gateway observes them.
func TestStreamDoesNotBeginAtVersionThatIsNotObservedYet(t *testing.T) {
	g := NewWithT(t)
	x := newStreamExchange(t, &askedRunners{}, routetable.Route{Kind: routetable.Stream, Resumable: true}, nil)
	x.g.Directory.Put(runners.Runner{ID: "d2", Service: "llm", Version: "v2", Domain: "z2"}, time.Now())
	x.g.Directory.Evacuate("z2", time.Now())
	x.g.ObserveVersion(&runners.Runner{Service: "llm", Version: "v1"})
	x.g.ReadRecord("llm", record("v1"))
	x.g.Directory.Restore("z2", time.Now())
	runner := x.g.Directory.Find("d2")
	g.Expect(runner.Usable(time.Now())).To(BeTrue())
	allows := x.versionFilter()
	g.Expect(allows == nil || allows(runner.Version)).To(BeFalse())
}
