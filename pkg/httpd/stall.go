package httpd

import (
	"net/http"
	"time"
)

// StallUnit is what a StallWriter writes at once, in bytes: a reader that takes so much in the writer's
// time is slow and not stalled.
const StallUnit = 16 << 10

// StallWriter writes an answer to a reader that may read slowly, or not at all: one that takes none of it
// for a time loses its connection. It implements http.ResponseWriter and http.Flusher.
type StallWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
}

// NewStallWriter returns a writer. A deadline that an earlier answer on the connection had is taken
// back.
func NewStallWriter(w http.ResponseWriter, stall time.Duration) *StallWriter {
	s := &StallWriter{ResponseWriter: w, control: http.NewResponseController(w), stall: stall}
	s.bound(time.Time{})
	return s
}

// bound sets until when the reader must have taken what is written. A server that has no deadlines, as
// in tests, leaves it to the request's time.
func (s *StallWriter) bound(until time.Time) { _ = s.control.SetWriteDeadline(until) }

// Write implements http.ResponseWriter.
func (s *StallWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		unit := p[written:min(len(p), written+StallUnit)]
		s.bound(time.Now().Add(s.stall))
		n, err := s.ResponseWriter.Write(unit)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Flush implements http.Flusher.
func (s *StallWriter) Flush() { _ = s.FlushError() }

// FlushError sends what was written.
func (s *StallWriter) FlushError() error {
	s.bound(time.Now().Add(s.stall))
	return s.control.Flush()
}

// Unwrap returns the writer below, for http.ResponseController.
func (s *StallWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
