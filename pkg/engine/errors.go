package engine

import "fmt"

// Codes of ErrEngine.
const (
	// CodeFull reports that the KV memory or the batch is full.
	CodeFull = "full"
	// CodeGone reports that the given export or work no longer exists.
	CodeGone = "gone"
	// CodeFenced reports that the engine has already accepted a newer fence.
	CodeFenced = "fenced"
	// CodeStalled reports that a transfer made no progress.
	CodeStalled = "stalled"
	// CodeModel reports that the engine does not run the requested model.
	CodeModel = "model"
	// CodeMoved reports that the work was handed over while it was running.
	CodeMoved = "moved"
	// CodeBroken reports an internal failure of the engine.
	CodeBroken = "broken"
)

// ErrEngine is an error response of the engine.
type ErrEngine struct {
	// Code is one of the Code constants.
	Code string `json:"code"`
	// Detail is a description for operators.
	Detail string `json:"detail"`
}

// Error implements error.
func (e *ErrEngine) Error() string {
	return fmt.Sprintf("engine refused: code=%s detail=%q", e.Code, e.Detail)
}

// ErrUnreachable reports that no usable response of a runner arrived: none, an
// incomplete or a malformed one.
type ErrUnreachable struct {
	// Address is the address of the runner.
	Address string
	// Sent is false only if the request certainly never reached the runner.
	Sent bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ErrUnreachable) Error() string {
	return fmt.Sprintf("runner unreachable: address=%s sent=%t cause=%v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnreachable) Unwrap() error { return e.Err }
