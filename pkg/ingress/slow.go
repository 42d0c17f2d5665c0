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
	// leastBodyTime is how long a client may at least take to send a body.
	leastBodyTime = time.Second
)

// readWithin bounds the time in which a client sends a body, and returns what takes the bound back:
// after the body the connection is watched for the client's leaving.
func (x *exchange) readWithin(d time.Duration) func() {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(max(d, leastBodyTime)))
	return func() { _ = control.SetReadDeadline(time.Time{}) }
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
