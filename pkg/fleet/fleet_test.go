package fleet_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestFleet(t *testing.T) { spectest.Run(t, "fleet") }

var _ = Describe("the selector language", func() {
	labels := fleet.Labels{"pool": "decode", "gpu": "b"}
	DescribeTable("matches labels", func(text string, want bool) {
		m, err := fleet.ParseMatch(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Matches(labels)).To(Equal(want))
		again, err := fleet.ParseMatch(m.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(m))
	},
		Entry("everything", "", true),
		Entry("equality", "pool=decode", true),
		Entry("all tests", "pool=decode, gpu=a", false),
		Entry("difference", "pool!=prefill", true),
		Entry("difference of a missing key", "rack!=7", true),
		Entry("a set", "gpu in (a, b)", true),
		Entry("outside a set", "gpu notin (a,c)", true),
		Entry("existence", "gpu", true),
		Entry("absence", "!spot", true),
		Entry("absence of a key that exists", "!gpu", false),
	)
	DescribeTable("rejects invalid expressions", func(text string) {
		_, err := fleet.ParseMatch(text)
		var bad *fleet.ErrMatch
		Expect(errors.As(err, &bad)).To(BeTrue())
	},
		Entry("a key with a space", "a b=c"), Entry("no value", "a="), Entry("an open set", "a in (b"),
		Entry("an empty set", "a in ()"), Entry("two commas", "a=b,,c=d"),
	)
})

var _ = Describe("the membership", func() {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	list := func(names ...string) []platform.Instance {
		var out []platform.Instance
		for _, n := range names {
			out = append(out, platform.Instance{Name: n, Role: platform.RoleSidecar, Inner: n})
		}
		return out
	}
	// leaving also returns true for an instance that is not a member.
	leaving := func(m *fleet.Membership, name string) bool {
		for _, in := range m.Members() {
			if in.Name == name {
				return in.Leaving
			}
		}
		return true
	}
	It("marks an instance as leaving if a plausible list omits it, even if it responds", func() {
		m := fleet.NewMembership()
		m.Observe(list("a", "b", "c"), now)
		m.Seen("a", 1, false, now)
		m.Observe(list("b", "c"), now.Add(fleet.MissingGrace))
		Expect(leaving(m, "a")).To(BeTrue())
	})
	It("keeps a responding instance when the list is empty", func() {
		m := fleet.NewMembership()
		m.Observe(list("a", "b", "c"), now)
		m.Seen("a", 1, false, now.Add(20*time.Second))
		m.Observe(nil, now.Add(21*time.Second))
		Expect(leaving(m, "a")).To(BeFalse())
	})
	It("ignores responses of a replaced process", func() {
		m := fleet.NewMembership()
		m.Observe(list("a"), now)
		Expect(m.Seen("a", 7, false, now)).To(BeTrue())
		Expect(m.Seen("a", 6, false, now)).To(BeFalse())
	})
	It("clears a reported leaving when a new process starts on the instance", func() {
		m := fleet.NewMembership()
		m.Observe(list("a"), now)
		m.Seen("a", 1, true, now)
		Expect(leaving(m, "a")).To(BeTrue())
		m.Seen("a", 2, false, now)
		Expect(leaving(m, "a")).To(BeFalse())
	})
})

// A lagging list may show a process as live after an earlier list showed it as
// leaving. The process must then stay leaving until the membership drops it.
func TestLeavingMemberStaysLeaving(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		m := fleet.NewMembership()
		now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
		leavingListed := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				var all []platform.Instance
				for _, n := range []string{"a", "b", "c", "d"} {
					if rapid.Bool().Draw(t, "shown") {
						in := platform.Instance{Name: n, Inner: n, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
						leavingListed[n] = leavingListed[n] || in.Leaving
						all = append(all, in)
					}
				}
				m.Observe(all, now)
			},
			"hear": func(t *rapid.T) { m.Seen(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), 1, false, now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				known := map[string]bool{}
				for _, in := range m.Members() {
					known[in.Name] = true
					if leavingListed[in.Name] && !in.Leaving {
						t.Fatalf("%s was leaving and is offered for new work again", in.Name)
					}
				}
				maps.DeleteFunc(leavingListed, func(n string, _ bool) bool { return !known[n] })
			},
		})
	})
}

// docMachine applies changes from operators whose base revisions may be out of
// date. labels holds the values that the accepted changes set.
type docMachine struct {
	doc     *fleet.Document
	history []*fleet.Document
	labels  map[string]string
	changes []*fleet.Change
}

func (m *docMachine) change(t *rapid.T) {
	base := rapid.SampledFrom(m.history).Draw(t, "base")
	in, key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "in"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
	value := fmt.Sprint(len(m.changes))
	c := &fleet.Change{ID: value, Base: base.Revision, SetLabels: map[string]fleet.Labels{in: {key: value}}}
	m.changes = append(m.changes, c)
	m.apply(t, c, in+"/"+key, value, base)
}

// apply applies a change of one label. The item is INSTANCE/KEY; both names have one
// byte.
func (m *docMachine) apply(t *rapid.T, c *fleet.Change, item, value string, base *fleet.Document) {
	next, err := m.doc.Apply(c)
	changedSince := base.Labels[item[:1]][item[2:]] != m.doc.Labels[item[:1]][item[2:]]
	var conflict *fleet.ErrConflict
	if changedSince && !errors.As(err, &conflict) {
		t.Fatalf("%s changed since revision %d, but the change was accepted", item, base.Revision)
	}
	if err != nil {
		return
	}
	if next.Revision != m.doc.Revision+1 {
		t.Fatalf("revision %d after %d", next.Revision, m.doc.Revision)
	}
	m.doc = next
	m.history = append(m.history, next)
	m.labels[item] = value
}

// repeat applies an accepted change again, as a sender does after a lost response.
func (m *docMachine) repeat(t *rapid.T) {
	if len(m.changes) == 0 {
		return
	}
	c := rapid.SampledFrom(m.changes).Draw(t, "change")
	if _, done := m.doc.Accepted(c.ID); !done {
		return
	}
	if next, err := m.doc.Apply(c); err != nil || next != m.doc {
		t.Fatalf("a repeated change had an effect: %v", err)
	}
}

// A change that was made from an old revision must not overwrite an item that
// another operator changed since.
func TestConcurrentOperatorChanges(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		first, err := fleet.Decode(nil)
		if err != nil {
			t.Fatal(err)
		}
		m := &docMachine{doc: first, history: []*fleet.Document{first}, labels: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change, "repeat": m.repeat,
			"": func(t *rapid.T) {
				for what, v := range m.labels {
					if have := m.doc.Labels[what[:1]][what[2:]]; have != v {
						t.Fatalf("%s is %q, accepted %q", what, have, v)
					}
				}
				again, err := fleet.Decode(m.doc.Encode())
				if err != nil || again.Hash() != m.doc.Hash() {
					t.Fatalf("encoding and decoding changed the document: %v", err)
				}
			},
		})
	})
}
