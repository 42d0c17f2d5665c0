// Package workspace holds the workspaces that share a system: their keys, the priority of their
// requests, and their limits. Only digests of keys are stored; logs and other output show no more
// of a key than its fingerprint.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is how many bytes of a digest a fingerprint shows: enough to distinguish several
// thousand keys, far too few to recover or guess a key.
const fingerprintBytes = 4

// Fingerprint returns a short text that identifies a key in logs.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String implements fmt.Stringer, so that a digest printed by accident shows no more than its
// fingerprint.
func (d Digest) String() string { return d.Fingerprint() }

// Unit is what a limit counts.
type Unit string

// Units of a limit.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the tokens of the prompt and the most that the response may have.
	Tokens Unit = "tokens"
)

// Limit bounds what a workspace uses at all gateways together.
type Limit struct {
	Unit Unit
	// Rate is how many units the workspace may use per second, 0 for no limit. Burst is how many
	// more it may use at once.
	Rate, Burst float64
	// PlainTokens is the cost, in tokens, of a request that states neither the length of its prompt
	// nor the maximum length of its response. It applies if Unit is Tokens.
	PlainTokens float64
}

// Bounded reports whether the rate is limited.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// Cost returns the cost of a request, in units of the limit. prompt is the number of tokens of
// its prompt, maxResponse the most that its response may have; both are 0 if the request states
// neither.
func (l Limit) Cost(prompt, maxResponse int) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case prompt+maxResponse > 0:
		return float64(prompt + maxResponse)
	default:
		return l.PlainTokens
	}
}

// Workspace is one tenant of the system.
type Workspace struct {
	Name string
	Keys []Digest
	// Priority replaces the priority of the route for the workspace's requests. 0 is served
	// first; nil keeps the priority of the route.
	Priority *int
	Limit    Limit
	// Regions lists the regions in which its requests may be served; empty means all.
	Regions []string
}

// ErrWorkspace reports an error in the configuration of a workspace.
type ErrWorkspace struct {
	// Workspace is the name of the workspace, Index its position in the list.
	Workspace string
	Index     int
	// Field is the invalid field, Expected a description of a valid value.
	Field, Expected string
}

// Error implements error.
func (e *ErrWorkspace) Error() string {
	return fmt.Sprintf("bad workspace: workspace=%q index=%d field=%q expected=%q", e.Workspace, e.Index, e.Field, e.Expected)
}

// Directory finds workspaces by key or name. It is immutable.
type Directory struct {
	all    []*Workspace
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// NewDirectory validates workspaces and returns a directory of them. It fails with *ErrWorkspace.
func NewDirectory(list []Workspace) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Workspace{}, byName: map[string]*Workspace{}}
	for i := range list {
		w := &list[i]
		if err := d.add(w, i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(w *Workspace, index int) error {
	invalid := func(field, expected string) error { return &ErrWorkspace{w.Name, index, field, expected} }
	if w.Name == "" {
		return invalid("name", "a name")
	}
	if d.byName[w.Name] != nil {
		return invalid("name", "a name that no other workspace has")
	}
	if w.Priority != nil && *w.Priority < 0 {
		return invalid("priority", "a number of 0 or more")
	}
	if !validAmount(w.Limit.Rate) {
		return invalid("limit.rate", "a number of 0 or more")
	}
	if !validAmount(w.Limit.Burst) {
		return invalid("limit.burst", "a number of 0 or more")
	}
	if !validAmount(w.Limit.PlainTokens) {
		return invalid("limit.plain_tokens", "a number of 0 or more")
	}
	if w.Limit.Unit != Requests && w.Limit.Unit != Tokens {
		return invalid("limit.unit", "requests or tokens")
	}
	for _, key := range w.Keys {
		if d.byKey[key] != nil {
			return invalid("keys", "keys that stand once, not "+key.Fingerprint()+" again")
		}
		d.byKey[key] = w
	}
	d.all = append(d.all, w)
	d.byName[w.Name] = w
	return nil
}

// validAmount reports whether a number is finite and not negative.
func validAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 0) && !math.IsNaN(n) }

// ByKey returns the workspace that the key with the given digest belongs to, or nil.
func (d *Directory) ByKey(digest Digest) *Workspace { return d.byKey[digest] }

// ByName returns the workspace with a name, or nil.
func (d *Directory) ByName(name string) *Workspace { return d.byName[name] }

// All returns the workspaces in the order in which they were given. A nil directory has none.
func (d *Directory) All() []*Workspace {
	if d == nil {
		return nil
	}
	return d.all
}

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.all) }
