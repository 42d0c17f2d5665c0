package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Document is the complete configuration that operators change. Exactly one
// document exists for each revision: it is stored under one key of the
// platform's key-value service and changes only by compare-and-swap.
type Document struct {
	// Revision grows by 1 with each accepted change.
	Revision uint64 `json:"revision"`
	// Labels are the labels that operators set, by instance name. An empty value
	// removes a label that the platform set.
	Labels map[string]Labels `json:"labels"`
	// Selectors are sorted by name.
	Selectors []Selector `json:"selectors"`
	// Workspaces are sorted by name.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// Evacuated lists the failure domains whose runners get no new work, sorted.
	Evacuated []string `json:"evacuated,omitempty"`
	// Recent lists the last accepted changes, newest last. It shows a sender that
	// did not receive the response to its change whether the change took effect.
	Recent []Accepted `json:"recent"`
}

// Accepted records one accepted change in a Document.
type Accepted struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	// Touched lists the items that the change wrote: "label/INSTANCE/KEY",
	// "selector/NAME", "workspace/NAME" or "domain/NAME".
	Touched []string `json:"touched"`
}

// recentLimit is the maximum number of accepted changes that a document keeps
// in Recent: about ten hours of changes at 600 changes per day.
const recentLimit = 256

// Change is one edit of the document that an operator requests.
type Change struct {
	// ID is unique to the change; sending the change again has no further effect.
	ID string `json:"id"`
	// Base is the revision of the document that the operator read before making the
	// change.
	Base uint64 `json:"base"`
	// SetLabels sets labels by instance. An empty value removes the label, also one
	// that the platform set.
	SetLabels map[string]Labels `json:"set_labels,omitempty"`
	// Apply adds or replaces selectors, Delete removes them by name.
	Apply  []Selector `json:"apply,omitempty"`
	Delete []string   `json:"delete,omitempty"`
	// ApplyWorkspaces adds or replaces workspaces, DeleteWorkspaces removes them by name.
	ApplyWorkspaces  []Workspace `json:"apply_workspaces,omitempty"`
	DeleteWorkspaces []string    `json:"delete_workspaces,omitempty"`
	// Evacuate stops new work for the runners of failure domains, Restore ends
	// an evacuation.
	Evacuate []string `json:"evacuate,omitempty"`
	Restore  []string `json:"restore,omitempty"`
	// Force allows a change that leaves a request kind without a runner.
	Force bool `json:"force,omitempty"`
}

// Touches returns the items that the change writes, in the form of
// Accepted.Touched, sorted.
func (c *Change) Touches() []string {
	var out []string
	for in, labels := range c.SetLabels {
		for k := range labels {
			out = append(out, "label/"+in+"/"+k)
		}
	}
	for _, s := range c.Apply {
		out = append(out, "selector/"+s.Name)
	}
	for _, name := range c.Delete {
		out = append(out, "selector/"+name)
	}
	for _, w := range c.ApplyWorkspaces {
		out = append(out, "workspace/"+w.Name)
	}
	for _, name := range c.DeleteWorkspaces {
		out = append(out, "workspace/"+name)
	}
	for _, name := range slices.Concat(c.Evacuate, c.Restore) {
		out = append(out, "domain/"+name)
	}
	slices.Sort(out)
	return out
}

// Decode parses a document that Encode wrote. Empty data decodes to the initial
// document at revision 0. Errors are *ErrDocument.
func Decode(data []byte) (*Document, error) {
	d := &Document{Labels: map[string]Labels{}}
	if len(data) == 0 {
		return d, nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(d); err != nil {
		return nil, &ErrDocument{Err: err}
	}
	for i := range d.Selectors {
		if err := d.Selectors[i].check(); err != nil {
			return nil, &ErrDocument{Err: err}
		}
	}
	if _, err := d.Directory(); err != nil {
		return nil, &ErrDocument{Err: err}
	}
	return d, nil
}

// Encode returns the document as JSON. Equal documents have equal encodings.
func (d *Document) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // The fields are maps, slices, strings and finite numbers, which can all be encoded.
	}
	return data
}

// Hash returns a hash of the encoding. It differs between two documents that have
// the same revision but different content.
func (d *Document) Hash() uint64 { return xxhash.Sum64(d.Encode()) }

// Accepted returns the revision at which the change with an ID took effect. It
// returns false if Recent does not list the change.
func (d *Document) Accepted(id string) (uint64, bool) {
	for _, a := range d.Recent {
		if a.ID == id {
			return a.Revision, true
		}
	}
	return 0, false
}

// Apply returns the next document. A change with an older base is applied to d if
// nothing that it touches was written since its base. Otherwise Apply returns
// *ErrConflict, with the current and the requested value of the item if Recent
// covers the base. If the change ID was
// accepted before, Apply returns d itself. Other errors are *ErrSelector,
// *ErrMatch, *ErrLabel, *ErrUnknownSelector, *workspace.ErrWorkspace,
// *ErrUnknownWorkspace and *ErrDomain.
func (d *Document) Apply(c *Change) (*Document, error) {
	if _, ok := d.Accepted(c.ID); ok {
		return d, nil
	}
	if err := d.conflict(c); err != nil {
		return nil, err
	}
	next := d.clone()
	if err := next.edit(c); err != nil {
		return nil, err
	}
	next.Revision++
	next.Recent = append(next.Recent, Accepted{ID: c.ID, Revision: next.Revision, Touched: c.Touches()})
	if n := len(next.Recent); n > recentLimit {
		next.Recent = slices.Clone(next.Recent[n-recentLimit:])
	}
	return next, nil
}

