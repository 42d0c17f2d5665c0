package ingressdemo

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestIngressDemo(t *testing.T) {
	SetDefaultEventuallyTimeout(30 * time.Second)
	spectest.Run(t, "ingressdemo")
}

// start runs a demo and an HTTP server for its handler. It returns the demo and the
// server's URL.
func start() (*Demo, string) {
	GinkgoHelper()
	o := DefaultOptions()
	o.Rate = 20
	d, err := Start(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	s := httptest.NewServer(d.Handler())
	DeferCleanup(s.Close)
	return d, s.URL
}

func get(url string) string {
	GinkgoHelper()
	res, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func post(url string) (int, string) {
	GinkgoHelper()
	res, err := http.Post(url, "", nil)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(text)
}

var _ = Describe("the ingress demo", func() {
	It("serves requests and shows gateways, runners and results in the view", func() {
		d, url := start()
		Eventually(func() int { all, _ := d.tally.read(time.Now()); return all[inTime] }).Should(BeNumerically(">", 30))
		view := get(url)
		for _, part := range []string{"gateway-3", "engine-6", "plain-2", "prefill", "decode", "MEMORY", "IN TIME"} {
			Expect(view).To(ContainSubstring(part))
		}
		all, _ := d.tally.read(time.Now())
		Expect(all[lost]).To(BeZero(), view)
	})

	It("recovers from every fault and continues to serve requests", func() {
		d, url := start()
		for _, f := range Faults {
			status, text := post(url + "/faults/" + string(f) + "?for=300ms")
			Expect(status).To(Equal(http.StatusOK), text)
			Expect(text).To(HavePrefix(string(f) + ": "))
		}
		Eventually(func() string { return get(url) }).ShouldNot(Or(ContainSubstring("gone"), ContainSubstring("at fault")))
		before, _ := d.tally.read(time.Now())
		Eventually(func() int { all, _ := d.tally.read(time.Now()); return all[inTime] }).Should(BeNumerically(">", before[inTime]+30))
	})

	// Guards against a runner that is removed, after its drain, without the lock under which the view reads the list.
	It("replaces drained runners while the view is read", func() {
		d, _ := start()
		views, stop := context.WithCancel(context.Background())
		var readers sync.WaitGroup
		for range 4 {
			readers.Go(func() {
				for views.Err() == nil {
					d.WriteView(io.Discard)
				}
			})
		}
		for range 20 {
			_, err := d.Strike(Leaving, "engine-2", time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				_, faulty := d.faultEnds["engine-2"]
				return faulty
			}).WithPolling(time.Millisecond).Should(BeFalse())
		}
		stop()
		readers.Wait()
	})

	It("shows a killed runner as gone", func() {
		_, url := start()
		status, text := post(url + "/faults/kill?target=engine-2&for=10s")
		Expect(status).To(Equal(http.StatusOK), text)
		Expect(get(url)).To(MatchRegexp(`engine-2 +gone`))
	})

	DescribeTable("rejects an invalid fault request with 400",
		func(path, why string) {
			_, url := start()
			status, text := post(url + path)
			Expect(status).To(Equal(http.StatusBadRequest))
			Expect(text).To(ContainSubstring(why))
		},
		Entry("unknown fault", "/faults/flood", "expected one of [kill"),
		Entry("unknown runner", "/faults/kill?target=engine-99", "no such runner is up"),
		Entry("unknown gateway", "/faults/restart?target=gateway-99", "no such gateway is up"),
		Entry("duration above the limit", "/faults/outage?for=1h", "at most 1m"),
		Entry("malformed duration", "/faults/outage?for=soon", "invalid duration"),
	)

	DescribeTable("rejects options out of range",
		func(change func(*Options), option string) {
			o := DefaultOptions()
			change(&o)
			_, err := Start(context.Background(), o)
			var bad *ErrOption
			Expect(err).To(BeAssignableToTypeOf(bad))
			Expect(strings.Contains(err.Error(), "option="+option)).To(BeTrue(), err.Error())
		},
		Entry("no gateways", func(o *Options) { o.Gateways = 0 }, "gateways"),
		Entry("one engine", func(o *Options) { o.Engines = 1 }, "engines"),
		Entry("no plain runner", func(o *Options) { o.Plain = 0 }, "plain"),
		Entry("request rate of zero", func(o *Options) { o.Rate = 0 }, "rate"),
	)
})
