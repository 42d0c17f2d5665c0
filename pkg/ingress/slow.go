package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// clientStallTimeout is the time without progress after which a client that does not read its
	// response is disconnected. Until then it occupies a place on the runner and memory of the
	// gateway. The timeout is longer than the gap of 2 s after which clients give up a stream; a
	// lost packet is retransmitted within that gap.
	clientStallTimeout = 3 * time.Second
	// minBodyTime is the least time that a client gets for sending a body.
	minBodyTime = time.Second
)

// limitBodyTime sets a deadline for reading the body. It returns a function that removes the
// deadline, since after the body the connection is read to detect that the client disconnects.
func (x *exchange) limitBodyTime(d time.Duration) func() {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(max(d, minBodyTime)))
	return func() { _ = control.SetReadDeadline(time.Time{}) }
}

// copyBuffer returns the buffer for streaming the rest of a partly buffered response. It releases
// the memory of the buffered part, apart from the new buffer.
func (x *exchange) copyBuffer(buffered []byte) []byte {
	x.reserveMemory(int64(initialBuffer - cap(buffered)))
	return make([]byte, initialBuffer)
}

// initialBuffer is the initial size in bytes of the buffer for a response, which doubles as the
// response grows. Most responses of plain runners fit into it.
const initialBuffer = 4 << 10

// bufferBody reads a response into memory, up to maxBuffered and as far as the memory for buffers
// allows, and reports whether it is complete. A response is never given up for lack of memory: the
// rest is streamed.
func (x *exchange) bufferBody(body io.Reader) (buffered []byte, whole bool, err error) {
	for len(buffered) < maxBuffered {
		if len(buffered) == cap(buffered) {
			more := max(initialBuffer, cap(buffered))
			if !x.reserveMemory(int64(more)) {
				x.g.metrics.notBuffered.Inc()
				return buffered, false, nil
			}
			grown := make([]byte, len(buffered), len(buffered)+more)
			copy(grown, buffered)
			buffered = grown
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}
