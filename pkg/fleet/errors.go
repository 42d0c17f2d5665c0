package fleet

import "fmt"

// ErrMatch reports that a match expression can't be parsed.
type ErrMatch struct {
	// Text is the whole expression, Part the invalid test in it.
	Text, Part string
	// Expected describes what would be valid.
	Expected string
}

// Error implements error.
func (e *ErrMatch) Error() string {
	return fmt.Sprintf("bad match expression: text=%q part=%q expected=%q", e.Text, e.Part, e.Expected)
}

// ErrSelector reports an invalid field of a selector.
type ErrSelector struct {
	Name, Field, Expected string
}

// Error implements error.
func (e *ErrSelector) Error() string {
	return fmt.Sprintf("bad selector: name=%q field=%q expected=%q", e.Name, e.Field, e.Expected)
}

// ErrUnknownSelector reports that the document has no selector with a name.
type ErrUnknownSelector struct {
	Name string
}

// Error implements error.
func (e *ErrUnknownSelector) Error() string {
	return fmt.Sprintf("no such selector: name=%q", e.Name)
}

// ErrLabel reports an invalid label, or a label for an invalid instance name.
type ErrLabel struct {
	Instance, Key, Value, Expected string
}

// Error implements error.
func (e *ErrLabel) Error() string {
	return fmt.Sprintf("bad label: instance=%q key=%q value=%q expected=%q", e.Instance, e.Key, e.Value, e.Expected)
}

// ErrConflict reports that a change can't be rebased: another change wrote the
// same item after the change's base, or Document.Recent does not cover the base.
type ErrConflict struct {
	// Base is the revision of the document that the operator read before making the
	// change, Revision the current one.
	Base, Revision uint64
	// Touched is the item that both changes write. It is empty if Document.Recent does
	// not cover Base, or if Base is newer than Revision.
	Touched string
	// By is the ID of the other change.
	By string
	// Theirs is the current value of the item, Mine the value in the rejected change.
	Theirs, Mine string
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("conflicting change: base=%d revision=%d touched=%q by=%q theirs=%q mine=%q",
		e.Base, e.Revision, e.Touched, e.By, e.Theirs, e.Mine)
}

// ErrDocument reports that a stored document can't be decoded.
type ErrDocument struct {
	Err error
}

// Error implements error.
func (e *ErrDocument) Error() string { return fmt.Sprintf("bad document: cause=%v", e.Err) }

// Unwrap returns the cause.
func (e *ErrDocument) Unwrap() error { return e.Err }

// ErrDuration reports a text that can't be parsed as a duration.
type ErrDuration struct {
	Text string
}

// Error implements error.
func (e *ErrDuration) Error() string {
	return fmt.Sprintf("bad duration: text=%q expected=%q", e.Text, e.Expected())
}

// Expected describes what would be valid.
func (e *ErrDuration) Expected() string { return "a number with a unit, as 63ms or 1.4s" }

// ErrNoRunner reports that a change would leave a request kind without a runner
// for a model and role.
type ErrNoRunner struct {
	Kind, Model string
	Role        Role
}

// Error implements error.
func (e *ErrNoRunner) Error() string {
	return fmt.Sprintf("no runner left: kind=%s model=%s role=%s", e.Kind, e.Model, e.Role)
}
