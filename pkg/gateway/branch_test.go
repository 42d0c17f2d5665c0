package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"storj.io/drpc"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// scriptedStream is a stream that returns the given reports and then ends.
type scriptedStream struct {
	drpc.Stream
	reports []*wirepb.Report
}

func (s *scriptedStream) Send(*wirepb.Order) error { return nil }

func (s *scriptedStream) Recv() (*wirepb.Report, error) {
	if len(s.reports) == 0 {
		return nil, io.EOF
	}
	r := s.reports[0]
	s.reports = s.reports[1:]
	return r, nil
}

type discardSink struct{}

func (discardSink) Head(int, http.Header) {}
func (discardSink) Body([]byte) error     { return nil }

// The end of a stream must not overtake the reports before it. Under load this happened in about
// one of several hundred calls: the response was complete, but the client got the outcome
// "unknown".
func TestRelayReadsAllReportsBeforeStreamEnd(t *testing.T) {
	g := NewWithT(t)
	n := node.New(node.Options{Self: platform.Instance{Name: "g"}, KV: fake.NewKV(), List: fake.NewList(), Dial: wire.TCP})
	gw := New(n, Options{MaxOpen: 1, MaxPerWorkspace: 1})
	m := &fleet.Member{Instance: platform.Instance{Name: "s"}}
	for range 100 {
		b := &branch{
			g: gw, member: m, runner: gw.tracker.Get("s", "", ""), reports: make(chan *wirepb.Report, reportBuffer),
			broken: make(chan struct{}), quit: make(chan struct{}),
			stream: &scriptedStream{reports: []*wirepb.Report{
				{Body: &wirepb.Report_Head{Head: &wirepb.Head{Status: 200}}},
				{Body: &wirepb.Report_Chunk{Chunk: &wirepb.Chunk{Raw: []byte("ok")}}},
				{Body: &wirepb.Report_End{End: &wirepb.End{Bytes: 2}}},
			}},
		}
		b.receive()
		r := &serviceRun{g: gw, sink: discardSink{}, life: request.NewLife("r", false)}
		_, err := r.life.Begin()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.life.Send(1)).To(Succeed())
		g.Expect(r.relay(context.Background(), b, 1)).To(Succeed())
		g.Expect(r.life.Outcome()).To(Equal(request.Done))
	}
}
