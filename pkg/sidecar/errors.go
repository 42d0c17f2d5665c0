package sidecar

import (
	"context"
	"errors"
	"fmt"

	"github.com/hopwell/hopwell/pkg/engine"
)

// ErrOrder reports an order that is not allowed in the present state. Want
// names what the order requires.
type ErrOrder struct {
	Want string
}

// Error implements error.
func (e *ErrOrder) Error() string { return fmt.Sprintf("order out of turn: want=%s", e.Want) }

// failureCode returns the code that reports an attempt's failure to the
// gateway.
func failureCode(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		if isLeaseExpired(cause) {
			return CodeLapsed
		}
		return CodeCancelled
	}
	var engineErr *engine.ErrEngine
	if errors.As(err, &engineErr) {
		return engineErr.Code
	}
	return CodeRunner
}

// isCode reports whether an error is an engine's error with that code.
func isCode(err error, code string) bool {
	var engineErr *engine.ErrEngine
	return errors.As(err, &engineErr) && engineErr.Code == code
}
