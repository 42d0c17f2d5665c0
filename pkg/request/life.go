// Package request tracks the state of one request at its gateway: its attempts, the order of its
// chunks and its single outcome. It does no I/O. The gateway reports events to it, and it decides
// which steps are allowed next.
package request

import (
	"fmt"
	"sync"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// Pending means that the request has not ended.
	Pending Outcome = ""
	// Done means that the complete response was delivered to the client.
	Done Outcome = "done"
	// NotRun means that no runner started the request and none will.
	NotRun Outcome = "not_run"
	// Unknown means that a runner may have run the request, in whole or in part.
	Unknown Outcome = "unknown"
)

// Phase is the phase of an attempt.
type Phase int

// The phases of an attempt, in order.
const (
	// Opened means that no order to run was sent, at most a request for admission. Nothing can have
	// run. For a prefill the Open message is itself the order, so Send is called before it.
	Opened Phase = iota
	// Sent means that an order to run is about to be written or was written, so the attempt may
	// have run.
	Sent
	// Closed means that the attempt has ended. Its chunks are dropped.
	Closed
)

// attempt is one attempt to run the request.
type attempt struct {
	phase Phase
	// sent counts the orders of the attempt that a runner may have started.
	sent int
}

// Life is the state of one request. It is safe for concurrent use.
type Life struct {
	id         string
	repeatable bool

	mu       sync.Mutex
	attempts []attempt
	next     int
	buffered map[int]bufferedChunk
	outcome  Outcome
	accepted []byte
}

// bufferedChunk is a chunk that arrived out of order.
type bufferedChunk struct {
	tokens int
	text   string
}

// maxBuffered limits the out-of-order chunks kept per request.
const maxBuffered = 1024

// NewLife returns the state of a new request. If the request is not repeatable, it is not sent
// again once an attempt may have run.
func NewLife(id string, repeatable bool) *Life {
	return &Life{id: id, repeatable: repeatable, buffered: map[int]bufferedChunk{}}
}

// ID returns the request's ID.
func (l *Life) ID() string { return l.id }

// Begin starts the next attempt and closes all earlier ones. Attempts are numbered from 1. It fails
// with *ErrFinished after the outcome is set, and with *ErrMayHaveRun if the request must not be
// repeated and an earlier attempt may have run.
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
	l.buffered = map[int]bufferedChunk{}
	l.attempts = append(l.attempts, attempt{})
	return len(l.attempts), nil
}

// Send records that an order to run is about to be sent. It must be called before the first byte of
// the order is written. If it fails, the order must not be sent.
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

// Withdraw undoes one Send of an attempt, after the runner reported that it has not started that
// order and never will. NeverRan does the same for all orders of the attempt.
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

// NeverRan records that, according to its runner, an attempt has not started any of its orders and
// never will. It closes the attempt.
func (l *Life) NeverRan(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 1 || n > len(l.attempts) {
		return
	}
	l.attempts[n-1] = attempt{phase: Closed}
}

// live returns an attempt that is the newest one and not Closed, of a request without an outcome.
// l.mu must be held.
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

// Chunk adds a chunk of an attempt and returns the text that can be delivered next, in order and
// without repetition. The offset is the number of tokens before the chunk. Chunk fails with
// *ErrSuperseded, *ErrFinished or *ErrChunk; the chunk is then dropped.
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
	if len(l.buffered) >= maxBuffered {
		return "", &ErrChunk{ID: l.id, Offset: offset, Next: l.next}
	}
	l.buffered[offset] = bufferedChunk{tokens, text}
	return l.takeReady(), nil
}

// takeReady removes the buffered chunks that are next in order and returns their text.
func (l *Life) takeReady() string {
	start := len(l.accepted)
	for {
		p, ok := l.buffered[l.next]
		if !ok {
			return string(l.accepted[start:])
		}
		delete(l.buffered, l.next)
		l.next += p.tokens
		l.accepted = append(l.accepted, p.text...)
	}
}

// Progress returns the number of tokens that Chunk returned for delivery, and their text. A resumed
// attempt continues after them.
func (l *Life) Progress() (tokens int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, string(l.accepted)
}

// End records the end of an attempt, with the total number of tokens of the response. The request
// is Done if all of them arrived; otherwise End fails with *ErrIncomplete.
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

// GiveUp ends a request that can't be completed and returns its outcome: NotRun only if no attempt
// can have run. It changes nothing if the request already has an outcome.
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

// Outcome returns Pending until the request has ended.
func (l *Life) Outcome() Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcome
}

// Attempts returns the number of attempts started.
func (l *Life) Attempts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts)
}

// String describes the request for logs.
func (l *Life) String() string {
	return fmt.Sprintf("request=%s attempts=%d outcome=%s", l.id, l.Attempts(), l.Outcome())
}
