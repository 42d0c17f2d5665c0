package enginepool

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestOrderedKeepsValuesByKey(t *testing.T) {
	g := NewWithT(t)
	var o ordered[int]
	g.Expect(o.get("a")).To(BeZero())
	o.remove("a")
	for i, key := range []string{"a", "b", "c", "d"} {
		o.set(key, i+1)
	}
	o.set("b", 20)
	o.remove("a")
	o.remove("a")
	g.Expect(o.keys).To(Equal([]string{"d", "b", "c"}))
	g.Expect(o.values).To(Equal([]int{4, 20, 3}))
	for _, c := range []struct {
		key  string
		want int
	}{{"a", 0}, {"b", 20}, {"c", 3}, {"d", 4}} {
		g.Expect(o.get(c.key)).To(Equal(c.want), c.key)
	}
	for _, key := range []string{"c", "d", "b"} {
		o.remove(key)
	}
	g.Expect(o.len()).To(BeZero())
	o.set("a", 5)
	g.Expect(o.get("a")).To(Equal(5))
}