// conflict returns *ErrConflict if an item that the change touches was written
// since the change's base, or if Recent does not cover the base.
func (d *Document) conflict(c *Change) error {
	if c.Base == d.Revision {
		return nil
	}
	if c.Base > d.Revision {
		return &ErrConflict{Base: c.Base, Revision: d.Revision}
	}
	oldestBase := d.Revision
	if len(d.Recent) > 0 {
		oldestBase = d.Recent[0].Revision - 1
	}
	if c.Base < oldestBase {
		return &ErrConflict{Base: c.Base, Revision: d.Revision}
	}
	mine := c.Touches()
	for _, a := range d.Recent {
		if a.Revision <= c.Base {
			continue
		}
		for _, t := range a.Touched {
			if slices.Contains(mine, t) {
				return &ErrConflict{Base: c.Base, Revision: d.Revision, Touched: t, By: a.ID, Theirs: d.show(t), Mine: c.show(t)}
			}
		}
	}
	return nil
}

// show describes the current value of a touched item.
func (d *Document) show(touched string) string {
	kind, rest, _ := strings.Cut(touched, "/")
	if kind == "selector" {
		return showSelector(d.Selectors, rest)
	}
	if kind == "workspace" {
		return showWorkspace(d.Workspaces, rest)
	}
	if kind == "domain" {
		return showDomain(d.evacuated(rest))
	}
	in, key := cutLabel(rest)
	return d.Labels[in][key]
}

// show describes the value that the change would give a touched item.
func (c *Change) show(touched string) string {
	kind, rest, _ := strings.Cut(touched, "/")
	if kind == "selector" {
		return showSelector(c.Apply, rest)
	}
	if kind == "workspace" {
		return showWorkspace(c.ApplyWorkspaces, rest)
	}
	if kind == "domain" {
		return showDomain(slices.Contains(c.Evacuate, rest))
	}
	in, key := cutLabel(rest)
	return c.SetLabels[in][key]
}

// cutLabel splits "INSTANCE/KEY". Instance names contain no slash.
func cutLabel(s string) (instance, key string) {
	instance, key, _ = strings.Cut(s, "/")
	return instance, key
}

func showSelector(all []Selector, name string) string {
	for i := range all {
		if all[i].Name == name {
			data, _ := json.Marshal(all[i])
			return string(data)
		}
	}
	return "deleted"
}

// showWorkspace describes a workspace. It shows the number of keys, not the keys.
func showWorkspace(all []Workspace, name string) string {
	for i := range all {
		if w := all[i]; w.Name == name {
			return fmt.Sprintf("keys=%d unit=%s rate=%g burst=%g", len(w.Keys), w.Unit, w.Rate, w.Burst)
		}
	}
	return "deleted"
}

// clone returns a copy that edit can change without affecting d.
func (d *Document) clone() *Document {
	next := &Document{Revision: d.Revision, Labels: map[string]Labels{}}
	for in, l := range d.Labels {
		next.Labels[in] = maps.Clone(l)
	}
	next.Selectors = slices.Clone(d.Selectors)
	next.Workspaces = slices.Clone(d.Workspaces)
	next.Evacuated = slices.Clone(d.Evacuated)
	next.Recent = slices.Clone(d.Recent)
	return next
}

// edit applies a change to d in place; d must be a fresh clone.
func (d *Document) edit(c *Change) error {
	for in, labels := range c.SetLabels {
		if err := d.setLabels(in, labels); err != nil {
			return err
		}
	}
	for _, s := range c.Apply {
		if err := s.check(); err != nil {
			return err
		}
		d.removeSelector(s.Name)
		d.Selectors = append(d.Selectors, s)
	}
	for _, name := range c.Delete {
		if !d.removeSelector(name) {
			return &ErrUnknownSelector{Name: name}
		}
	}
	slices.SortFunc(d.Selectors, func(a, b Selector) int { return strings.Compare(a.Name, b.Name) })
	if err := d.editDomains(c); err != nil {
		return err
	}
	return d.editWorkspaces(c)
}

func (d *Document) setLabels(in string, labels Labels) error {
	if !ValidInstance(in) {
		return &ErrLabel{Instance: in, Expected: "an instance name of letters, digits and -_.:"}
	}
	if d.Labels[in] == nil {
		d.Labels[in] = Labels{}
	}
	for k, v := range labels {
		if !validName(k) || (v != "" && !validName(v)) {
			return &ErrLabel{Instance: in, Key: k, Value: v, Expected: "key and value of letters, digits and -_./:"}
		}
		if k == LabelInstance || k == LabelDomain || k == LabelRegion {
			return &ErrLabel{Instance: in, Key: k, Value: v, Expected: "a key that the instance's settings do not give"}
		}
		d.Labels[in][k] = v
	}
	return nil
}

func (d *Document) removeSelector(name string) bool {
	for i := range d.Selectors {
		if d.Selectors[i].Name == name {
			d.Selectors = slices.Delete(d.Selectors, i, i+1)
			return true
		}
	}
	return false
}

// Models returns the models of all prefill and decode selectors, sorted.
func (d *Document) Models() []string {
	seen := map[string]bool{}
	for _, s := range d.Selectors {
		if s.Role != RoleServe {
			seen[s.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
