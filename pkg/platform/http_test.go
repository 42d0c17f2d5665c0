package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestPlatform(t *testing.T) { spectest.Run(t, "platform") }

var _ = Describe("the platform's client", func() {
	var kv *fake.KV
	var list *fake.List
	var c *platform.Client
	ctx := context.Background()
	BeforeEach(func() {
		kv, list = fake.NewKV(), fake.NewList()
		s := httptest.NewServer(fake.PlatformHandler(kv, list, fake.NewWeights(1)))
		DeferCleanup(s.Close)
		c = platform.NewClient(s.URL)
	})
	It("swaps, reads and watches values", func() {
		v, err := c.Swap(ctx, "a/b", 0, []byte("x"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(Equal(uint64(1)))
		_, err = c.Swap(ctx, "a/b", 0, []byte("y"), 0)
		Expect(platform.IsConflict(err)).To(BeTrue())
		got, err := c.Watch(ctx, "a/b", 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got.Data)).To(Equal("x"))
	})
	It("reports an outage and a value that is too large as different errors", func() {
		_, err := c.Swap(ctx, "a", 0, make([]byte, platform.MaxValue+1), 0)
		var large *platform.ErrTooLarge
		Expect(errors.As(err, &large)).To(BeTrue())
		kv.SetDown(true)
		_, err = c.Get(ctx, "a")
		var down *platform.ErrUnavailable
		Expect(errors.As(err, &down)).To(BeTrue())
	})
	It("bounds responses, so that one without an end takes no more memory", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat("x", 1000)); err != nil {
					return
				}
			}
		}))
		DeferCleanup(s.Close)
		_, err := platform.NewClient(s.URL).Get(ctx, "a")
		var down *platform.ErrUnavailable
		Expect(errors.As(err, &down)).To(BeTrue())
		var large *memory.ErrTooLarge
		Expect(errors.As(err, &large)).To(BeTrue())
		Expect(large.Bound).To(BeEquivalentTo(4 * platform.MaxValue))
	})
	// Guards against a value that is cut off by the end of its connection and taken for whole.
	It("refuses a value whose end nothing shows", func() {
		for _, sent := range []string{"", "hal", "half"} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderVersion, "1")
				w.Header().Set("Transfer-Encoding", "identity")
				_, _ = io.WriteString(w, sent)
			}))
			DeferCleanup(s.Close)
			got, err := platform.NewClient(s.URL).Get(ctx, "a")
			var down *platform.ErrUnavailable
			Expect(errors.As(err, &down)).To(BeTrue(), "%q: %v", got.Data, err)
		}
	})
	It("returns the same instance list until it changes, then the new one", func() {
		list.Put(platform.Instance{Name: "a"})
		for range 2 {
			all, err := c.Instances(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(all).To(HaveLen(1))
		}
		list.Put(platform.Instance{Name: "b"})
		all, err := c.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(2))
	})
	It("reports after which time a throttled fetch of weights may be retried", func() {
		Expect(c.Fetch(ctx, "m", "", "")).To(Succeed())
		var slow *platform.ErrThrottled
		Expect(errors.As(c.Fetch(ctx, "m", "", ""), &slow)).To(BeTrue())
		Expect(slow.RetryAfter).To(BeNumerically(">", 0))
	})
})
