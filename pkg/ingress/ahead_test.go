package ingress

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// Guards against requests sent ahead on few connections that keep the engines' queue full for all others.
func TestRequestSentAheadDoesNotWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := New(Options{})
		ahead, usual := &exchange{g: in, service: "llm", sentAhead: true}, &exchange{g: in, service: "llm"}
		g.Expect(ahead.checkQueue()).To(Succeed(), "nobody waits")
		ctx, cancel := context.WithCancel(context.Background())
		pool := in.pool("llm")
		go func() { _, _ = pool.Wait(ctx, pool.NewWaiter(enginepool.Job{ID: "waiting"}, enginepool.Fresh)) }()
		synctest.Wait()
		g.Expect(ahead.checkQueue()).To(BeAssignableToTypeOf(&ErrBusy{}))
		g.Expect(usual.checkQueue()).To(Succeed())
		cancel()
		synctest.Wait()
		g.Expect(ahead.checkQueue()).To(Succeed())
	})
}
