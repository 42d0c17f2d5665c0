package request

import "fmt"

// ErrFinished reports that the request already has an outcome.
type ErrFinished struct {
	ID      string
	Outcome Outcome
}

// Error implements error.
func (e *ErrFinished) Error() string {
	return fmt.Sprintf("request is over: request=%s outcome=%s", e.ID, e.Outcome)
}

// ErrSuperseded reports that a later attempt replaced this one.
type ErrSuperseded struct {
	ID      string
	Attempt int
}

// Error implements error.
func (e *ErrSuperseded) Error() string {
	return fmt.Sprintf("attempt superseded: request=%s attempt=%d", e.ID, e.Attempt)
}

// ErrMayHaveRun reports that a request that must not be repeated may have run.
type ErrMayHaveRun struct {
	ID       string
	Attempts int
}

// Error implements error.
func (e *ErrMayHaveRun) Error() string {
	return fmt.Sprintf("request may have run and must not be repeated: request=%s attempts=%d", e.ID, e.Attempts)
}

// ErrChunk reports that a chunk does not fit the response received so far.
type ErrChunk struct {
	ID           string
	Offset, Next int
}

// Error implements error.
func (e *ErrChunk) Error() string {
	return fmt.Sprintf("chunk out of place: request=%s offset=%d next=%d", e.ID, e.Offset, e.Next)
}

// ErrIncomplete reports that a response ended with tokens missing.
type ErrIncomplete struct {
	ID         string
	Have, Want int
}

// Error implements error.
func (e *ErrIncomplete) Error() string {
	return fmt.Sprintf("answer incomplete: request=%s have=%d want=%d", e.ID, e.Have, e.Want)
}
