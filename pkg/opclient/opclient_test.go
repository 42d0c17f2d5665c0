package opclient

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/platform"
)

// Guards against a response of one process without an end that takes all memory of the operator's tool.
func TestResponsesOfProcessesAreBounded(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, strings.Repeat(" ", 1000)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var into any
	err := New("", []string{address}).post(t.Context(), platform.Instance{Name: "p", Admin: address}, "/x", nil, &into)
	var large *memory.ErrTooLarge
	g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
	g.Expect(large.Bound).To(BeEquivalentTo(maxResponseBytes))
}
