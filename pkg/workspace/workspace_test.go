package workspace

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func limitedWorkspace(name string, keys ...string) Workspace {
	w := Workspace{Name: name, Limit: Limit{Unit: Tokens, Rate: 100, Burst: 50, PlainTokens: 20}}
	for _, k := range keys {
		w.Keys = append(w.Keys, DigestOf(k))
	}
	return w
}

func TestAuthenticateFindsEveryKey(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var list []Workspace
		owner := map[string]string{}
		for i := range rapid.IntRange(0, 50).Draw(t, "workspaces") {
			w := limitedWorkspace(fmt.Sprint("w", i))
			for j := range rapid.IntRange(0, 3).Draw(t, "keys") {
				key := fmt.Sprintf("key-%d-%d", i, j)
				w.Keys = append(w.Keys, DigestOf(key))
				owner[key] = w.Name
			}
			list = append(list, w)
		}
		d, err := NewDirectory(list)
		g.Expect(err).NotTo(HaveOccurred())
		for key, name := range owner {
			w, _, err := d.Authenticate([]string{"Bearer " + key})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(w.Name).To(Equal(name))
		}
		_, _, err = d.Authenticate([]string{"Bearer key-51-0"})
		var unknown *ErrCredential
		g.Expect(errors.As(err, &unknown)).To(BeTrue())
		g.Expect(unknown.Why).To(Equal(Unknown))
	})
}

func TestErrorNamesFieldAndNoKey(t *testing.T) {
	negative := -1
	for field, corrupt := range map[string]func(w *Workspace){
		"name":               func(w *Workspace) { w.Name = "" },
		"priority":           func(w *Workspace) { w.Priority = &negative },
		"limit.rate":         func(w *Workspace) { w.Limit.Rate = -1 },
		"limit.burst":        func(w *Workspace) { w.Limit.Burst = math.NaN() },
		"limit.plain_tokens": func(w *Workspace) { w.Limit.PlainTokens = math.Inf(1) },
		"limit.unit":         func(w *Workspace) { w.Limit.Unit = "pounds" },
		"keys":               func(w *Workspace) { w.Keys = append(w.Keys, DigestOf("secret-of-a")) },
	} {
		g := NewWithT(t)
		b := limitedWorkspace("b", "secret-of-b")
		corrupt(&b)
		_, err := NewDirectory([]Workspace{limitedWorkspace("a", "secret-of-a"), b})
		var bad *ErrWorkspace
		g.Expect(errors.As(err, &bad)).To(BeTrue(), field)
		g.Expect(bad.Field).To(Equal(field))
		g.Expect(bad.Index).To(Equal(1))
		g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
	}
	g := NewWithT(t)
	_, err := NewDirectory([]Workspace{limitedWorkspace("a"), limitedWorkspace("a")})
	g.Expect(err).To(MatchError(ContainSubstring(`field="name"`)))
}

func TestCredentialRequiresExactlyOneKey(t *testing.T) {
	for _, c := range []struct {
		values []string
		why    string
	}{
		{nil, Missing},
		{[]string{"Bearer k", "Bearer k"}, Malformed},
		{[]string{""}, Malformed},
		{[]string{"Bearer"}, Malformed},
		{[]string{"Bearer "}, Malformed},
		{[]string{"k"}, Malformed},
		{[]string{"Basic k"}, Malformed},
		{[]string{"Bearer k k"}, Malformed},
		{[]string{"Bearer k,Bearer k"}, Malformed},
	} {
		g := NewWithT(t)
		_, err := Credential(c.values)
		var bad *ErrCredential
		g.Expect(errors.As(err, &bad)).To(BeTrue(), "%q", c.values)
		g.Expect(bad.Why).To(Equal(c.why), "%q", c.values)
	}
	g := NewWithT(t)
	for _, same := range []string{"Bearer k", "bearer k", "BEARER  k", " Bearer k "} {
		key, err := Credential([]string{same})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(key).To(Equal(DigestOf("k")))
	}
}

func TestKeyIsNeverPrinted(t *testing.T) {
	g := NewWithT(t)
	d, err := NewDirectory([]Workspace{limitedWorkspace("a", "secret")})
	g.Expect(err).NotTo(HaveOccurred())
	_, key, err := d.Authenticate([]string{"Bearer another-secret"})
	for _, text := range []string{fmt.Sprint(err), fmt.Sprint(key), fmt.Sprintf("%v", *d.All()[0]), key.Fingerprint()} {
		g.Expect(text).NotTo(ContainSubstring("secret"))
	}
	g.Expect(key.Fingerprint()).To(HaveLen(2 * fingerprintBytes))
	g.Expect(strings.Contains(err.Error(), key.Fingerprint())).To(BeTrue())
}

func TestLimitCost(t *testing.T) {
	g := NewWithT(t)
	tokens := Limit{Unit: Tokens, PlainTokens: 200}
	g.Expect(tokens.Cost(5000, 800)).To(Equal(5800.0))
	g.Expect(tokens.Cost(0, 0)).To(Equal(200.0))
	g.Expect(Limit{Unit: Requests}.Cost(5000, 800)).To(Equal(1.0))
}

func BenchmarkAuthenticate(b *testing.B) {
	var list []Workspace
	for i := range 3000 {
		list = append(list, limitedWorkspace(fmt.Sprint("w", i), fmt.Sprint("key-", i), fmt.Sprint("other-", i)))
	}
	d, err := NewDirectory(list)
	if err != nil {
		b.Fatal(err)
	}
	values := []string{"Bearer key-1500"}
	for b.Loop() {
		if _, _, err := d.Authenticate(values); err != nil {
			b.Fatal(err)
		}
	}
}
