package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Guards against responses of an engine without an end that take all memory of its sidecar.
func TestResponsesOfAnEngineAreBounded(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, strings.Repeat(" ", 1000)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := NewClient(server.URL).Prefill(t.Context(), Prefill{})
	g.Expect(err).To(BeAssignableToTypeOf(&ErrUnreachable{}))
	var large *memory.ErrTooLarge
	g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
	g.Expect(large.Bound).To(BeEquivalentTo(maxLineBytes))
}
