package routetable

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func newRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Kind: Safe, Timeout: time.Second, Targets: []Target{{Service: "s", Weight: 1}}}
}

func newTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	out, err := New(Config{Version: 1, Routes: routes, Services: map[string]Service{"s": {Name: "s"}, "other": {Name: "other"}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return out
}

func TestLongestPrefixOfHostMatches(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, newRoute("short", "a.example", "/x/"), newRoute("long", "a.example", "/x/y/"), newRoute("else", "b.example", "/x/y/z/"))
	for path, want := range map[string]string{"/x/y/z/": "long", "/x/y": "short", "/x/yy/": "short", "/x/": "short"} {
		g.Expect(table.Match("A.example:80", path).Name).To(Equal(want), path)
	}
	g.Expect(table.Match("a.example", "/y/")).To(BeNil())
	g.Expect(table.Match("c.example", "/x/")).To(BeNil())
}

func TestErrorOfInvalidRouteHasField(t *testing.T) {
	g := NewWithT(t)
	for field, invalidate := range map[string]func(*Route){
		"path prefix": func(r *Route) { r.PathPrefix = "x" },
		"kind":        func(r *Route) { r.Kind = "odd" },
		"times":       func(r *Route) { r.GapTarget = -1 },
		"service":     func(r *Route) { r.Targets = []Target{{Service: "none", Weight: 1}} },
		"weight":      func(r *Route) { r.Targets[0].Weight = -1 },
	} {
		r := newRoute("r", "a.example", "/x/")
		invalidate(&r)
		_, err := New(Config{Routes: []Route{r}, Services: map[string]Service{"s": {}}})
		g.Expect(err).To(BeAssignableToTypeOf(&ErrRoute{}))
		g.Expect(err.(*ErrRoute).Field).To(Equal(field))
	}
}

func TestPickFollowsWeights(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b := rapid.IntRange(0, 50).Draw(t, "a"), rapid.IntRange(1, 50).Draw(t, "b")
		r := Route{Targets: []Target{{"s", a}, {"other", b}}}
		const draws = 1000
		hits := 0
		for i := range draws {
			if r.Pick(float64(i)/draws) == "s" {
				hits++
			}
		}
		g.Expect(float64(hits) / draws).To(BeNumerically("~", float64(a)/float64(a+b), 0.002))
	})
}

func TestRepeatableDependsOnKindAndResumable(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		r    Route
		want bool
	}{{Route{Kind: Safe}, true}, {Route{Kind: Unsafe}, false}, {Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true}, {Route{Kind: Unsafe, Resumable: true}, false}} {
		g.Expect(c.r.Repeatable()).To(Equal(c.want))
	}
}
