package process

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Pattern: a time-out that ends what goes well.
//
// Seen: gateways that start in an outage of the store ask others that know it, over links on which
// the answer takes longer than they wait: 2,904 answers were cut off in the middle, and asked for again.
func TestAStateThatKeepsComingIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	const parts = 8
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"at":7,"items":[`)
		for range parts {
			fmt.Fprint(w, strings.Repeat(" ", 64))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(stateCall / 4)
		}
		fmt.Fprint(w, `]}`)
	}))
	defer server.Close()
	s, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.At).To(Equal(uint64(7)))
}

func TestAStateThatFallsSilentIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"at":7,`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	began := time.Now()
	_, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).To(MatchError(ContainSubstring("not readable")))
	g.Expect(time.Since(began)).To(BeNumerically(">=", stateCall))
}
