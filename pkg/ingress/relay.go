package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// eventBuffer is the size of the buffer in which events are found, in bytes.
	eventBuffer = 4096
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// ErrEvent reports that a stream holds what is no event.
type ErrEvent struct {
	Bytes int
	Why   string
}

// Error implements error.
func (e *ErrEvent) Error() string { return "bad event: why=" + e.Why }

// relay passes a stream's events on, one by one and each once, whichever runner
// they come from.
type relay struct {
	s *generation
	// begun is set once the client has the head.
	begun bool
	// last is the ID of the last event that the client has.
	last   string
	runner string
	events int
	// written is when the last event was written, pause the longest time between
	// two of them.
	written    time.Time
	longestGap time.Duration
}

// pass passes the events of an answer on until its end.
func (r *relay) pass(n int, runner *runners.State, a *Answer) (sendResult, error) {
	r.runner = runner.ID
	began, before := time.Now(), r.events
	in := bufio.NewReaderSize(a.Body, eventBuffer)
	for {
		event, err := readEvent(in)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return r.whole(n, runner, a, began)
		}
		if err != nil {
			return r.streamBroken(runner, r.events == before, err)
		}
		r.s.pool.Made(runner.ID, r.s.job.ID, (r.events+1)*max(1, r.s.engine.TokensPerEvent), time.Now())
		if err := r.write(a, event); err != nil {
			return mayHaveRun, errClientGone{}
		}
	}
}

// whole ends the client's answer.
func (r *relay) whole(n int, runner *runners.State, a *Answer, began time.Time) (sendResult, error) {
	if !r.begun {
		r.head(a)
	}
	runner.Answered(time.Since(began))
	r.s.pool.Lengths.Learn(r.s.lengthHint(), r.events*r.s.engine.TokensPerEvent)
	r.s.exchange.recordEnd(r.s.life, n)
	r.s.recordCompleted()
	r.s.finish(a.Status, nil, decisionlog.F("runner", runner.ID), decisionlog.F("events", r.events), decisionlog.F("pause", r.longestGap))
	return responded, nil
}

// broke records a stream that ended before its end, before its runner had made an event of it
// if early.
func (r *relay) streamBroken(runner *runners.State, early bool, err error) (sendResult, error) {
	r.s.failedDecode[runner.ID] = true
	if gone := r.s.endReason(); gone != nil {
		return mayHaveRun, gone
	}
	runner.Failed(time.Now())
	r.s.logFailedStep("stream_broken", runner.ID, err, decisionlog.F("events", r.events), decisionlog.F("last", r.last),
		decisionlog.F("asked", r.s.digest()))
	r.s.exchange.reportBrokenRun(runner, early, err)
	return mayHaveRun, &ErrBroken{Runner: runner.ID, After: r.last, Err: err}
}

// head sends the head of the first answer, which stays that of the whole.
func (r *relay) head(a *Answer) {
	r.begun = true
	r.s.g.metrics.firstEvent.UpdateDuration(r.s.arrived)
	r.s.fields = append(r.s.fields, decisionlog.F("first_event", time.Since(r.s.arrived)))
	r.s.copyHeader(a)
	r.s.w.WriteHeader(a.Status)
}

// write passes one event on, unless the client has it already.
func (r *relay) write(a *Answer, event []byte) error {
	id := eventID(event)
	if id != "" && !later(id, r.last) {
		return nil
	}
	if !r.begun {
		r.head(a)
	}
	if _, err := r.s.w.Write(event); err != nil {
		return err
	}
	if err := r.s.w.FlushError(); err != nil {
		return err
	}
	now := time.Now()
	if r.events > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.written))
	}
	r.written = now
	r.events++
	if id != "" {
		r.last = id
	}
	return nil
}

// readEvent returns the next event with the empty line that ends it. At the end
// of the stream it returns what is left, with the cause.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return event, &ErrEvent{Bytes: len(event), Why: "too long"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event, err
		}
		if blank(line) {
			return event, nil
		}
	}
}

func blank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

// eventID returns the ID of an event, empty for none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// later reports whether an event's ID is above another; IDs are whole numbers.
func later(id, last string) bool {
	if last == "" {
		return true
	}
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}
