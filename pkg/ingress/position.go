package ingress

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
)

// maxPosition limits the length, in bytes, of the IDs after which a gateway resumes a stream.
const maxPosition = 256

// byteOrderMark may stand at the beginning of a stream.
const byteOrderMark = "\ufeff"

// eventFields is what decides whether an event is passed to the client.
type eventFields struct {
	// id is the ID that the event sets, numbered whether it sets any. An empty ID resets that of the
	// events before.
	id       string
	numbered bool
	// data is set if the event has data. What has none is a comment or a setting of the client.
	data bool
}

// parseEvent returns the fields of an event by the rules of text/event-stream: the last ID counts, one
// with a NUL does not.
func parseEvent(event []byte) eventFields {
	var f eventFields
	event = bytes.TrimPrefix(event, []byte(byteOrderMark))
	for len(event) > 0 {
		line := event
		if end := bytes.IndexAny(event, "\r\n"); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				f.id, f.numbered = string(bytes.TrimSpace(value)), true
			}
		case "data":
			f.data = true
		}
	}
	return f
}

// position is the place of an event in its stream, from its ID.
type position struct {
	prefix string
	// number is the whole number at the end of the ID, without leading zeros; empty if there is none. The
	// digits behind a decimal point are none.
	number string
}

func positionOf(id string) position {
	prefix := strings.TrimRight(id, "0123456789")
	number := id[len(prefix):]
	switch {
	case strings.HasSuffix(prefix, "."):
		number = ""
	case number != "":
		number = cmp.Or(strings.TrimLeft(number, "0"), "0")
	}
	return position{prefix: prefix, number: number}
}

// atOrBefore reports whether an event with the ID is known to stand at the other one or before it. IDs rise,
// but only those that differ in nothing but the number at their end can be compared.
func atOrBefore(id, other string) bool {
	a, b := positionOf(id), positionOf(other)
	switch {
	case id == other:
		return true
	case a.prefix != b.prefix || a.number == "" || b.number == "":
		return false
	case len(a.number) != len(b.number):
		return len(a.number) < len(b.number)
	}
	return a.number <= b.number
}

// resumable reports whether a runner can be asked to go on after an ID: a header can hold it.
func resumable(id string) bool {
	return len(id) <= maxPosition && strings.IndexFunc(id, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
}

// progress is how much of a stream its client has.
type progress struct {
	// last is the ID of the last event sent to the client. unnumbered is set if the client has events after
	// it that have no ID, so that no runner can go on after them.
	last       string
	unnumbered bool
	// at is the ID that the current response has reached. opening is set until its first event.
	at      string
	opening bool
}

// restart begins a response that goes on after the last event.
func (p *progress) restart() { p.at, p.opening = p.last, true }

// trim returns an event as it is sent to a client who has the header of the stream already, if begun is set: the
// byte order mark of a response that goes on would stand in the middle of the stream.
func (p *progress) trim(event []byte, begun bool) []byte {
	if p.opening && begun {
		event = bytes.TrimPrefix(event, []byte(byteOrderMark))
	}
	p.opening = false
	return event
}

// sent reports whether the client has an event already. One without an ID stands after the ID before it.
// What has neither an ID nor data is passed on each time.
func (p *progress) sent(f eventFields) bool {
	if f.numbered {
		p.at = f.id
	}
	switch {
	case p.last == "" || p.at == "":
		return false
	case f.numbered:
		return atOrBefore(p.at, p.last)
	}
	return f.data && p.at != p.last && atOrBefore(p.at, p.last)
}

// advance records that an event was sent to the client.
func (p *progress) advance(f eventFields) {
	switch {
	case f.id != "" && resumable(f.id):
		p.last, p.unnumbered = f.id, false
	case f.data || f.id != "":
		p.unnumbered = true
	}
}

// ErrNoPosition reports that a stream can't be resumed because the last event that the client has names no ID
// after which another runner could go on.
type ErrNoPosition struct {
	// After is the last ID before that event; empty for none.
	After string
	Err   error
}

// Error implements error.
func (e *ErrNoPosition) Error() string {
	return fmt.Sprintf("position of the stream is unknown: after=%q cause=%v", e.After, e.Err)
}

// Unwrap returns the cause.
func (e *ErrNoPosition) Unwrap() error { return e.Err }
