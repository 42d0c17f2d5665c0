package engine

import "fmt"

// Codes of ErrEngine.
const (
	// CodeFull says that the KV memory or the batch is full.
	CodeFull = "full"
	// CodeGone says that the named export or work does not exist any more.
	CodeGone = "gone"
	// CodeFenced says that a newer fence was accepted before.
	CodeFenced = "fenced"
	// CodeStalled says that a transfer made no progress.
	CodeStalled = "stalled"
	// CodeModel says that the engine does not run the named model.
	CodeModel = "model"
	// CodeMoved says that the work was handed over while it ran.
	CodeMoved = "moved"
	// CodeBroken says that the engine failed by itself.
	CodeBroken = "broken"
)

// ErrEngine is an error that the engine answered with.
type ErrEngine struct {
	// Code is one of the Code constants.
	Code string `json:"code"`
	// Detail is for people.
	Detail string `json:"detail"`
}

// Error implements error.
func (e *ErrEngine) Error() string {
	return fmt.Sprintf("engine refused: code=%s detail=%q", e.Code, e.Detail)
}

// ErrUnreachable reports that a runner gave no complete answer.
type ErrUnreachable struct {
	// Address is the runner's.
	Address string
	// Sent is false when the request certainly never reached the runner.
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
