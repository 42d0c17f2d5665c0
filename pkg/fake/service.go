package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Service is a plain service that counts calls by their body. Calls with equal
// bodies count as runs of one call.
type Service struct {
	// Delay is the duration of a call.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service whose calls take delay.
func NewService(delay time.Duration) *Service {
	return &Service{Delay: delay, runs: map[string]int{}}
}

// Runs returns the number of runs of the call with that body.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// ServeHTTP responds to a call with its method, path and body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	_ = sleep(r.Context(), s.Delay)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// Call implements engine.Service.
func (s *Service) Call(ctx context.Context, r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r.WithContext(ctx))
	return w.Result(), nil
}
