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

// Guards against a service that stops after the head of its response, whose empty body counts as whole.
func TestSuccessWithoutLengthAndBodyIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		method, encoding, body string
		whole                  bool
	}{
		"no length, no body":      {"POST", "identity", "", false},
		"no length, a body":       {"POST", "identity", "body", true},
		"a length of 0":           {"POST", "", "", true},
		"chunks without a body":   {"POST", "chunked", "", true},
		"a HEAD has no body ever": {"HEAD", "identity", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.encoding != "" {
					w.Header().Set("Transfer-Encoding", c.encoding)
				}
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client, err := NewServiceClient(server.URL)
			g.Expect(err).NotTo(HaveOccurred())
			r := httptest.NewRequest(c.method, "/", nil)
			resp, err := client.Call(t.Context(), r)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(string(body)).To(Equal(c.body))
			g.Expect(err == nil).To(Equal(c.whole), "%v", err)
		})
	}
}

// Guards against a part of an engine's response that is taken for all of it.
func TestPartOfEngineResponseIsNoResponse(t *testing.T) {
	const steps = `{"imported":true}` + "\n" + `{"token":{"text":"a"}}` + "\n" + `{"token":{"text":"b","final":true}}`
	for after := range len(steps) {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, steps[:after])
		}))
		err := NewClient(server.URL).Decode(t.Context(), Decode{}, func() {}, func(Token) error { return nil })
		server.Close()
		g.Expect(err).To(HaveOccurred(), "%q", steps[:after])
	}
}
