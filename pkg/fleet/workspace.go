package fleet

import (
	"encoding/hex"
	"errors"
	"slices"
	"strings"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Workspace is a workspace in a Document. With none in it nobody is asked for a key.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of its keys, in hex: the keys themselves are not kept.
	Keys []string `json:"keys"`
	// Priority ranks its requests, 0 first; absent for that of the selectors.
	Priority *int `json:"priority,omitempty"`
	// Unit is "tokens" or "requests"; Rate is how many it may use a second, 0 for any
	// number, Burst how many more at once. PlainTokens is what a request without a number
	// of tokens counts.
	Unit        workspace.Unit `json:"unit"`
	Rate        float64        `json:"rate"`
	Burst       float64        `json:"burst"`
	PlainTokens float64        `json:"plain_tokens"`
}

// ErrUnknownWorkspace reports that a change names a workspace that the document does not have.
type ErrUnknownWorkspace struct {
	Name string
}

// Error implements error.
func (e *ErrUnknownWorkspace) Error() string { return "no such workspace: workspace=" + e.Name }

// Directory returns the directory of a document's workspaces, nil if it has none. It fails with
// *workspace.ErrWorkspace.
func (d *Document) Directory() (*workspace.Directory, error) {
	if len(d.Workspaces) == 0 {
		return nil, nil
	}
	list := make([]workspace.Workspace, 0, len(d.Workspaces))
	for i := range d.Workspaces {
		w, err := d.Workspaces[i].entry()
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return workspace.NewDirectory(list)
}

// entry converts a workspace. It fails with *workspace.ErrWorkspace.
func (w *Workspace) entry() (workspace.Workspace, error) {
	out := workspace.Workspace{
		Name: w.Name, Priority: w.Priority,
		Limit: workspace.Limit{Unit: w.Unit, Rate: w.Rate, Burst: w.Burst, PlainTokens: w.PlainTokens},
	}
	for _, text := range w.Keys {
		data, err := hex.DecodeString(text)
		var digest workspace.Digest
		if err != nil || len(data) != len(digest) {
			return out, &workspace.ErrWorkspace{Workspace: w.Name, Field: "keys", Expected: "digests of 64 hexadecimal digits"}
		}
		copy(digest[:], data)
		out.Keys = append(out.Keys, digest)
	}
	return out, nil
}

// KeyText returns the text by which a document keeps a key.
func KeyText(key string) string {
	digest := workspace.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// Workspace returns a document's workspace, false if it has none of the name.
func (d *Document) Workspace(name string) (Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return d.Workspaces[i], true
		}
	}
	return Workspace{}, false
}

// editWorkspaces carries out a change of workspaces on a fresh clone.
func (d *Document) editWorkspaces(c *Change) error {
	for _, name := range c.DeleteWorkspaces {
		if !d.removeWorkspace(name) {
			return &ErrUnknownWorkspace{Name: name}
		}
	}
	for _, w := range c.ApplyWorkspaces {
		if !validName(w.Name) {
			return &workspace.ErrWorkspace{Workspace: w.Name, Field: "name", Expected: "letters, digits and -_./:"}
		}
		d.removeWorkspace(w.Name)
		d.Workspaces = append(d.Workspaces, w)
	}
	slices.SortFunc(d.Workspaces, func(a, b Workspace) int { return strings.Compare(a.Name, b.Name) })
	_, err := d.Directory()
	var bad *workspace.ErrWorkspace
	if errors.As(err, &bad) {
		return bad
	}
	return err
}

func (d *Document) removeWorkspace(name string) bool {
	before := len(d.Workspaces)
	d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
	return len(d.Workspaces) < before
}
