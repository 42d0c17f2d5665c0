package process

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// contactTime is the time within which the balancer must see that a gateway hangs.
const contactTime = 3 * time.Second

// testLog is a log that tests read while it is written.
type testLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *testLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *testLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// holdPool keeps the engine pool of a gateway locked until the returned function is called.
func holdPool(g *WithT, p *Ingress) (release func()) {
	held, done := make(chan struct{}), make(chan struct{})
	var hold, free sync.Once
	go func() {
		defer close(done)
		s, _, err := p.Ingress.Pools()["llm"].BeginPrefill(enginepool.Prompt{ID: "held", Tokens: 100, Allows: func(string) bool {
			hold.Do(func() { held <- struct{}{}; <-held })
			return true
		}}, time.Now())
		if err == nil {
			p.Ingress.Pools()["llm"].EndPrefill(s.ID, "held", false, time.Now())
		}
	}()
	g.Eventually(held).WithTimeout(20 * time.Second).Should(Receive())
	return func() { free.Do(func() { held <- struct{}{}; <-done }) }
}

// Guards against a gateway that answers nothing and gets new clients, since its health page says that it is ready.
func TestHungGatewayIsNotReady(t *testing.T) {
	g := NewWithT(t)
	log := &testLog{}
	p := coldGateway(t, log)
	defer p.Close()
	release := holdPool(g, p)
	defer release()
	began := time.Now()
	g.Eventually(func() int { return readiness(p) }).WithTimeout(20 * time.Second).WithPolling(10 * time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	t.Logf("not ready after %s", time.Since(began))
	g.Eventually(log.String).Should(ContainSubstring("event=hung part=decisions"))
	g.Eventually(log.String).Should(MatchRegexp(`event=hung_stack goroutines=1 waits_for=sync.\(\*Mutex\).Lock stack="pkg/enginepool.\(\*Pool\).Waiting < pkg/process.\(\*Ingress\).probePools`))
	release()
	g.Eventually(func() int { return readiness(p) }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	g.Eventually(log.String).Should(ContainSubstring("event=progress_resumed part=decisions"))
	g.Expect(strings.Count(log.String(), "< pkg/process.(*Ingress).probePools")).To(Equal(1), "the stacks are logged once")
	g.Expect((hungRounds + 1) * watchInterval).To(BeNumerically("<", contactTime))
}

// Guards against slow gateways that are taken out: the others would get even more requests.
func TestSlowGatewayIsNotHung(t *testing.T) {
	const (
		busy     = 200
		duration = 6 * time.Second
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	g := NewWithT(t)
	log := &testLog{}
	p := coldGateway(t, log)
	defer p.Close()
	pool := p.Ingress.Pools()["llm"]
	var stop atomic.Bool
	var work sync.WaitGroup
	for n := range busy {
		work.Go(func() {
			for i := 0; !stop.Load(); i++ {
				now, id := time.Now(), fmt.Sprintf("r-%d-%d", n, i)
				if s, _, err := pool.BeginPrefill(enginepool.Prompt{ID: id, Tokens: 100}, now); err == nil {
					pool.EndPrefill(s.ID, id, false, now)
				}
				for began := time.Now(); time.Since(began) < time.Millisecond; {
				}
			}
		})
	}
	time.Sleep(duration)
	lag := p.lag.Lag()
	stop.Store(true)
	work.Wait()
	t.Logf("lag %.2f", lag)
	g.Expect(log.String()).NotTo(ContainSubstring("event=hung"))
	g.Expect(lag).To(BeNumerically(">", 0.2), "the load was not full")
	g.Eventually(func() int { return readiness(p) }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
}

func TestWatchedPartHangsAfterRoundsWithoutStep(t *testing.T) {
	g := NewWithT(t)
	steps, due := uint64(1), true
	w := &watchedPart{progress: func() (uint64, bool) { return steps, due }}
	rounds := func(n int) (changes int) {
		for range n {
			if changed, _ := w.observe(); changed {
				changes++
			}
		}
		return changes
	}
	g.Expect(rounds(1 + hungRounds - 1)).To(BeZero())
	g.Expect(w.hangs()).To(BeFalse())
	steps++
	g.Expect(rounds(1 + hungRounds)).To(Equal(1))
	g.Expect(w.hangs()).To(BeTrue())
	g.Expect(rounds(100)).To(BeZero(), "a hang is reported once")
	steps++
	changed, after := w.observe()
	g.Expect(changed).To(BeTrue())
	g.Expect(after).To(Equal((hungRounds + 100) * watchInterval))
	g.Expect(w.hangs()).To(BeFalse())
	due = false
	g.Expect(rounds(10*hungRounds)).To(BeZero(), "nothing is due while no datagram arrives")
}
