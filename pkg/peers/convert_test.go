package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

func TestPromisedReturnsAreSent(t *testing.T) {
	g := NewWithT(t)
	sent := map[string]enginepool.Snapshot{"llm": {Waiting: 2, Promised: []int{0, 3, 0, 1}, PromisedAge: 120 * time.Millisecond}}
	data, err := proto.Marshal(encodeSnapshots(sent))
	g.Expect(err).NotTo(HaveOccurred())
	var state wirepb.GatewayState
	g.Expect(unmarshal(data, &state)).To(Succeed())
	g.Expect(decodeSnapshots(&state)).To(Equal(sent))
}

// A build that does not report promises sends none, which means unknown.
func TestMissingPromisedReturnsAreUnknown(t *testing.T) {
	g := NewWithT(t)
	got := decodeSnapshots(&wirepb.GatewayState{Pools: []*wirepb.GatewayPool{{Service: "llm", Waiting: 1}}})
	g.Expect(got["llm"].Promised).To(BeEmpty())
}

// Guards against a gateway whose absurd number of waiting requests makes all others refuse at once.
func TestReportedNumberOfWaitingRequestsIsBounded(t *testing.T) {
	g := NewWithT(t)
	got := decodeSnapshots(&wirepb.GatewayState{Pools: []*wirepb.GatewayPool{{Service: "llm", Waiting: 1 << 31}}})
	g.Expect(got["llm"].Waiting).To(Equal(maxWaiting))
}
