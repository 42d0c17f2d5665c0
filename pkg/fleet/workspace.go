package fleet

import (
	"encoding/hex"
	"errors"
	"slices"
	"strings"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Workspace is a workspace in a Document. If a document has none, clients need no key.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the workspace's keys, in hex. The keys themselves are not stored.
	Keys []string `json:"keys"`
	// Priority ranks the workspace's requests: smaller values are served first, unlike
	// Selector.Priority. Gateways order requests by Selector.Priority only.
	Priority *int `json:"priority,omitempty"`
	// Unit is "tokens" or "requests". Rate is how many units the workspace may use per
	// second, 0 for no limit. Burst is how many more it may use at once. PlainTokens is the
	// cost, in tokens, of a request that states neither the length of its prompt nor the
	// maximum length of its response.
	Unit        workspace.Unit `json:"unit"`
	Rate        float64        `json:"rate"`
	Burst       float64        `json:"burst"`
	PlainTokens float64        `json:"plain_tokens"`
}

// ErrUnknownWorkspace reports that the document has no workspace with a name.
type ErrUnknownWorkspace struct {
	Name string
}

// Error implements error.
func (e *ErrUnknownWorkspace) Error() string { return "no such workspace: workspace=" + e.Name }

// Directory returns the directory of a document's workspaces, nil if it has none. Errors are
// *workspace.ErrWorkspace.
func (d *Document) Directory() (*workspace.Directory, error) {
	if len(d.Workspaces) == 0 {
		return nil, nil
	}
	list := make([]workspace.Workspace, 0, len(d.Workspaces))
	for i := range d.Workspaces {
		w, err := d.Workspaces[i].convert()
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return workspace.NewDirectory(list)
}

// convert converts w to the type of package workspace. Errors are *workspace.ErrWorkspace.
func (w *Workspace) convert() (workspace.Workspace, error) {
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

// KeyText returns the text that a document stores for a key: the hex digest of the key.
func KeyText(key string) string {
	digest := workspace.DigestOf(key)
	return hex.EncodeToString(digest[:])
}

// Workspace returns the workspace with a name, false if the document has none.
func (d *Document) Workspace(name string) (Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return d.Workspaces[i], true
		}
	}
	return Workspace{}, false
}

// editWorkspaces applies the workspace part of a change to d in place; d must be a fresh
// clone.
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
