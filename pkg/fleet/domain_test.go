package fleet

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/platform"
)

// twoDomainDocument returns a document with one decode selector, and two instances
// in different failure domains that match it.
func twoDomainDocument(g *WithT) (*Document, []platform.Instance) {
	d, err := Decode(nil)
	g.Expect(err).NotTo(HaveOccurred())
	d, err = d.Apply(&Change{ID: "a", Apply: []Selector{{Name: "decode", Role: RoleDecode, Kind: AnyKind, Model: "m", Match: ""}}})
	g.Expect(err).NotTo(HaveOccurred())
	return d, []platform.Instance{{Name: "l", Role: platform.RoleSidecar, Domain: "left"}, {Name: "r", Role: platform.RoleSidecar, Domain: "right"}}
}

func TestEvacuatedDomainGetsNoGrants(t *testing.T) {
	g := NewWithT(t)
	d, instances := twoDomainDocument(g)
	before := NewView(d, instances)
	g.Expect(before.Grants(AnyKind, "m", RoleDecode)).To(HaveLen(2))
	d, err := d.Apply(&Change{ID: "b", Base: 1, Evacuate: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	d, err = Decode(d.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	after := NewView(d, instances)
	g.Expect(after.Grants(AnyKind, "m", RoleDecode)).To(HaveLen(1))
	g.Expect(after.Grants(AnyKind, "m", RoleDecode)[0].Member.Name).To(Equal("r"))
	g.Expect(Check(before, after)).To(Succeed())
	all, err := d.Apply(&Change{ID: "c", Base: 2, Evacuate: []string{"right"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Check(before, NewView(all, instances))).To(BeAssignableToTypeOf(&ErrNoRunner{}), "evacuating the last domain needs force")
	back, err := d.Apply(&Change{ID: "d", Base: 2, Restore: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(NewView(back, instances).Grants(AnyKind, "m", RoleDecode)).To(HaveLen(2))
}

func TestConcurrentDomainChangesConflict(t *testing.T) {
	g := NewWithT(t)
	d, _ := twoDomainDocument(g)
	d, err := d.Apply(&Change{ID: "b", Base: 1, Evacuate: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.Apply(&Change{ID: "c", Base: 1, Restore: []string{"left"}})
	var conflict *ErrConflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.Touched).To(Equal("domain/left"))
	g.Expect([]string{conflict.Theirs, conflict.Mine}).To(Equal([]string{"evacuated", "in use"}))
	again, err := d.Apply(&Change{ID: "b", Base: 1, Evacuate: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(d), "a repeated change has no second effect")
	var bad *ErrDomain
	_, err = d.Apply(&Change{ID: "e", Base: 2, Restore: []string{"right"}})
	g.Expect(errors.As(err, &bad)).To(BeTrue())
	_, err = d.Apply(&Change{ID: "f", Base: 2, Evacuate: []string{"a b"}})
	g.Expect(errors.As(err, &bad)).To(BeTrue())
}
