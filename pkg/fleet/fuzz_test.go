package fleet_test

import (
	"errors"
	"testing"

	"github.com/hopwell/hopwell/pkg/fleet"
)

func FuzzMatch(f *testing.F) {
	for _, s := range []string{"", "pool=decode", "gpu in (a,b), !spot", "a!=b, c notin (d)", "(((", "a in (b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		m, err := fleet.ParseMatch(text)
		if err != nil {
			var bad *fleet.ErrMatch
			if !errors.As(err, &bad) {
				t.Fatalf("untyped error %T", err)
			}
			return
		}
		again, err := fleet.ParseMatch(m.String())
		if err != nil || again.String() != m.String() {
			t.Fatalf("%q was encoded as %q, which parses differently: %v", text, m, err)
		}
	})
}

func FuzzDocument(f *testing.F) {
	first, _ := fleet.Decode(nil)
	next, _ := first.Apply(&fleet.Change{ID: "a", SetLabels: map[string]fleet.Labels{"x": {"k": "v"}}, Apply: []fleet.Selector{{Name: "s", Kind: "*", Role: fleet.RoleServe, Model: "m", Match: "k=v"}}})
	f.Add(next.Encode())
	f.Add([]byte(`{"revision":18446744073709551615,"labels":null}`))
	f.Add([]byte(`{"selectors":[{"match":"("}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := fleet.Decode(data)
		if err != nil {
			var bad *fleet.ErrDocument
			if !errors.As(err, &bad) {
				t.Fatalf("untyped error %T", err)
			}
			return
		}
		if again, err := fleet.Decode(d.Encode()); err != nil || again.Hash() != d.Hash() {
			t.Fatalf("encoding and decoding changed the document: %v", err)
		}
		fleet.NewView(d, nil)
	})
}
