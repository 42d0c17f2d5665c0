package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// Guards against an exchange that hangs unseen.
func TestProgressStopsWhileExchangeHangs(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "a", 100)
	began, release := make(chan struct{}), make(chan struct{})
	w.options.Snapshots = func(map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) {
		began <- struct{}{}
		<-release
		return nil, nil
	}
	run(t, w)
	sending := func() uint64 { p, _ := w.Progress(); return p.Steps }
	g.Eventually(sending).Should(BeNumerically(">", 3), "an idle exchange makes progress")
	_, receiving := w.Progress()
	g.Expect(receiving.Outside).To(BeTrue(), "no datagram arrives")

	w.Exchange.mu.Lock()
	time.Sleep(2 * sendInterval)
	at := sending()
	g.Consistently(func() Progress { p, _ := w.Progress(); return p }).WithTimeout(5 * sendInterval).Should(Equal(Progress{Steps: at}))
	w.Exchange.mu.Unlock()
	g.Eventually(sending).Should(BeNumerically(">", at))

	w.Notify()
	g.Eventually(began).Should(Receive())
	p, _ := w.Progress()
	g.Expect(p.Outside).To(BeTrue(), "the pools are busy")
	close(release)
	g.Eventually(func() bool { p, _ := w.Progress(); return p.Outside }).Should(BeFalse())
}
