// Package fleet says which instances may serve what. It holds the operators'
// configuration document (labels and selectors), the rules by which the
// document changes, and the view of the live fleet under it. All of it is pure:
// time and I/O belong to the callers.
package fleet

import (
	"maps"
	"strings"
)

// Labels are an instance's labels, key to value.
type Labels map[string]string

// Labels that every instance has, whatever operators set.
const (
	LabelInstance = "instance"
	LabelDomain   = "domain"
	LabelRegion   = "region"
)

// LabelLeaving, set to "true" by operators, takes an instance out of all
// selectors: it gets no new work.
const LabelLeaving = "leaving"

// Leaving reports whether operators take the instance out of service.
func (l Labels) Leaving() bool { return l[LabelLeaving] == "true" }

// maxName bounds names, label keys and label values, in bytes.
const maxName = 63

// validName reports whether s can be a name, a label's key or its value.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		if !validRune(r) {
			return false
		}
	}
	return true
}

func validRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("-_./:", r)
}

// ValidInstance reports whether s can be an instance's, failure domain's or
// region's name.
func ValidInstance(s string) bool { return validName(s) && !strings.Contains(s, "/") }

// ValidLabel reports whether an instance's settings may give this label.
func ValidLabel(key, value string) bool { return validName(key) && validName(value) }

// merge lays over on top of base. An empty value in over removes a key.
func merge(base, over Labels) Labels {
	out := maps.Clone(base)
	if out == nil {
		out = Labels{}
	}
	for k, v := range over {
		if v == "" {
			delete(out, k)
			continue
		}
		out[k] = v
	}
	return out
}
