// Package workspace holds the workspaces that share a system: which keys speak for them,
// how urgent their requests are, and how much they may use. Keys are kept as digests; what
// is written of one anywhere is its fingerprint.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// Digest is what is kept of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is how much of a digest a fingerprint shows: enough to tell some
// thousand keys apart, far too little to find one.
const fingerprintBytes = 4

// Fingerprint returns a short text that tells a key from others in logs.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String implements fmt.Stringer, so that a digest that is printed by accident shows no
// more than its fingerprint.
func (d Digest) String() string { return d.Fingerprint() }

// Unit is what a limit counts.
type Unit string

// The units.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the tokens of the prompt and the most that the answer may have.
	Tokens Unit = "tokens"
)

// Limit bounds what a workspace uses at all gateways together.
type Limit struct {
	Unit Unit
	// Rate is how many units it may use a second, 0 for any number, and Burst how many
	// more at once.
	Rate, Burst float64
	// PlainTokens is what a request without a number of tokens counts, where the unit
	// is Tokens.
	PlainTokens float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// Cost returns how many units a request takes that says how many tokens its prompt has
// and its answer may have, both 0 if it does not say.
func (l Limit) Cost(prompt, answer int) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case prompt+answer > 0:
		return float64(prompt + answer)
	default:
		return l.PlainTokens
	}
}

// Workspace is one user of the system.
type Workspace struct {
	Name string
	Keys []Digest
	// Priority ranks its requests in place of the route's, 0 first; nil leaves the
	// route's.
	Priority *int
	Limit    Limit
	// Regions are those in which its requests may be served; empty for all.
	Regions []string
}

// ErrWorkspace reports a fault in the configuration of a workspace.
type ErrWorkspace struct {
	// Workspace is its name, Index its place in the list.
	Workspace string
	Index     int
	// Field is what is wrong, Expected what should stand there.
	Field, Expected string
}

// Error implements error.
func (e *ErrWorkspace) Error() string {
	return fmt.Sprintf("bad workspace: workspace=%q index=%d field=%q expected=%q", e.Workspace, e.Index, e.Field, e.Expected)
}

// Directory finds the workspace of a key. It does not change.
type Directory struct {
	all   []*Workspace
	byKey map[Digest]*Workspace
	names map[string]*Workspace
}

// NewDirectory checks workspaces and makes their directory. It fails with *ErrWorkspace.
func NewDirectory(list []Workspace) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Workspace{}, names: map[string]*Workspace{}}
	for i := range list {
		w := &list[i]
		if err := d.add(w, i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(w *Workspace, index int) error {
	bad := func(field, expected string) error { return &ErrWorkspace{w.Name, index, field, expected} }
	if w.Name == "" {
		return bad("name", "a name")
	}
	if d.names[w.Name] != nil {
		return bad("name", "a name that no other workspace has")
	}
	if w.Priority != nil && *w.Priority < 0 {
		return bad("priority", "a number of 0 or more")
	}
	if !amount(w.Limit.Rate) {
		return bad("limit.rate", "a number of 0 or more")
	}
	if !amount(w.Limit.Burst) {
		return bad("limit.burst", "a number of 0 or more")
	}
	if !amount(w.Limit.PlainTokens) {
		return bad("limit.plain_tokens", "a number of 0 or more")
	}
	if w.Limit.Unit != Requests && w.Limit.Unit != Tokens {
		return bad("limit.unit", "requests or tokens")
	}
	for _, key := range w.Keys {
		if d.byKey[key] != nil {
			return bad("keys", "keys that stand once, not "+key.Fingerprint()+" again")
		}
		d.byKey[key] = w
	}
	d.all = append(d.all, w)
	d.names[w.Name] = w
	return nil
}

// amount reports whether a number can be an amount.
func amount(n float64) bool { return n >= 0 && !math.IsInf(n, 0) && !math.IsNaN(n) }

// ByKey returns the workspace that a key speaks for, nil for none.
func (d *Directory) ByKey(key Digest) *Workspace { return d.byKey[key] }

// Named returns the workspace with a name, nil for none.
func (d *Directory) Named(name string) *Workspace { return d.names[name] }

// All returns the workspaces as they were given; none of a nil directory.
func (d *Directory) All() []*Workspace {
	if d == nil {
		return nil
	}
	return d.all
}

// Len returns how many workspaces there are.
func (d *Directory) Len() int { return len(d.all) }
