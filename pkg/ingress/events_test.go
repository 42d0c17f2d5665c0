package ingress

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// newEvents returns a reader of a stream of an ingress.
func newEvents(in *Ingress, stream io.Reader) *eventReader {
	return newEventReader(in.options.Held, stream)
}

// Guards against events without an end on all streams at once, each within its own bound, that take all
// memory together, and against small events that fail because of them.
func TestUnfinishedEventsStayInTheirShare(t *testing.T) {
	const streams, maxHeld = 200, 8 << 20
	g := NewWithT(t)
	in := New(Options{Held: memory.NewAccount("held", maxHeld)})
	before := int64(heapInUse())
	var open []*eventReader
	busy := 0
	for range streams {
		e := newEvents(in, io.MultiReader(strings.NewReader("data: "), io.LimitReader(xs{}, maxEvent/2), failing{}))
		_, err := e.next()
		var full *memory.ErrFull
		if errors.As(err, &full) {
			g.Expect(full.Bound).To(BeEquivalentTo(maxHeld))
			g.Expect(full.Used + full.Size).To(BeNumerically(">", maxHeld))
			busy++
		}
		open = append(open, e)
		g.Expect(in.options.Held.Used()).To(BeNumerically("<=", maxHeld))
	}
	g.Expect(busy).To(BeNumerically(">", streams/2))
	g.Expect(int64(heapInUse()) - before).To(BeNumerically("<", 2*maxHeld))
	small := newEvents(in, strings.NewReader(strings.Repeat("id: 1\ndata: x\n\n", 3)))
	for range 3 {
		event, err := small.next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(event)).To(Equal("id: 1\ndata: x\n\n"))
	}
	for _, e := range open {
		e.close()
	}
	g.Expect(in.options.Held.Used()).To(BeZero())
}

// Guards against one event without an end.
func TestEndlessEventFailsAtItsBound(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{Held: memory.NewAccount("held", 8<<20)})
	for _, text := range []string{"x", "data: x\n"} {
		e := newEvents(in, &repeating{text: text})
		_, err := e.next()
		var large *memory.ErrTooLarge
		g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
		g.Expect(large.Bound).To(BeEquivalentTo(maxEvent))
		g.Expect(large.Size).To(BeNumerically(">", maxEvent))
		e.close()
		g.Expect(in.options.Held.Used()).To(BeZero())
	}
}

// Events of all sizes are read whole; the memory of a large one is released with the next.
func TestEventsOfAnySizeAreReadWhole(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{Held: memory.NewAccount("held", 8<<20)})
	var stream strings.Builder
	var events []string
	for _, size := range []int{0, 10, eventBuffer - 1, eventBuffer, eventBuffer + 1, 100 << 10, 20, maxEvent - 20, 5} {
		event := "data: " + strings.Repeat("x", size) + "\r\n\r\n"
		events = append(events, event)
		stream.WriteString(event)
	}
	e := newEvents(in, strings.NewReader(stream.String()))
	for i, want := range events {
		got, err := e.next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got) == want).To(BeTrue(), "event %d", i)
		g.Expect(in.options.Held.Used() > 0).To(Equal(len(want) > eventBuffer))
	}
	_, err := e.next()
	g.Expect(err).To(MatchError(io.EOF))
}

// xs is an endless line.
type xs struct{}

func (xs) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// repeating repeats a text without an end.
type repeating struct {
	text string
	at   int
}

func (r *repeating) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.at]
		r.at = (r.at + 1) % len(r.text)
	}
	return len(p), nil
}

// failing is a connection that breaks.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
