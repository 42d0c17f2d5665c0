package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/prefix"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/wire"
)

// BenchmarkChoose measures a complete choice: the states of the runners, the prefix cache lookup,
// the policy, and the record for `hopwell explain`. All runners serve one model, half of them in
// each role.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 730, 7300} {
		for _, tokens := range []int{100, 8000} {
			b.Run(fmt.Sprintf("runners=%d/prompt=%d", n, tokens), func(b *testing.B) {
				g := benchGateway(b, n)
				first, per := (&fleet.Selector{}).Targets()
				r := &run{
					g: g, req: &Request{ID: "r", Kind: "k", Model: "m", MaxTokens: 100}, life: request.NewLife("r", true),
					began: time.Now(), selector: &fleet.Selector{}, targetFirst: first, targetPer: per, promptTokens: tokens, excluded: map[string]bool{},
				}
				r.blocks = prefix.Blocks(nil, 0, strings.Repeat("hull", tokens))
				g.prefixes.Add(r.blocks, 3)
				b.ReportAllocs()
				for b.Loop() {
					r.began = time.Now()
					if _, err := g.choose(r, nil, nil); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func benchGateway(b *testing.B, n int) *Gateway {
	b.Helper()
	nd := node.New(node.Options{Self: platform.Instance{Name: "g", Domain: "d0", Region: "r"}, KV: fake.NewKV(), List: fake.NewList(), Dial: wire.TCP})
	var list []platform.Instance
	for i := range n {
		pool := []string{"prefill", "decode"}[i%2]
		name := fmt.Sprintf("%s-%d", pool, i)
		list = append(list, platform.Instance{Name: name, Role: platform.RoleSidecar, Inner: name, Domain: fmt.Sprintf("d%d", i%7), Region: "r", Labels: map[string]string{"pool": pool}})
	}
	nd.Members.Observe(list, time.Now())
	doc, _ := fleet.Decode(nil)
	doc, err := doc.Apply(&fleet.Change{ID: "a", Apply: []fleet.Selector{
		{Name: "p", Kind: "*", Role: fleet.RolePrefill, Model: "m", Match: "pool=prefill"},
		{Name: "d", Kind: "*", Role: fleet.RoleDecode, Model: "m", Match: "pool=decode"},
	}})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := nd.Keeper.Offer(doc.Encode()); err != nil {
		b.Fatal(err)
	}
	policy, err := route.New(route.NameHopwell)
	if err != nil {
		b.Fatal(err)
	}
	return New(nd, Options{Policy: policy, Lease: DefaultLease, MaxOpen: 10, MaxPerWorkspace: 10, MaxPrompt: 1 << 20})
}
