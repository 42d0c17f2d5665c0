// Package fleet determines which instances may serve which requests. It holds
// the operators' configuration document, the rules by which the document
// changes, the membership of the fleet, and the view that combines members and
// document. It reads no clock and does no I/O: its callers pass in times and data.
package fleet

import (
	"maps"
	"strings"
)

// Labels are the labels of an instance, by key.
type Labels map[string]string

// Keys of the labels that every instance has. Operators can't change them.
const (
	LabelInstance = "instance"
	LabelDomain   = "domain"
	LabelRegion   = "region"
)

// LabelLeaving is the key of the label by which operators take an instance out
// of service. An instance with the value "true" gets no new work under any
// selector.
const LabelLeaving = "leaving"

// Leaving reports whether LabelLeaving takes the instance out of service.
func (l Labels) Leaving() bool { return l[LabelLeaving] == "true" }

// maxName is the maximum length of names, label keys and label values, in bytes.
const maxName = 63

// validName reports whether s is valid as a name, label key or label value.
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

// ValidInstance reports whether s is valid as the name of a location: an instance,
// a failure domain or a region. Unlike other names it contains no slash.
func ValidInstance(s string) bool { return validName(s) && !strings.Contains(s, "/") }

// ValidLabel reports whether key and value are valid for a label in an instance's
// settings.
func ValidLabel(key, value string) bool { return validName(key) && validName(value) }

// merge returns base overlaid with over. An empty value in over removes the key.
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
