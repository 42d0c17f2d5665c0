package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// clientStall is how long a client may read nothing of an answer before it is cut off: it
	// holds the runner's place and the gateway's memory meanwhile. Clients give a stream up
	// after a pause of 2 s, and a lost packet comes again within one.
	clientStall = 3 * time.Second
	// writeUnit is what is written to a client at once, in bytes: one that takes so much in
	// clientStall, 5 KB/s, is slow and not stalled.
	writeUnit = 16 << 10
	// leastBodyTime is how long a client may at least take to send a body.
	leastBodyTime = time.Second
)

// clientWriter writes an answer to a client that may read slowly, or not at all. It implements
// io.Writer.
type clientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// newClientWriter returns a writer of answers. A deadline that an earlier answer on the connection
// had is taken back.
func newClientWriter(w http.ResponseWriter) *clientWriter {
	c := &clientWriter{ResponseWriter: w, control: http.NewResponseController(w)}
	c.bound(time.Time{})
	return c
}

// bound sets until when the client must have taken what is written. A server that has no
// deadlines, as in tests, leaves it to the request's time.
func (c *clientWriter) bound(until time.Time) { _ = c.control.SetWriteDeadline(until) }

// Write writes in units, each of which the client must take in clientStall.
func (c *clientWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		unit := p[written:min(len(p), written+writeUnit)]
		c.bound(time.Now().Add(clientStall))
		n, err := c.ResponseWriter.Write(unit)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Flush sends what was written.
func (c *clientWriter) Flush() error { return c.control.Flush() }

// Unwrap returns the writer below, for http.ResponseController.
func (c *clientWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// readWithin bounds the time in which a client sends a body, and returns what takes the bound back:
// after the body the connection is watched for the client's leaving.
func (c *clientWriter) readWithin(d time.Duration) func() {
	_ = c.control.SetReadDeadline(time.Now().Add(max(d, leastBodyTime)))
	return func() { _ = c.control.SetReadDeadline(time.Time{}) }
}

// copyBuffer returns the buffer by which the rest of an answer is passed on that was held in part.
// The memory of what was held is given back.
func (x *exchange) copyBuffer(held []byte) []byte {
	x.takeMemory(int64(firstHeld - cap(held)))
	return make([]byte, firstHeld)
}

// firstHeld is the memory that is taken at first for an answer that is held back, in bytes; it
// doubles as the answer grows. Most answers of plain runners are shorter.
const firstHeld = 4 << 10

// hold reads an answer whole, as far as maxHeld and the memory for what is held for others reach. It
// reports whether that is all of it. An answer is never given up for want of memory: what is not
// held is passed on as it comes.
func (x *exchange) hold(body io.Reader) (held []byte, whole bool, err error) {
	for len(held) < maxHeld {
		if len(held) == cap(held) {
			more := max(firstHeld, cap(held))
			if !x.takeMemory(int64(more)) {
				x.g.metrics.notHeld.Inc()
				return held, false, nil
			}
			grown := make([]byte, len(held), len(held)+more)
			copy(grown, held)
			held = grown
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return held, true, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}
