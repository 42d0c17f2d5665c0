package fleet

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/workspace"
)

func lexiconWorkspace(rate float64, keys ...string) Workspace {
	w := Workspace{Name: "lexicon", Unit: workspace.Tokens, Rate: rate}
	for _, k := range keys {
		w.Keys = append(w.Keys, KeyText(k))
	}
	return w
}

func TestDocumentStoresWorkspaceChanges(t *testing.T) {
	g := NewWithT(t)
	d, err := Decode(nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Directory()).To(BeNil(), "without workspaces clients need no key")
	d, err = d.Apply(&Change{ID: "a", ApplyWorkspaces: []Workspace{lexiconWorkspace(100, "secret")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(d.Encode())).NotTo(ContainSubstring("secret"))
	d, err = Decode(d.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	directory, err := d.Directory()
	g.Expect(err).NotTo(HaveOccurred())
	w, _, err := directory.Authenticate([]string{"Bearer secret"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Limit.Rate).To(Equal(100.0))
	next, err := d.Apply(&Change{ID: "b", Base: 1, DeleteWorkspaces: []string{"lexicon"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Workspaces).To(BeEmpty())
	g.Expect(d.Workspaces).To(HaveLen(1), "the previous document is unchanged")
}

func TestConcurrentWorkspaceChangesConflict(t *testing.T) {
	g := NewWithT(t)
	d, _ := Decode(nil)
	d, err := d.Apply(&Change{ID: "a", ApplyWorkspaces: []Workspace{lexiconWorkspace(100, "first")}})
	g.Expect(err).NotTo(HaveOccurred())
	d, err = d.Apply(&Change{ID: "b", Base: 1, ApplyWorkspaces: []Workspace{lexiconWorkspace(200, "first")}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.Apply(&Change{ID: "c", Base: 1, ApplyWorkspaces: []Workspace{lexiconWorkspace(100, "first", "second")}})
	var conflict *ErrConflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.Revision).To(Equal(uint64(2)))
	g.Expect(conflict.Touched).To(Equal("workspace/lexicon"))
	g.Expect(conflict.Theirs).To(ContainSubstring("rate=200"))
	again, err := d.Apply(&Change{ID: "b", Base: 1, ApplyWorkspaces: []Workspace{lexiconWorkspace(200, "first")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(d), "a repeated change has no second effect")
}

func TestInvalidWorkspaceIsRejected(t *testing.T) {
	for field, w := range map[string]Workspace{
		"name":       {Name: "a b", Unit: workspace.Tokens},
		"limit.rate": lexiconWorkspace(-1),
		"limit.unit": {Name: "lexicon", Unit: "pounds"},
		"keys":       {Name: "lexicon", Unit: workspace.Tokens, Keys: []string{"no digest"}},
	} {
		g := NewWithT(t)
		d, _ := Decode(nil)
		_, err := d.Apply(&Change{ID: "a", ApplyWorkspaces: []Workspace{w}})
		var bad *workspace.ErrWorkspace
		g.Expect(errors.As(err, &bad)).To(BeTrue(), field)
		g.Expect(bad.Field).To(Equal(field))
	}
	g := NewWithT(t)
	d, _ := Decode(nil)
	_, err := d.Apply(&Change{ID: "a", DeleteWorkspaces: []string{"nobody"}})
	g.Expect(err).To(BeAssignableToTypeOf(&ErrUnknownWorkspace{}))
}
