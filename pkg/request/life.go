// Package request is the life of one request at its gateway: its attempts, the
// order of its chunks and its single outcome. It does no I/O; the gateway tells
// it what happened and it says what may happen next.
package request

import (
	"fmt"
	"sync"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Pending is not over yet.
	Pending Outcome = ""
	// Done means that the whole answer went to the caller.
	Done Outcome = "done"
	// NotRun means that no runner began it and none will.
	NotRun Outcome = "not_run"
	// Unknown means that a runner may have run it, in whole or in part.
	Unknown Outcome = "unknown"
)

// Phase is how far an attempt has come.
type Phase int

// The phases of an attempt, in order.
const (
	// Opened: asked for admission only. Nothing can have run.
	Opened Phase = iota
	// Sent: an order to run was given to the transport, so it may have run.
	Sent
	// Closed: it runs no more; chunks of it are dropped.
	Closed
)

// attempt is one try at running the request.
type attempt struct {
	phase Phase
	// sent counts the orders of it that a runner may have begun.
	sent int
}

// Life is the state of one request. It is safe for concurrent use.
type Life struct {
	id         string
	repeatable bool

	mu       sync.Mutex
	attempts []attempt
	next     int
	early    map[int]piece
	outcome  Outcome
	written  []byte
}

// piece is a chunk that came before its turn.
type piece struct {
	tokens int
	text   string
}

// maxEarly bounds the chunks kept for later.
const maxEarly = 1024

// NewLife begins a request. A request that is not repeatable is sent to at most
// one runner that may run it.
func NewLife(id string, repeatable bool) *Life {
	return &Life{id: id, repeatable: repeatable, early: map[int]piece{}}
}

// ID returns the request's ID.
func (l *Life) ID() string { return l.id }

// Begin opens the next attempt and closes all before it. Attempts count from 1.
// It fails with *ErrFinished after the outcome and with *ErrMayHaveRun when the
// request must not be repeated and an earlier attempt may have run.
func (l *Life) Begin() (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcome != Pending {
		return 0, &ErrFinished{ID: l.id, Outcome: l.outcome}
	}
	if !l.repeatable && l.mayHaveRun() {
		return 0, &ErrMayHaveRun{ID: l.id, Attempts: len(l.attempts)}
	}
	for i := range l.attempts {
		l.attempts[i].phase = Closed
	}
	l.early = map[int]piece{}
	l.attempts = append(l.attempts, attempt{})
	return len(l.attempts), nil
}

// Send records that an order to run is about to be written. It must be called
// before the first byte of the order goes out, and the order must not go out
// when it fails.
func (l *Life) Send(n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, err := l.live(n)
	if err != nil {
		return err
	}
	a.phase = Sent
	a.sent++
	return nil
}

// Withdraw takes one Send of an attempt back: the runner answered that it has
// not begun the order and never will.
func (l *Life) Withdraw(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 1 || n > len(l.attempts) || l.attempts[n-1].sent == 0 {
		return
	}
	a := &l.attempts[n-1]
	a.sent--
	if a.sent == 0 && a.phase == Sent {
		a.phase = Opened
	}
}

// NeverRan records a runner's word that an attempt has not begun and never will.
func (l *Life) NeverRan(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 1 || n > len(l.attempts) {
		return
	}
	l.attempts[n-1] = attempt{phase: Closed}
}

// live returns an attempt that is neither superseded nor over.
func (l *Life) live(n int) (*attempt, error) {
	if l.outcome != Pending {
		return nil, &ErrFinished{ID: l.id, Outcome: l.outcome}
	}
	if n != len(l.attempts) || n < 1 || l.attempts[n-1].phase == Closed {
		return nil, &ErrSuperseded{ID: l.id, Attempt: n}
	}
	return &l.attempts[n-1], nil
}

func (l *Life) mayHaveRun() bool {
	for _, a := range l.attempts {
		if a.sent > 0 {
			return true
		}
	}
	return false
}

// MayHaveRun reports whether any attempt may have run.
func (l *Life) MayHaveRun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayHaveRun()
}

// Chunk takes a run of tokens of an attempt and returns the text that the
// caller may now have, in order and without repetition. Offset counts the
// tokens before the chunk. It fails with *ErrSuperseded, *ErrFinished or
// *ErrChunk; the chunk is then dropped.
func (l *Life) Chunk(n, offset, tokens int, text string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.live(n); err != nil {
		return "", err
	}
	if tokens <= 0 || offset < 0 {
		return "", &ErrChunk{ID: l.id, Offset: offset, Next: l.next}
	}
	if offset+tokens <= l.next {
		return "", nil
	}
	if offset < l.next {
		return "", &ErrChunk{ID: l.id, Offset: offset, Next: l.next}
	}
	if len(l.early) >= maxEarly {
		return "", &ErrChunk{ID: l.id, Offset: offset, Next: l.next}
	}
	l.early[offset] = piece{tokens, text}
	return l.release(), nil
}

// release joins the pieces whose turn has come.
func (l *Life) release() string {
	start := len(l.written)
	for {
		p, ok := l.early[l.next]
		if !ok {
			return string(l.written[start:])
		}
		delete(l.early, l.next)
		l.next += p.tokens
		l.written = append(l.written, p.text...)
	}
}

// Progress returns the tokens that the caller has and their text: where a
// resumed attempt goes on.
func (l *Life) Progress() (tokens int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, string(l.written)
}

// End takes an attempt's end with the count of all tokens of the answer. The
// request is Done when all of them came; otherwise *ErrIncomplete.
func (l *Life) End(n, total int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.live(n); err != nil {
		return err
	}
	if l.next != total {
		return &ErrIncomplete{ID: l.id, Have: l.next, Want: total}
	}
	l.outcome = Done
	return nil
}

// GiveUp ends a request that can't be answered whole and returns its outcome:
// NotRun only if no attempt can have run. After the outcome it changes nothing.
func (l *Life) GiveUp() Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcome != Pending {
		return l.outcome
	}
	l.outcome = NotRun
	if l.mayHaveRun() {
		l.outcome = Unknown
	}
	return l.outcome
}

// Outcome returns Pending until the request is over.
func (l *Life) Outcome() Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcome
}

// Attempts returns how many attempts were begun.
func (l *Life) Attempts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts)
}

// String is for logs.
func (l *Life) String() string {
	return fmt.Sprintf("request=%s attempts=%d outcome=%s", l.id, l.Attempts(), l.Outcome())
}
