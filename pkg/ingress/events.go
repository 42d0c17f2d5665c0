package ingress

import (
	"bufio"
	"errors"
	"io"

	"github.com/hopwell/hopwell/pkg/memory"
)

const (
	// eventBuffer is the size in bytes of the buffer by which a stream is read, and that of the buffer
	// for one event, which needs no reservation.
	eventBuffer = 4096
	// maxEvent limits the size of one event in bytes.
	maxEvent = 1 << 20
)

// eventReader reads the events of a stream. The memory of a large event is reserved until the next one
// is read.
type eventReader struct {
	in    *bufio.Reader
	lines lineScanner
	event []byte
	held  memory.Usage
}

func newEventReader(held *memory.Account, body io.Reader) *eventReader {
	return &eventReader{held: memory.Usage{Account: held}, in: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the next event including the empty line that ends it. At the end of the stream it
// returns the rest, with the error that ended the stream. It fails with *memory.ErrTooLarge at an event
// above maxEvent, and with *memory.ErrFull if the memory for buffers is used up. The event is valid until the
// next call.
func (e *eventReader) next() ([]byte, error) {
	e.reset()
	for {
		if _, err := e.in.Peek(1); err != nil {
			if e.lines.takeBlank() {
				return e.event, nil
			}
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e.event, err
		}
		// Peek does not fail for what is buffered.
		part, _ := e.in.Peek(e.in.Buffered())
		n, ended := e.lines.scan(part, len(e.event) == 0)
		if err := e.append(part[:n]); err != nil {
			return nil, err
		}
		_, _ = e.in.Discard(n)
		if ended {
			return e.event, nil
		}
	}
}

// append adds a part of the stream to the event.
func (e *eventReader) append(part []byte) error {
	size := len(e.event) + len(part)
	if size > maxEvent {
		return memory.TooLarge("event", int64(size), maxEvent)
	}
	if size > cap(e.event) {
		if err := e.grow(size); err != nil {
			return err
		}
	}
	e.event = append(e.event, part...)
	return nil
}

// grow moves the event to a buffer of at least the given size.
func (e *eventReader) grow(size int) error {
	capacity := min(max(eventBuffer, size, 2*cap(e.event)), maxEvent)
	if capacity > eventBuffer {
		if err := e.held.Resize(int64(capacity)); err != nil {
			return err
		}
	}
	e.event = append(make([]byte, 0, capacity), e.event...)
	return nil
}

// reset discards the event and keeps its buffer if that needed no reservation.
func (e *eventReader) reset() {
	e.event = e.event[:0]
	if e.held.Size() > 0 {
		e.close()
	}
}

// close releases the memory of the event.
func (e *eventReader) close() {
	e.held.Release()
	e.event = nil
}
