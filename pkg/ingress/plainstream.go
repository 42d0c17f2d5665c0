package ingress

import (
	"io"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/routetable"
)

// eventStream is the media type of a series of events.
const eventStream = "text/event-stream"

// eventFilter reads the events of a response that the client does not have yet. A response that ends inside an
// event fails with io.ErrUnexpectedEOF.
type eventFilter struct {
	events *eventReader
	progress
	// rest is what has not been read of the current event, err the error that ended the events.
	rest []byte
	err  error
}

// newEventFilter returns a filter of the events after the one with an ID, empty for all.
func newEventFilter(held *memory.Account, body io.Reader, after string) *eventFilter {
	f := &eventFilter{events: newEventReader(held, body), progress: progress{last: after}}
	f.restart()
	return f
}

// Read implements io.Reader.
func (f *eventFilter) Read(p []byte) (int, error) {
	for len(f.rest) == 0 {
		if f.err != nil {
			return 0, f.err
		}
		event, err := f.events.next()
		if err != nil {
			f.err = err
			continue
		}
		fields := parseEvent(event)
		if f.sent(fields) {
			continue
		}
		f.advance(fields)
		f.rest = event
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// body returns the body of a plain runner's response as it is forwarded, and a function that releases its memory.
// Of a stream, the client gets only the events that it lacks.
func (x *exchange) body(a *Response) (io.Reader, func()) {
	if x.route.Kind != routetable.Stream || !a.OK() || mediaType(a) != eventStream {
		return a.Body, func() {}
	}
	f := newEventFilter(x.g.options.Held, a.Body, x.call.After)
	return f, f.events.close
}
