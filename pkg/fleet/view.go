package fleet

import (
	"slices"
	"strings"
	"sync"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Member is an instance with its labels under a document.
type Member struct {
	platform.Instance
	// Labels are the platform's, overlaid by the operators', and those that
	// every instance has.
	Labels Labels
}

// Grant says that a member may do some work under a selector.
type Grant struct {
	Member   *Member
	Selector *Selector
}

// View is the fleet under one document: immutable, safe for all to share.
type View struct {
	Doc     *Document
	Members []*Member

	matches []Match
	mu      sync.RWMutex
	grants  map[grantKey][]Grant
}

type grantKey struct {
	kind, model string
	role        Role
}

// maxGrantCache bounds the cached answers of one view, since request kinds
// come from callers.
const maxGrantCache = 4096

// NewView puts a document and instances together.
func NewView(doc *Document, instances []platform.Instance) *View {
	v := &View{Doc: doc, grants: map[grantKey][]Grant{}}
	for _, in := range instances {
		v.Members = append(v.Members, &Member{Instance: in, Labels: doc.LabelsOf(in)})
	}
	slices.SortFunc(v.Members, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	for i := range doc.Selectors {
		m, err := ParseMatch(doc.Selectors[i].Match)
		if err != nil {
			m = Match{{Key: doc.Selectors[i].Match, Op: OpExists}} // Decode has checked it: this matches nothing.
		}
		v.matches = append(v.matches, m)
	}
	return v
}

// LabelsOf returns an instance's labels under the document.
func (d *Document) LabelsOf(in platform.Instance) Labels {
	l := merge(in.Labels, d.Labels[in.Name])
	l[LabelInstance], l[LabelDomain], l[LabelRegion] = in.Name, in.Domain, in.Region
	return l
}

// Grants returns the members that may do the role for such requests, leaving
// ones excepted, in name order. The caller must not change the result.
func (v *View) Grants(kind, model string, role Role) []Grant {
	key := grantKey{kind, model, role}
	v.mu.RLock()
	g, ok := v.grants[key]
	v.mu.RUnlock()
	if ok {
		return g
	}
	g = v.compute(key)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.grants) < maxGrantCache {
		v.grants[key] = g
	}
	return g
}

// rolePrefillOnly is the key of PrefillOnly's cached answers.
const rolePrefillOnly Role = "prefill_only"

// PrefillOnly returns the members that may prefill such requests and may not
// decode them; all that may prefill where there are none of those. Members in
// both roles prefill for their own decodes only, when the others have no time.
func (v *View) PrefillOnly(kind, model string) []Grant {
	return v.Grants(kind, model, rolePrefillOnly)
}

// prefillOnly computes PrefillOnly.
func (v *View) prefillOnly(kind, model string) []Grant {
	all := v.Grants(kind, model, RolePrefill)
	var out []Grant
	for _, g := range all {
		if v.Select(kind, model, RoleDecode, g.Member.Labels) == nil {
			out = append(out, g)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

func (v *View) compute(key grantKey) []Grant {
	if key.role == rolePrefillOnly {
		return v.prefillOnly(key.kind, key.model)
	}
	var out []Grant
	for _, m := range v.Members {
		if m.Leaving || m.Labels.Leaving() || m.Role != platform.RoleSidecar || v.Evacuated(m) {
			continue
		}
		if s := v.Select(key.kind, key.model, key.role, m.Labels); s != nil {
			out = append(out, Grant{m, s})
		}
	}
	return out
}

// Select returns the selector that gives labels the role, nil for none. A
// selector for the request's own kind goes before one for every kind.
func (v *View) Select(kind, model string, role Role, labels Labels) *Selector {
	return v.Doc.prefer(kind, model, role, func(i int) bool { return v.matches[i].Matches(labels) })
}

// Offer returns the selector under which such requests are served, nil for none,
// whatever instances there are.
func (d *Document) Offer(kind, model string, role Role) *Selector {
	return d.prefer(kind, model, role, func(int) bool { return true })
}

// prefer returns the first selector for such requests that passes, by its index:
// one for their own kind before one for every kind.
func (d *Document) prefer(kind, model string, role Role, passes func(i int) bool) *Selector {
	var general *Selector
	for i := range d.Selectors {
		s := &d.Selectors[i]
		if !s.serves(kind, model, role) || !passes(i) {
			continue
		}
		if s.Kind != AnyKind {
			return s
		}
		if general == nil {
			general = s
		}
	}
	return general
}

// Find returns the member with a name, nil for none.
func (v *View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m *Member, n string) int { return strings.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return v.Members[i]
}

// Work lists the selectors that match a member, in name order.
func (v *View) Work(m *Member) []*Selector {
	var out []*Selector
	for i := range v.Doc.Selectors {
		if v.matches[i].Matches(m.Labels) {
			out = append(out, &v.Doc.Selectors[i])
		}
	}
	return out
}

// Evacuated reports whether a member's failure domain gets no more work.
func (v *View) Evacuated(m *Member) bool { return v.Doc.evacuated(m.Domain) }

// Check returns *ErrNoRunner when after has no live member for a request kind
// that before has one for.
func Check(before, after *View) error {
	for i := range before.Doc.Selectors {
		s := &before.Doc.Selectors[i]
		if len(before.Grants(s.Kind, s.Model, s.Role)) == 0 {
			continue
		}
		if len(after.Grants(s.Kind, s.Model, s.Role)) == 0 {
			return &ErrNoRunner{Kind: s.Kind, Model: s.Model, Role: s.Role}
		}
	}
	return nil
}
