package realtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/demo"
	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/openai"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestReal(t *testing.T) { spectest.Run(t, "real processes") }

// testTimeout is long so that no result depends on the machine's speed.
const testTimeout = 2 * time.Minute

// stream is a streamed completion as its client receives it.
type stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	text  strings.Builder
	done  bool
}

func openStream(callers, prompt string, tokens int) *stream {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, demo.Model, prompt, tokens)
	r, err := http.Post("http://"+callers+"/v1/completions", "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(r.StatusCode).To(Equal(http.StatusOK))
	return &stream{body: r.Body, lines: bufio.NewScanner(r.Body)}
}

// next reads one completion event and appends its text. It returns false at [DONE]
// and at the end of the body.
func (s *stream) next() bool {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			return false
		}
		var c openai.Completion
		Expect(json.Unmarshal([]byte(data), &c)).To(Succeed())
		Expect(c.Choices).NotTo(BeEmpty(), data)
		s.text.WriteString(c.Choices[0].Text)
		return true
	}
	return false
}

// rest reads the stream to its end and returns the text received since it was opened.
func (s *stream) rest() string {
	for s.next() {
	}
	return s.text.String()
}

var _ = Describe("a fleet of real processes", Ordered, func() {
	var f *Fleet
	var binary string

	BeforeAll(func() {
		var err error
		binary, err = Build(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
	})
	BeforeEach(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		var err error
		f, err = Start(ctx, binary, GinkgoT().TempDir(), Small())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		// A request may find no runner until both gateways have all runners in their
		// membership lists.
		Eventually(func(g Gomega) {
			statuses, err := f.Client.Status(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			for _, a := range statuses {
				g.Expect(a.Err).NotTo(HaveOccurred())
				g.Expect(a.Value.Members).To(HaveLen(len(f.Daemons)))
			}
		}).WithTimeout(testTimeout).WithPolling(50 * time.Millisecond).Should(Succeed())
	})
	expectMemoryFreed := func() {
		GinkgoHelper()
		Eventually(f.Held).WithTimeout(testTimeout).WithPolling(20 * time.Millisecond).Should(BeZero())
	}
	sidecarWithStream := func() string {
		for _, name := range []string{"decode-1", "decode-2"} {
			if f.Engines[name].KVUsed() > 0 {
				return name
			}
		}
		return ""
	}

	It("frees the engine memory held for a gateway that is killed", func() {
		s := openStream(f.Daemons["gateway-1"].Callers, "killed", 20000)
		Expect(s.next()).To(BeTrue())
		Expect(f.Signal("gateway-1", syscall.SIGKILL)).To(Succeed())
		expectMemoryFreed()
		Expect(s.rest()).NotTo(BeEmpty())
		Expect(s.done).To(BeFalse(), "a broken stream must not end with [DONE]")
	})
	It("frees the engine memory held for a gateway that is stopped by SIGSTOP", func() {
		s := openStream(f.Daemons["gateway-1"].Callers, "paused", 20000)
		Expect(s.next()).To(BeTrue())
		Expect(f.Signal("gateway-1", syscall.SIGSTOP)).To(Succeed())
		expectMemoryFreed()
		Expect(f.Signal("gateway-1", syscall.SIGCONT)).To(Succeed())
		Expect(s.body.Close()).To(Succeed())
		expectMemoryFreed()
	})
	It("completes a stream whose decode sidecar is stopped by SIGSTOP or killed", func() {
		for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
			prompt := "sidecar " + sig.String()
			s := openStream(f.Daemons["gateway-2"].Callers, prompt, 200)
			Expect(s.next()).To(BeTrue())
			sidecar := sidecarWithStream()
			Expect(f.Signal(sidecar, sig)).To(Succeed())
			Expect(s.rest()).To(Equal(fake.Answer(prompt, 200)))
			Expect(s.done).To(BeTrue())
			if sig == syscall.SIGSTOP {
				Expect(f.Signal(sidecar, syscall.SIGCONT)).To(Succeed())
				expectMemoryFreed()
			}
		}
	})
	It("completes open streams when a gateway and a sidecar shut down on SIGTERM", func() {
		s := openStream(f.Daemons["gateway-1"].Callers, "planned", 150)
		Expect(s.next()).To(BeTrue())
		sidecar := sidecarWithStream()
		Expect(f.Signal("gateway-1", syscall.SIGTERM)).To(Succeed())
		Expect(f.Signal(sidecar, syscall.SIGTERM)).To(Succeed())
		Expect(s.rest()).To(Equal(fake.Answer("planned", 150)))
		Expect(s.done).To(BeTrue())
		Eventually(f.Ended("gateway-1")).WithTimeout(testTimeout).Should(BeClosed())
		Eventually(f.Ended(sidecar)).WithTimeout(testTimeout).Should(BeClosed())
	})
	It("runs a request with an idempotency key once if its gateway is killed and the client retries", func() {
		f.Orders.Delay = 300 * time.Millisecond
		sendOrder := func(gateway string) (*http.Response, error) {
			r, err := http.NewRequest(http.MethodPost, "http://"+f.Daemons[gateway].Callers+"/services/memory/order", strings.NewReader("one keel"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Idempotency-Key", "k1")
			return http.DefaultClient.Do(r)
		}
		go func() {
			defer GinkgoRecover()
			_, _ = sendOrder("gateway-1")
		}()
		Eventually(func() int { return f.Orders.Runs("one keel") }).WithTimeout(testTimeout).WithPolling(5 * time.Millisecond).Should(Equal(1))
		Expect(f.Signal("gateway-1", syscall.SIGKILL)).To(Succeed())
		r, err := sendOrder("gateway-2")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(http.StatusConflict))
		Expect(r.Header.Get("Hopwell-Outcome")).To(Equal("unknown"))
		Expect(f.Orders.Runs("one keel")).To(Equal(1))
	})
})
