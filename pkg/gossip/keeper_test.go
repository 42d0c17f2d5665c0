package gossip

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/spectest"
)

// mesh connects agents by direct calls. A link can be cut in one direction.
type mesh struct {
	agents []*Agent
	cut    map[[2]int]bool
}

// meshPeers implements Peers for one agent of a mesh.
type meshPeers struct {
	m *mesh
	i int
}

func (e meshPeers) Addresses() []string {
	var out []string
	for j := range e.m.agents {
		if j != e.i {
			out = append(out, fmt.Sprint(j))
		}
	}
	return out
}

func (e meshPeers) Exchange(_ context.Context, address string, mine Digest, document []byte) (Digest, []byte, error) {
	var j int
	_, _ = fmt.Sscan(address, &j)
	if e.m.cut[[2]int{e.i, j}] {
		return Digest{}, nil, errors.New("cut")
	}
	d, doc := e.m.agents[j].Answer(mine, document)
	return d, doc, nil
}

// Agents receive documents in any order while links are cut. No agent may return
// to an older revision, and all must converge once the links are restored.
func TestRevisionsNeverDecreaseAndConverge(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		m := &mesh{cut: map[[2]int]bool{}}
		for i := range 4 {
			m.agents = append(m.agents, NewAgent(NewKeeper(), fake.NewKV(), meshPeers{m, i}, uint64(i)))
		}
		doc, _ := fleet.Decode(nil)
		history := [][]byte{doc.Encode()}
		last := make([]uint64, len(m.agents))
		agent := func(t *rapid.T) int { return rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent") }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				next, err := doc.Apply(&fleet.Change{ID: fmt.Sprint(len(history)), Base: doc.Revision, SetLabels: map[string]fleet.Labels{"a": {"k": fmt.Sprint(len(history))}}})
				if err != nil {
					t.Fatal(err)
				}
				doc = next
				history = append(history, doc.Encode())
				m.agents[agent(t)].offer(doc.Encode())
			},
			"old document": func(t *rapid.T) { m.agents[agent(t)].offer(rapid.SampledFrom(history).Draw(t, "document")) },
			"cut":          func(t *rapid.T) { m.cut[[2]int{agent(t), agent(t)}] = rapid.Bool().Draw(t, "cut") },
			"exchange":     func(t *rapid.T) { _ = m.agents[agent(t)].Exchange(context.Background(), fmt.Sprint(agent(t))) },
			"": func(t *rapid.T) {
				for i, a := range m.agents {
					d, _ := a.keeper.Digest()
					if d.Revision < last[i] {
						t.Fatalf("agent %d went from revision %d to %d", i, last[i], d.Revision)
					}
					last[i] = d.Revision
				}
			},
		})
		m.cut = map[[2]int]bool{}
		for range 2 {
			for i, a := range m.agents {
				_ = a.Exchange(context.Background(), fmt.Sprint((i+1)%len(m.agents)))
			}
			for i, a := range m.agents {
				_ = a.Exchange(context.Background(), fmt.Sprint((i+len(m.agents)-1)%len(m.agents)))
			}
		}
		for i, a := range m.agents {
			if d, _ := a.keeper.Digest(); len(history) > 1 && d.Revision != doc.Revision {
				t.Fatalf("agent %d has revision %d of %d", i, d.Revision, doc.Revision)
			}
		}
	})
}

func TestOfferRefusesOtherDocumentOfSameRevision(t *testing.T) {
	k := NewKeeper()
	first, _ := fleet.Decode(nil)
	a, _ := first.Apply(&fleet.Change{ID: "a", SetLabels: map[string]fleet.Labels{"x": {"k": "a"}}})
	b, _ := first.Apply(&fleet.Change{ID: "b", SetLabels: map[string]fleet.Labels{"x": {"k": "b"}}})
	if _, err := k.Offer(a.Encode()); err != nil {
		t.Fatal(err)
	}
	_, err := k.Offer(b.Encode())
	var fork *ErrFork
	if !errors.As(err, &fork) {
		t.Fatalf("got %v", err)
	}
}
