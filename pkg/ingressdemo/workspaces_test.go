package ingressdemo

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("demo workspaces", func() {
	It("serves workspaces within their limit and throttles the one that exceeds it", func() {
		o := DefaultOptions()
		o.Workspaces, o.Rate = true, 40
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		d, err := Start(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		spent := func(name string) func() int64 {
			return func() int64 {
				var sum int64
				d.mu.Lock()
				defer d.mu.Unlock()
				for _, g := range d.gateways {
					for _, s := range g.Ingress.Usage(len(demoWorkspaces)) {
						if s.Workspace == name {
							sum += s.Spent
						}
					}
				}
				return sum
			}
		}
		began := time.Now()
		Eventually(spent("counter")).WithTimeout(30 * time.Second).Should(BeNumerically(">", 60000))
		limit := demoWorkspaces[len(demoWorkspaces)-1].limit
		took := time.Since(began).Seconds() + 1
		Expect(float64(spent("night-batch")())).To(BeNumerically("<=", limit*(took+2)+20000))
		var view strings.Builder
		d.WriteView(&view)
		Expect(view.String()).To(ContainSubstring("night-batch"))
	})
})
