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

func TestContextEndsAfterLimitWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := WithIdleTimeout(t.Context(), time.Second)
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

func TestContextEndsWithParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		parent, cancelParent := context.WithCancel(t.Context())
		ctx, cancel := WithIdleTimeout(parent, time.Second)
		defer cancel()
		cancelParent()
		<-ctx.Done()
		g.Expect(ctx.Err()).To(MatchError(context.Canceled))
		Note(ctx)
		Note(t.Context())
	})
}

func TestReaderNotesEachRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := WithIdleTimeout(t.Context(), time.Second)
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
