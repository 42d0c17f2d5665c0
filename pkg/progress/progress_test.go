package progress

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestACallMayTakeLongButNotBeSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := Bound(t.Context(), time.Second)
		defer cancel()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			Note(ctx)
		}
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		began := time.Now()
		<-ctx.Done()
		g.Expect(time.Since(began)).To(Equal(time.Second))
		g.Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
		g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestACallEndsWithWhatItIsPartOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		outer, end := context.WithCancel(t.Context())
		ctx, cancel := Bound(outer, time.Second)
		defer cancel()
		end()
		<-ctx.Done()
		g.Expect(ctx.Err()).To(MatchError(context.Canceled))
		Note(ctx)
		Note(t.Context())
	})
}

func TestAReaderNotesEachPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := Bound(t.Context(), time.Second)
		defer cancel()
		slow := iotest.OneByteReader(strings.NewReader("four"))
		data, err := io.ReadAll(readerFunc(func(p []byte) (int, error) {
			time.Sleep(900 * time.Millisecond)
			return Reader(ctx, slow).Read(p)
		}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(data)).To(Equal("four"))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
