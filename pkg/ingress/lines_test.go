package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// readEvents returns the events of a stream, and the error that ended it.
func readEvents(in io.Reader) ([]string, error) {
	e := newEventReader(memory.NewAccount("held", 8<<20), in)
	defer e.close()
	var out []string
	for {
		event, err := e.next()
		if err != nil {
			return out, err
		}
		out = append(out, string(event))
	}
}

// Guards against events that are split, joined or lost because of the ends of their lines, or of a read between any two
// bytes.
func TestEventsEndAtEmptyLines(t *testing.T) {
	for _, c := range []struct {
		stream string
		want   []string
	}{
		{"id: 1\ndata: a\n\nid: 2\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\n\n"}},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}},
		{"id: 1\rdata: a\r\rid: 2\r\r", []string{"id: 1\rdata: a\r\r", "id: 2\r\r"}},
		{"id: 1\ndata: a\r\n\rid: 2\n\r\n\r\n", []string{"id: 1\ndata: a\r\n\r", "id: 2\n\r\n", "\r\n"}},
		{"\n\n: x\n\n", []string{"\n", "\n", ": x\n\n"}},
		{"id: 1\r\n\r\n\r\n", []string{"id: 1\r\n\r\n", "\r\n"}},
	} {
		t.Run(fmt.Sprintf("%q", c.stream), func(t *testing.T) {
			g := NewWithT(t)
			for cut := range len(c.stream) {
				got, err := readEvents(io.MultiReader(strings.NewReader(c.stream[:cut]), strings.NewReader(c.stream[cut:])))
				g.Expect(err).To(MatchError(io.EOF), "cut at %d", cut)
				g.Expect(got).To(Equal(c.want), "cut at %d", cut)
			}
			got, err := readEvents(iotest.OneByteReader(strings.NewReader(c.stream)))
			g.Expect(err).To(MatchError(io.EOF))
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against a stream that ends inside an event and is taken for whole.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, stream := range []string{"id: 1", "id: 1\n", "id: 1\r", "id: 1\r\n", "id: 1\n\nd", "id: 1\n\ndata: x\n", "id: 1\r\rdata: x\r"} {
		_, err := readEvents(strings.NewReader(stream))
		NewWithT(t).Expect(err).To(MatchError(io.ErrUnexpectedEOF), "%q", stream)
	}
}

// Guards against an event that is passed on only when the next one comes.
func TestEventIsReturnedAtItsEnd(t *testing.T) {
	for _, event := range []string{"data: x\n\n", "data: x\r\n\r\n", "data: x\r\r"} {
		g := NewWithT(t)
		in, out := io.Pipe()
		e := newEventReader(memory.NewAccount("held", 8<<20), in)
		done := make(chan string, 1)
		go func() {
			got, _ := e.next()
			done <- string(got)
		}()
		_, err := out.Write([]byte(event))
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(done, time.Second).Should(Receive(Equal(event)))
		g.Expect(out.Close()).To(Succeed())
	}
}
