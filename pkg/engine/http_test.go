package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// newEndlessEngine returns a server whose responses have no end.
func newEndlessEngine() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, strings.Repeat(" ", 1000)); err != nil {
				return
			}
		}
	}))
}

// Guards against responses of an engine without an end that take all memory of its sidecar.
func TestResponsesOfAnEngineAreBounded(t *testing.T) {
	g := NewWithT(t)
	server := newEndlessEngine()
	defer server.Close()
	_, err := NewClient(server.URL).Prefill(t.Context(), Prefill{})
	g.Expect(err).To(BeAssignableToTypeOf(&ErrUnreachable{}))
	var large *memory.ErrTooLarge
	g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
	g.Expect(large.Bound).To(BeEquivalentTo(maxLineBytes))
}

// Guards against a call without a result that reads a response without an end for ever.
func TestEndlessResponseToCallWithoutResultEnds(t *testing.T) {
	g := NewWithT(t)
	server := newEndlessEngine()
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- NewClient(server.URL).Release(ctx, "x") }()
	g.Eventually(ended, "20s").Should(Receive(BeNil()))
}
