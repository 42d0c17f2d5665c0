package sidecar

import (
	"context"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// oneOrder is a stream that delivers one order and then ends.
type oneOrder struct {
	ctx   context.Context
	order *wirepb.Order
}

func (s *oneOrder) Context() context.Context  { return s.ctx }
func (s *oneOrder) Send(*wirepb.Report) error { return nil }

func (s *oneOrder) Recv() (*wirepb.Order, error) {
	o := s.order
	if s.order = nil; o == nil {
		return nil, io.EOF
	}
	return o, nil
}

// FuzzOrder sends a sidecar any order that a faulty gateway may send. The
// sidecar must respond or end the stream, and hold no resources afterwards.
func FuzzOrder(f *testing.F) {
	for _, role := range []fleet.Role{fleet.RolePrefill, fleet.RoleDecode, fleet.RoleServe, "none"} {
		data, err := proto.Marshal(&wirepb.Order{Body: &wirepb.Order_Open{Open: &wirepb.Open{
			RequestId: "r", Role: string(role), Kind: "k", Model: "m", PromptTokens: 10, MaxTokens: 5, ResumeOffset: 9, LeaseUs: 1,
		}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	e := fake.NewEngine("e", fake.DefaultSpec(), fake.NewFabric())
	n := node.New(node.Options{Self: platform.Instance{Name: "s"}, KV: fake.NewKV(), List: fake.NewList(), Dial: wire.TCP})
	doc, _ := fleet.Decode(nil)
	var list []fleet.Selector
	for _, role := range []fleet.Role{fleet.RolePrefill, fleet.RoleDecode, fleet.RoleServe} {
		list = append(list, fleet.Selector{Name: string(role), Kind: "*", Role: role, Model: "m"})
	}
	doc, err := doc.Apply(&fleet.Change{ID: "a", Apply: list})
	if err != nil {
		f.Fatal(err)
	}
	if _, err := n.Keeper.Offer(doc.Encode()); err != nil {
		f.Fatal(err)
	}
	s := New(n, Options{Engine: e, Service: fake.NewService(0), Slots: 1, Admission: AdmitDeadline, PrefillRate: 1e6, LinkRate: 1e9})
	s.readLimits(context.Background())
	s.ready.Store(true)
	f.Fuzz(func(t *testing.T, data []byte) {
		o := &wirepb.Order{}
		if proto.Unmarshal(data, o) != nil {
			return
		}
		_ = s.serve(&oneOrder{ctx: context.Background(), order: o})
		if running, reserved, _ := s.ledger.Usage(); running+reserved != 0 || s.queue.Len() != 0 || s.calls != 0 {
			t.Fatalf("resources held after the stream ended: streams=%d+%d queue=%d calls=%d", running, reserved, s.queue.Len(), s.calls)
		}
	})
}
