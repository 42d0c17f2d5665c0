package fleet

import (
	"time"
)

// Role is the part that an instance plays in serving a request.
type Role string

// Roles that a selector can grant.
const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode Role = "decode"
	// RoleServe handles the calls to a plain service.
	RoleServe Role = "serve"
)

// AnyKind as Selector.Kind matches every request kind.
const AnyKind = "*"

// Selector grants a role for some requests to the instances whose labels match.
// Operators write selectors as YAML or JSON.
type Selector struct {
	// Name identifies the selector.
	Name string `yaml:"name" json:"name"`
	// Kind is the request kind that the selector is for, AnyKind for all kinds.
	Kind string `yaml:"kind" json:"kind"`
	// Role is the role that matching instances get.
	Role Role `yaml:"role" json:"role"`
	// Model is the name of the model, or of the plain service for RoleServe.
	Model string `yaml:"model" json:"model"`
	// Version and Adapter select a variant of the model; empty selects the
	// engine's default.
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	// Match is an expression over instance labels, in the syntax of ParseMatch.
	Match string `yaml:"match" json:"match"`
	// FirstToken and PerToken are the latency targets for the first token and for
	// each further token; 0 selects the default.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	PerToken   Duration `yaml:"per_token,omitempty" json:"per_token,omitempty"`
	// NotRepeatable marks requests that must run at most once.
	NotRepeatable bool `yaml:"not_repeatable,omitempty" json:"not_repeatable,omitempty"`
	// Priority orders request kinds when capacity is short; higher values are
	// served first. Workspace.Priority has the opposite order.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Default latency targets, for selectors that set none.
const (
	DefaultFirstToken = 1400 * time.Millisecond
	DefaultPerToken   = 63 * time.Millisecond
)

// maxPriority bounds Selector.Priority: it is in [-maxPriority, maxPriority].
const maxPriority = 100

// Targets returns the latency targets with the defaults filled in.
func (s *Selector) Targets() (firstToken, perToken time.Duration) {
	firstToken, perToken = time.Duration(s.FirstToken), time.Duration(s.PerToken)
	if firstToken == 0 {
		firstToken = DefaultFirstToken
	}
	if perToken == 0 {
		perToken = DefaultPerToken
	}
	return firstToken, perToken
}

// matchesRequest reports whether the selector grants the role for requests of a kind and
// model.
func (s *Selector) matchesRequest(kind, model string, role Role) bool {
	return s.Role == role && s.Model == model && (s.Kind == AnyKind || s.Kind == kind)
}

// check returns *ErrSelector for the first invalid field, or *ErrMatch for an
// invalid match expression.
func (s *Selector) check() error {
	invalid := func(field, expected string) error {
		return &ErrSelector{Name: s.Name, Field: field, Expected: expected}
	}
	if !validName(s.Name) {
		return invalid("name", "letters, digits and -_./:, at most 63")
	}
	if s.Kind != AnyKind && !validName(s.Kind) {
		return invalid("kind", `a request kind or "*"`)
	}
	if s.Role != RolePrefill && s.Role != RoleDecode && s.Role != RoleServe {
		return invalid("role", "prefill, decode or serve")
	}
	if !validName(s.Model) {
		return invalid("model", "the name of a model or plain service")
	}
	if s.Version != "" && !validName(s.Version) {
		return invalid("version", "letters, digits and -_./:, at most 63")
	}
	if s.Adapter != "" && !validName(s.Adapter) {
		return invalid("adapter", "letters, digits and -_./:, at most 63")
	}
	if s.FirstToken < 0 || s.PerToken < 0 {
		return invalid("first_token, per_token", "durations above 0")
	}
	if s.Priority < -maxPriority || s.Priority > maxPriority {
		return invalid("priority", "a number from -100 to 100")
	}
	if _, err := ParseMatch(s.Match); err != nil {
		return err
	}
	return nil
}

// Duration is a time.Duration that is written in settings as "1.4s" or "63ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &ErrDuration{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
