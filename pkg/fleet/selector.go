package fleet

import (
	"time"
)

// Role is what an instance does for a request.
type Role string

// The roles that selectors may give.
const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode Role = "decode"
	// RoleServe answers the calls of a plain service.
	RoleServe Role = "serve"
)

// AnyKind in a selector's Kind matches every request kind.
const AnyKind = "*"

// Selector says which labelled instances may serve which requests, in which
// role. The YAML and JSON keys are the operators' language.
type Selector struct {
	// Name identifies the selector.
	Name string `yaml:"name" json:"name"`
	// Kind is the request kind that it serves, AnyKind for all.
	Kind string `yaml:"kind" json:"kind"`
	// Role is the work that matching instances do.
	Role Role `yaml:"role" json:"role"`
	// Model is the model's name, or the plain service's for RoleServe.
	Model string `yaml:"model" json:"model"`
	// Version and Adapter refine the model; empty means the engine's default.
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	// Match is a ParseMatch expression over instance labels.
	Match string `yaml:"match" json:"match"`
	// FirstToken and PerToken are the latency targets. 0 takes the default.
	FirstToken Duration `yaml:"first_token,omitempty" json:"first_token,omitempty"`
	PerToken   Duration `yaml:"per_token,omitempty" json:"per_token,omitempty"`
	// NotRepeatable marks requests that run at most once.
	NotRepeatable bool `yaml:"not_repeatable,omitempty" json:"not_repeatable,omitempty"`
	// Priority orders request kinds when capacity is short; larger goes first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// The letter's targets, for selectors that name none.
const (
	DefaultFirstToken = 1400 * time.Millisecond
	DefaultPerToken   = 63 * time.Millisecond
)

// maxPriority bounds Selector.Priority on both sides.
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

// serves reports whether the selector is for such requests.
func (s *Selector) serves(kind, model string, role Role) bool {
	return s.Role == role && s.Model == model && (s.Kind == AnyKind || s.Kind == kind)
}

// check returns *ErrSelector for the first fault found.
func (s *Selector) check() error {
	fault := func(field, expected string) error {
		return &ErrSelector{Name: s.Name, Field: field, Expected: expected}
	}
	if !validName(s.Name) {
		return fault("name", "letters, digits and -_./:, at most 63")
	}
	if s.Kind != AnyKind && !validName(s.Kind) {
		return fault("kind", `a request kind or "*"`)
	}
	if s.Role != RolePrefill && s.Role != RoleDecode && s.Role != RoleServe {
		return fault("role", "prefill, decode or serve")
	}
	if !validName(s.Model) {
		return fault("model", "the name of a model or plain service")
	}
	if s.Version != "" && !validName(s.Version) {
		return fault("version", "letters, digits and -_./:, at most 63")
	}
	if s.Adapter != "" && !validName(s.Adapter) {
		return fault("adapter", "letters, digits and -_./:, at most 63")
	}
	if s.FirstToken < 0 || s.PerToken < 0 {
		return fault("first_token, per_token", "durations above 0")
	}
	if s.Priority < -maxPriority || s.Priority > maxPriority {
		return fault("priority", "a number from -100 to 100")
	}
	if _, err := ParseMatch(s.Match); err != nil {
		return err
	}
	return nil
}

// Duration is a time.Duration that settings write as "1.4s" or "63ms".
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
