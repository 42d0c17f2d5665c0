package ingress

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Guards against an event that is left out because there was no memory for it, after which the stream goes on.
func TestEventFilterEndsAtItsFirstError(t *testing.T) {
	g := NewWithT(t)
	f := newEventFilter(memory.NewAccount("held", 2*eventBuffer), strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: "+strings.Repeat("x", 4*eventBuffer)+"\n\nid: 3\ndata: c\n\n"), "")
	defer f.events.close()
	got, err := io.ReadAll(f)
	var full *memory.ErrFull
	g.Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
	g.Expect(string(got)).To(Equal("id: 1\ndata: a\n\n"))
	_, again := io.ReadAll(f)
	g.Expect(again).To(Equal(err))
}

// Guards against a stream that is passed on from the wrong event, whatever is read at a time.
func TestEventFilterPassesEventsAfterTheLast(t *testing.T) {
	for _, size := range []int{1, 7, 4096} {
		g := NewWithT(t)
		f := newEventFilter(memory.NewAccount("held", 1<<20), strings.NewReader("id: 1\ndata: a\n\n: x\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"), "2")
		var out strings.Builder
		_, err := io.CopyBuffer(struct{ io.Writer }{&out}, struct{ io.Reader }{f}, make([]byte, size))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.String()).To(Equal(": x\n\nid: 3\ndata: c\n\n"))
		f.events.close()
	}
}
