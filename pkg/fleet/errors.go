package fleet

import "fmt"

// ErrMatch reports that a label expression can't be read.
type ErrMatch struct {
	// Text is the whole expression, Part the test that is wrong.
	Text, Part string
	// Expected says what would be right.
	Expected string
}

// Error implements error.
func (e *ErrMatch) Error() string {
	return fmt.Sprintf("bad match expression: text=%q part=%q expected=%q", e.Text, e.Part, e.Expected)
}

// ErrSelector reports that a selector's field is wrong.
type ErrSelector struct {
	Name, Field, Expected string
}

// Error implements error.
func (e *ErrSelector) Error() string {
	return fmt.Sprintf("bad selector: name=%q field=%q expected=%q", e.Name, e.Field, e.Expected)
}

// ErrUnknownSelector reports that no selector has that name.
type ErrUnknownSelector struct {
	Name string
}

// Error implements error.
func (e *ErrUnknownSelector) Error() string {
	return fmt.Sprintf("no such selector: name=%q", e.Name)
}

// ErrLabel reports that a label is wrong.
type ErrLabel struct {
	Instance, Key, Value, Expected string
}

// Error implements error.
func (e *ErrLabel) Error() string {
	return fmt.Sprintf("bad label: instance=%q key=%q value=%q expected=%q", e.Instance, e.Key, e.Value, e.Expected)
}

// ErrConflict reports that somebody else changed the same thing since the
// operator looked. Both sides are shown.
type ErrConflict struct {
	// Base is the revision that the operator saw, Revision the present one.
	Base, Revision uint64
	// Touched is what both wrote; empty when Base is too old to tell.
	Touched string
	// By is the ID of the other change.
	By string
	// Theirs and Mine are the two values.
	Theirs, Mine string
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("conflicting change: base=%d revision=%d touched=%q by=%q theirs=%q mine=%q",
		e.Base, e.Revision, e.Touched, e.By, e.Theirs, e.Mine)
}

// ErrDocument reports that a stored document can't be read.
type ErrDocument struct {
	Err error
}

// Error implements error.
func (e *ErrDocument) Error() string { return fmt.Sprintf("bad document: cause=%v", e.Err) }

// Unwrap returns the cause.
func (e *ErrDocument) Unwrap() error { return e.Err }

// ErrDuration reports that a text is no duration.
type ErrDuration struct {
	Text string
}

// Error implements error.
func (e *ErrDuration) Error() string {
	return fmt.Sprintf("bad duration: text=%q expected=%q", e.Text, e.Expected())
}

// Expected says what would be right.
func (e *ErrDuration) Expected() string { return "a number with a unit, as 63ms or 1.4s" }

// ErrNoRunner reports that a change would leave a request kind without a runner.
type ErrNoRunner struct {
	Kind, Model string
	Role        Role
}

// Error implements error.
func (e *ErrNoRunner) Error() string {
	return fmt.Sprintf("no runner left: kind=%s model=%s role=%s", e.Kind, e.Model, e.Role)
}
