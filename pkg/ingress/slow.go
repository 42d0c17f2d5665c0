package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
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
	_ = x.held.Grow(-int64(max(0, cap(buffered)-initialBuffer)))
	return make([]byte, initialBuffer)
}

// initialBuffer is the size in bytes of the buffer for streaming a response.
const initialBuffer = 4 << 10

// bufferBody reads a response into memory, up to maxBuffered and as far as the memory for buffers
// allows, and reports whether it is complete. A response is never given up for lack of memory: the
// rest is streamed.
func (x *exchange) bufferBody(body io.Reader) (buffered []byte, whole bool, err error) {
	data, whole, err := memory.ReadUpTo(body, maxBuffered, func(more, _ int64) error { return x.held.Grow(more) })
	var full *memory.ErrFull
	if errors.As(err, &full) {
		x.g.metrics.notBuffered.Inc()
		return data.Join(), false, nil
	}
	return data.Join(), whole, err
}
