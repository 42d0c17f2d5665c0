package fleet

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/platform"
)

// served returns the document of two domains with a decode runner each.
func served(g *WithT) (*Document, []platform.Instance) {
	d, err := Decode(nil)
	g.Expect(err).NotTo(HaveOccurred())
	d, err = d.Apply(&Change{ID: "a", Apply: []Selector{{Name: "decode", Role: RoleDecode, Kind: AnyKind, Model: "m", Match: ""}}})
	g.Expect(err).NotTo(HaveOccurred())
	return d, []platform.Instance{{Name: "l", Role: platform.RoleSidecar, Domain: "left"}, {Name: "r", Role: platform.RoleSidecar, Domain: "right"}}
}

func TestTheRunnersOfAnEvacuatedDomainAreGrantedNothing(t *testing.T) {
	g := NewWithT(t)
	d, instances := served(g)
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
	g.Expect(Check(before, NewView(all, instances))).To(BeAssignableToTypeOf(&ErrNoRunner{}), "the last one needs force")
	back, err := d.Apply(&Change{ID: "d", Base: 2, Restore: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(NewView(back, instances).Grants(AnyKind, "m", RoleDecode)).To(HaveLen(2))
}

func TestRacingEvacuationsOfADomainConflict(t *testing.T) {
	g := NewWithT(t)
	d, _ := served(g)
	d, err := d.Apply(&Change{ID: "b", Base: 1, Evacuate: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.Apply(&Change{ID: "c", Base: 1, Restore: []string{"left"}})
	var conflict *ErrConflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.Touched).To(Equal("domain/left"))
	g.Expect([]string{conflict.Theirs, conflict.Mine}).To(Equal([]string{"evacuated", "in use"}))
	again, err := d.Apply(&Change{ID: "b", Base: 1, Evacuate: []string{"left"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(d), "a change whose answer was lost has one effect")
	var bad *ErrDomain
	_, err = d.Apply(&Change{ID: "e", Base: 2, Restore: []string{"right"}})
	g.Expect(errors.As(err, &bad)).To(BeTrue())
	_, err = d.Apply(&Change{ID: "f", Base: 2, Evacuate: []string{"a b"}})
	g.Expect(errors.As(err, &bad)).To(BeTrue())
}
