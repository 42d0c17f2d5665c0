package sidecar

import (
	"context"
	"errors"
	"fmt"

	"github.com/hopwell/hopwell/pkg/engine"
)

// ErrOrder reports that a gateway's order came out of turn.
type ErrOrder struct {
	Want string
}

// Error implements error.
func (e *ErrOrder) Error() string { return fmt.Sprintf("order out of turn: want=%s", e.Want) }

// failureCode names an attempt's failure for the gateway.
func failureCode(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		if lapsed(cause) {
			return CodeLapsed
		}
		return CodeCancelled
	}
	var refused *engine.ErrEngine
	if errors.As(err, &refused) {
		return refused.Code
	}
	return CodeRunner
}

// isCode reports whether an engine answered with that code.
func isCode(err error, code string) bool {
	var refused *engine.ErrEngine
	return errors.As(err, &refused) && refused.Code == code
}
