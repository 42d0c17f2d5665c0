package process

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/platform/standin"
)

// coldGateway returns an ingress whose engines, all cold, take a bounded number of requests a second.
func coldGateway(t *testing.T, out io.Writer) *Ingress {
	t.Helper()
	g := NewWithT(t)
	fleet := standin.NewFleet()
	t.Cleanup(fleet.Close)
	c := standin.Config(1)
	for _, s := range c["services"].([]any) {
		s.(map[string]any)["coldPerS"] = 22
	}
	fleet.Configure(c)
	for i := range 12 {
		stage := "decode"
		if i%2 == 0 {
			stage = "prefill"
		}
		e := fleet.Add(standin.NewRunner(fmt.Sprintf("e%d", i), "llm", "zone-a", stage)).Entry("ready")
		e["coldLeftMs"] = time.Hour.Milliseconds()
		fleet.Store.Put(standin.RunnerKey(fmt.Sprintf("e%d", i)), e)
	}
	any := "127.0.0.1:0"
	settings, err := config.ParseIngress("test", fmt.Appendf(nil, `
instance: {name: front-1, domain: zone-a, region: r}
store: %s
listen: {callers: %q, health: %q, metrics: %q, peers: %q}
lease: 1s
limits: {memory_mb: 4096}
`, fleet.Address, any, any, any, any))
	g.Expect(err).NotTo(HaveOccurred())
	p, err := StartIngress(settings, out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return readiness(p) }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	g.Eventually(func() int { return len(p.Ingress.Directory.All("llm")) }).WithTimeout(20 * time.Second).Should(Equal(12))
	return p
}

// readiness returns the status of the health page, 0 if it does not respond.
func readiness(p *Ingress) int {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.Ports().Health + "/api/ready")
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// Guards against a gateway that hangs while engines are cold: the exchange called the pool with its lock held, and
// the pool called the exchange for the gateway's share of a cold engine.
func TestReportsAndChoicesOfColdEnginesDoNotDeadlock(t *testing.T) {
	const (
		choosers = 3
		duration = 2 * time.Second
		// longest is how long the choosers take on a busy machine.
		longest = 20 * time.Second
	)
	g := NewWithT(t)
	p := coldGateway(t, io.Discard)
	pool := p.Ingress.Pools()["llm"]
	done := make(chan struct{}, choosers)
	for n := range choosers {
		go func() {
			began := time.Now()
			// The share of a cold engine is computed again at each choice.
			for now := began; time.Since(began) < duration; now = now.Add(time.Second) {
				id := fmt.Sprintf("r-%d", n)
				if s, _, err := pool.BeginPrefill(enginepool.Prompt{ID: id, Tokens: 100}, now); err == nil {
					pool.EndPrefill(s.ID, id, false, now)
				}
			}
			done <- struct{}{}
		}()
	}
	for range choosers {
		g.Eventually(done).WithTimeout(longest).Should(Receive(), "choices and reports wait for each other")
	}
	g.Expect(readiness(p)).To(Equal(http.StatusOK))
	p.Close()
}
