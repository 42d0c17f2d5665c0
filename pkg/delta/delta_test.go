package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// document returns a configuration as operators write it, with the given number of routes. timeout is
// the timeout of the middle route.
func document(version, routes, timeout int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		ms := 14000
		if i == routes/2 {
			ms = timeout
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","pathPrefix":"/p%d/","kind":"stream","timeoutMs":%d,"maxAttempts":2,"split":[{"service":"s","weight":90}]},`, i*7919, i%9, i, ms)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

// Guards against a delta of a large configuration that doesn't fit a datagram, after which each gateway
// would read the configuration from the store.
func TestSmallChangeOfLargeDocumentHasSmallDelta(t *testing.T) {
	for _, routes := range []int{60, 259, 518, 5000} {
		g := NewWithT(t)
		before, after := document(3, routes, 14000), document(8, routes, 4000)
		d := Encode(before, after)
		g.Expect(len(d)).To(BeNumerically("<", 1000), "%d routes, %d bytes", routes, len(after))
		g.Expect(Apply(before, d)).To(Equal(after))
	}
}

func TestApplyRestoresEncodedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "before")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 200), 0, 5).Draw(t, "parts")
		var after []byte
		for _, p := range parts {
			from := rapid.IntRange(0, len(before)).Draw(t, "from")
			to := rapid.IntRange(from, len(before)).Draw(t, "to")
			after = append(append(after, before[from:to]...), p...)
		}
		got, err := Apply(before, Encode(before, after))
		if err != nil || !bytes.Equal(got, after) {
			t.Fatalf("got %d bytes, want %d bytes: %v", len(got), len(after), err)
		}
	})
}

func TestApplyRejectsWrongBaseAndTruncatedDelta(t *testing.T) {
	g := NewWithT(t)
	before, after := document(3, 60, 14000), document(8, 60, 4000)
	d := Encode(before, after)
	for _, base := range [][]byte{nil, document(4, 60, 14000), document(3, 30, 14000)} {
		if got, err := Apply(base, d); err == nil {
			g.Expect(got).To(Equal(after), "a wrong base produced a different value")
		} else {
			g.Expect(err).To(BeAssignableToTypeOf(&ErrDelta{}))
		}
	}
	_, err := Apply(document(3, 30, 14000), d)
	g.Expect(err).To(BeAssignableToTypeOf(&ErrDelta{}))
	for i := range d {
		_, err := Apply(before, d[:i])
		g.Expect(err).To(BeAssignableToTypeOf(&ErrDelta{}), "cut off after %d bytes", i)
	}
}

func FuzzApply(f *testing.F) {
	before, after := document(3, 20, 14000), document(8, 20, 4000)
	f.Add(before, Encode(before, after))
	f.Add([]byte("abc"), []byte{7, 0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{}, Encode(nil, after))
	f.Fuzz(func(t *testing.T, before, delta []byte) {
		got, err := Apply(before, delta)
		if err == nil && len(got) > maxOutput {
			t.Fatalf("got %d bytes", len(got))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	before, after := document(3, 259, 14000), document(8, 259, 4000)
	b.SetBytes(int64(len(after)))
	for b.Loop() {
		Encode(before, after)
	}
}
