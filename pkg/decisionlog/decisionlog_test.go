package decisionlog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter blocks each write until free is closed.
type blockedWriter struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// A blocked writer must not block callers of Write, and lines of failed requests must be
// dropped last.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{free: make(chan struct{})}
	l := New("p", w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		filler := strings.Repeat("x", 4000)
		for range 20000 {
			l.Write(KindDone, "request_end", F("request", filler))
		}
		l.Write(KindFailed, "request_end", F("request", "the one that failed"))
	}()
	g.Eventually(done, "30s").Should(BeClosed())
	l.mu.Lock()
	size := l.buffer.Len()
	l.mu.Unlock()
	g.Expect(size).To(BeNumerically("<=", bufferBytes+8192))
	close(w.free)
	l.Close(10 * time.Second)
	g.Expect(w.out.String()).To(ContainSubstring("the one that failed"))
	g.Expect(w.out.String()).To(MatchRegexp(`event=lines_left_out kind=done count=\d+`))
}

func TestLinesPerKindAreLimited(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New("p", &out)
	l.windowStart = time.Now().Add(time.Hour)
	for i := range 3 * maxLinesPerWindow[KindStep] {
		l.Write(KindStep, "s", F("n", i))
	}
	l.Close(10 * time.Second)
	g.Expect(strings.Count(out.String(), "event=s ")).To(Equal(maxLinesPerWindow[KindStep]))
	g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf("kind=step count=%d", 2*maxLinesPerWindow[KindStep])))
}

func TestValuesWithLineBreaksStayOnOneLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New("p", &out)
	l.Write(KindFailed, "e", F("text", "two\nlines = \"x\""), F("empty", ""), F("took", 1500*time.Microsecond), F("none", nil))
	l.Close(10 * time.Second)
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	g.Expect(out.String()).To(ContainSubstring(`text="two\nlines = \"x\"" empty="" took=1.5ms none=none`))
}

// Guards against text of others, such as the ID of a request, that fills the log.
func TestLongValuesAreCut(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New("p", &out)
	l.Write(KindFailed, "e", F("a", strings.Repeat("x", maxValueBytes)), F("b", strings.Repeat("y", 1<<20)), F("c", errors.New(strings.Repeat("z", 1<<20))))
	l.Close(time.Second)
	text := out.String()
	g.Expect(len(text)).To(BeNumerically("<", 4*maxValueBytes))
	g.Expect(text).To(ContainSubstring("a=" + strings.Repeat("x", maxValueBytes) + " b="))
	g.Expect(text).To(ContainSubstring(fmt.Sprintf("...(%d more bytes)", 1<<20-maxValueBytes)))
}
