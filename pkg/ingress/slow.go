package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// clientStallTimeout is how long a client may read nothing of an answer before it is cut off: it
	// holds the runner's place and the gateway's memory meanwhile. Clients give a stream up
	// after a pause of 2 s, and a lost packet comes again within one.
	clientStallTimeout = 3 * time.Second
	// minBodyTime is how long a client may at least take to send a body.
	minBodyTime = time.Second
)

// limitBodyTime bounds the time in which a client sends a body, and returns what takes the bound back:
// after the body the connection is watched for the client's leaving.
func (x *exchange) limitBodyTime(d time.Duration) func() {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(max(d, minBodyTime)))
	return func() { _ = control.SetReadDeadline(time.Time{}) }
}

// copyBuffer returns the buffer by which the rest of an answer is passed on that was held in part.
// The memory of what was held is given back.
func (x *exchange) copyBuffer(held []byte) []byte {
	x.reserveMemory(int64(initialBuffer - cap(held)))
	return make([]byte, initialBuffer)
}

// initialBuffer is the memory that is taken at first for an answer that is held back, in bytes; it
// doubles as the answer grows. Most answers of plain runners are shorter.
const initialBuffer = 4 << 10

// hold reads an answer whole, as far as maxBuffered and the memory for what is held for others reach. It
// reports whether that is all of it. An answer is never given up for want of memory: what is not
// held is passed on as it comes.
func (x *exchange) bufferBody(body io.Reader) (held []byte, whole bool, err error) {
	for len(held) < maxBuffered {
		if len(held) == cap(held) {
			more := max(initialBuffer, cap(held))
			if !x.reserveMemory(int64(more)) {
				x.g.metrics.notBuffered.Inc()
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
