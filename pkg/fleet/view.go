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
	// Labels are the labels that the platform set, overlaid with those that
	// operators set, plus the labels that every instance has.
	Labels Labels
}

// Grant is the permission of a member to serve requests under a selector.
type Grant struct {
	Member   *Member
	Selector *Selector
}

// View combines a document with the members of the fleet. It is immutable except
// for its cache, and safe for concurrent use.
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

// maxGrantCache bounds the cached results of one view. Clients choose the request
// kinds, so the number of keys has no other bound.
const maxGrantCache = 4096

// NewView returns the view of instances under a document.
func NewView(doc *Document, instances []platform.Instance) *View {
	v := &View{Doc: doc, grants: map[grantKey][]Grant{}}
	for _, in := range instances {
		v.Members = append(v.Members, &Member{Instance: in, Labels: doc.LabelsOf(in)})
	}
	slices.SortFunc(v.Members, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	for i := range doc.Selectors {
		m, err := ParseMatch(doc.Selectors[i].Match)
		if err != nil {
			m = Match{{Key: doc.Selectors[i].Match, Op: OpExists}} // Decode rejects such expressions. No label has this key, so nothing matches.
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

// Grants returns a grant for each member that may serve requests of a kind and
// model in a role, in name order. It leaves out members that are not sidecars, are
// leaving or are in an evacuated domain. The caller must not change the result.
func (v *View) Grants(kind, model string, role Role) []Grant {
	key := grantKey{kind, model, role}
	v.mu.RLock()
	g, ok := v.grants[key]
	v.mu.RUnlock()
	if ok {
		return g
	}
	g = v.computeGrants(key)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.grants) < maxGrantCache {
		v.grants[key] = g
	}
	return g
}

// rolePrefillOnly is the role under which PrefillOnly's results are cached.
const rolePrefillOnly Role = "prefill_only"

// PrefillOnly returns grants for the members that may prefill requests of a kind
// and model but not decode them. If there are none, it returns all members that
// may prefill. If there are some, the gateway uses a member with both roles for
// prefill only if no prefill-only member has capacity in time, and then decodes on
// the same member.
func (v *View) PrefillOnly(kind, model string) []Grant {
	return v.Grants(kind, model, rolePrefillOnly)
}

// computePrefillOnly computes the result of PrefillOnly.
func (v *View) computePrefillOnly(kind, model string) []Grant {
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

func (v *View) computeGrants(key grantKey) []Grant {
	if key.role == rolePrefillOnly {
		return v.computePrefillOnly(key.kind, key.model)
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

// Select returns the selector that grants the role to an instance with these
// labels, or nil. A selector for the kind itself takes precedence over one for
// AnyKind.
func (v *View) Select(kind, model string, role Role, labels Labels) *Selector {
	return v.Doc.preferredSelector(kind, model, role, func(i int) bool { return v.matches[i].Matches(labels) })
}

// Offer returns the selector under which requests of a kind and model are served
// in a role, or nil. It does not consider which instances match.
func (d *Document) Offer(kind, model string, role Role) *Selector {
	return d.preferredSelector(kind, model, role, func(int) bool { return true })
}

// preferredSelector returns the first selector for requests of a kind, model and role
// for whose index passes returns true. A selector for the kind itself takes
// precedence over one for AnyKind.
func (d *Document) preferredSelector(kind, model string, role Role, passes func(i int) bool) *Selector {
	var wildcard *Selector
	for i := range d.Selectors {
		s := &d.Selectors[i]
		if !s.matchesRequest(kind, model, role) || !passes(i) {
			continue
		}
		if s.Kind != AnyKind {
			return s
		}
		if wildcard == nil {
			wildcard = s
		}
	}
	return wildcard
}

// Find returns the member with a name, or nil.
func (v *View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m *Member, n string) int { return strings.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return v.Members[i]
}

// Work returns the selectors that match a member's labels, in name order.
func (v *View) Work(m *Member) []*Selector {
	var out []*Selector
	for i := range v.Doc.Selectors {
		if v.matches[i].Matches(m.Labels) {
			out = append(out, &v.Doc.Selectors[i])
		}
	}
	return out
}

// Evacuated reports whether a member's failure domain is evacuated.
func (v *View) Evacuated(m *Member) bool { return v.Doc.evacuated(m.Domain) }

// Check compares the views before and after a change. It returns *ErrNoRunner if a
// kind, model and role of a selector in the first view had a grant there and has
// none in the second view.
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
