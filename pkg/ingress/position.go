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
	// number is the whole number at the end of the ID, without leading zeros; empty if there is none.
	number string
}

func positionOf(id string) position {
	prefix := strings.TrimRight(id, "0123456789")
	number := id[len(prefix):]
	if number != "" {
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
