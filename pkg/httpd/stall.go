package httpd

import (
	"net/http"
	"time"
)

// StallUnit is the largest number of bytes that a StallWriter writes under one deadline. A client that
// reads this much within the writer's timeout is slow but not stalled.
const StallUnit = 16 << 10

// StallWriter writes a response to a client that may read slowly or not at all. The connection is closed
// if the client does not read for the writer's timeout. It implements http.ResponseWriter and
// http.Flusher.
type StallWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// NewStallWriter returns a StallWriter. It clears the write deadline that an earlier response may have
// left on the connection.
func NewStallWriter(w http.ResponseWriter, timeout time.Duration) *StallWriter {
	s := &StallWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
	s.setDeadline(time.Time{})
	return s
}

// setDeadline sets the write deadline of the connection. A server without write deadlines, as in tests,
// ignores it, and only the request's own timeout applies.
func (s *StallWriter) setDeadline(until time.Time) { _ = s.control.SetWriteDeadline(until) }

// Write implements http.ResponseWriter.
func (s *StallWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		unit := p[written:min(len(p), written+StallUnit)]
		s.setDeadline(time.Now().Add(s.timeout))
		n, err := s.ResponseWriter.Write(unit)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Flush implements http.Flusher.
func (s *StallWriter) Flush() { _ = s.FlushError() }

// FlushError sends buffered data to the client.
func (s *StallWriter) FlushError() error {
	s.setDeadline(time.Now().Add(s.timeout))
	return s.control.Flush()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (s *StallWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
