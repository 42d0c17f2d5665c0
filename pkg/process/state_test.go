package process

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

// testStateBytes bounds the states in these tests, in bytes.
const testStateBytes = 8 << 20

// Guards against a timeout of the whole call, which cuts off responses that arrive over a slow link.
func TestSlowStateTransferIsNotCutOff(t *testing.T) {
	g := NewWithT(t)
	const parts = 8
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"at":7,"items":[`)
		for range parts {
			fmt.Fprint(w, strings.Repeat(" ", 64))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(stateReadTimeout / 4)
		}
		fmt.Fprint(w, `]}`)
	}))
	defer server.Close()
	s, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), testStateBytes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.At).To(Equal(store.Revision(7)))
}

func TestStalledStateTransferTimesOut(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"at":7,`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	began := time.Now()
	_, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), testStateBytes)
	g.Expect(err).To(MatchError(ContainSubstring("not readable")))
	g.Expect(time.Since(began)).To(BeNumerically(">=", stateReadTimeout))
}

// Gateways may have links on which an uncompressed state takes a second.
func TestStateIsCompressedForClientsThatAcceptGzip(t *testing.T) {
	g := NewWithT(t)
	sent := sharedState{At: 9}
	for i := range 1000 {
		sent.Items = append(sent.Items, store.Item{Key: fmt.Sprintf("servers/i-%04d", i), Value: []byte(`{"service":"llm","address":"10.0.0.1:8000","state":"ready"}`), Revision: store.Revision(i)})
	}
	var bytes int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := httptest.NewRecorder()
		_ = writeState(counted, r, sent)
		bytes = counted.Body.Len()
		_ = writeState(w, r, sent)
	}))
	defer server.Close()
	got, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), testStateBytes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Items).To(Equal(sent.Items))
	g.Expect(bytes).To(BeNumerically("<", 40_000), "compressed from some 200 kB")

	plain := httptest.NewRecorder()
	g.Expect(writeState(plain, httptest.NewRequest(http.MethodGet, statePath, nil), sent)).To(Succeed())
	g.Expect(plain.Header().Get("Content-Encoding")).To(BeEmpty(), "the client does not accept gzip")
	g.Expect(plain.Body.Len()).To(BeNumerically(">", 100_000))
}

func TestSampleKeepsFirstHalfInOrder(t *testing.T) {
	g := NewWithT(t)
	list := []string{"new", "newer", "c", "d", "e", "f"}
	asked := sample(slices.Clone(list), 4)
	g.Expect(asked).To(HaveLen(4))
	g.Expect(asked[:2]).To(Equal([]string{"new", "newer"}))
	g.Expect(list).To(ContainElements(asked))
	g.Expect(sample(list[:3], 4)).To(Equal(list[:3]))
}

// If many gateways start at once, the one with a state would share its link among all of them and with its
// clients.
func TestConcurrentStateTransfersAreLimited(t *testing.T) {
	g := NewWithT(t)
	p := &Ingress{feed: &feed{}, log: decisionlog.New("a", io.Discard), Ingress: ingress.New(ingress.Options{Name: "a"})}
	ask := func() int {
		w := httptest.NewRecorder()
		p.serveState(w, httptest.NewRequest(http.MethodGet, statePath, nil))
		return w.Code
	}
	g.Expect(ask()).To(Equal(http.StatusServiceUnavailable), "the copy of the store is empty")
	p.feed.storeCopy.replace([]store.Item{{Key: platform.ConfigKey, Revision: 1}}, 1)
	p.stateTransfers.Store(maxStateTransfers - 1)
	g.Expect(ask()).To(Equal(http.StatusOK))
	p.stateTransfers.Store(maxStateTransfers)
	g.Expect(ask()).To(Equal(http.StatusServiceUnavailable), "the maximum number of transfers is in progress")
	g.Expect(p.stateTransfers.Load()).To(Equal(int32(maxStateTransfers)))
}

// Guards against a gateway that starts while the store does not respond and sends work to runners that
// announced their departure to other gateways.
func TestStateListsLeavingRunners(t *testing.T) {
	g := NewWithT(t)
	p := &Ingress{feed: &feed{}, log: decisionlog.New("a", io.Discard), Ingress: ingress.New(ingress.Options{Name: "a"})}
	p.feed.storeCopy.replace([]store.Item{{Key: platform.ConfigKey, Revision: 1}}, 1)
	p.Ingress.Directory.Notices.Observe("r@1", notice.Notice{Leaving: true}, time.Now())
	server := httptest.NewServer(http.HandlerFunc(p.serveState))
	defer server.Close()
	s, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), testStateBytes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Leaving).To(ConsistOf("r@1"))
}

// Guards against another gateway's copy of the store without an end, or whose decoded form takes many
// times its length.
func TestStateOfAGatewayIsBounded(t *testing.T) {
	const limit = 1 << 20
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, _ = io.WriteString(z, `{"leaving":["`+strings.Repeat("x", 4*limit))
	_ = z.Close()
	for name, c := range map[string]struct {
		write func(w io.Writer) error
		bound int64
	}{
		"endless": {func(w io.Writer) error {
			_, err := io.WriteString(w, `{"items":[`)
			for err == nil {
				_, err = io.WriteString(w, strings.Repeat(" ", 1000))
			}
			return err
		}, limit},
		"many values": {func(w io.Writer) error {
			_, err := io.WriteString(w, `{"items":[{}`+strings.Repeat(",{}", limit/4)+"]}")
			return err
		}, maxStateValues},
		"compressed": {func(w io.Writer) error {
			w.(http.ResponseWriter).Header().Set("Content-Encoding", "gzip")
			_, err := w.Write(compressed.Bytes())
			return err
		}, limit},
	} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = c.write(w) }))
		_, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), limit)
		server.Close()
		var tooLarge *memory.ErrTooLarge
		g.Expect(errors.As(err, &tooLarge)).To(BeTrue(), "%s: %v", name, err)
		g.Expect(tooLarge.Bound).To(Equal(c.bound), name)
	}
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 2*maxStateHead))
	}))
	defer server.Close()
	_, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), limit)
	g.Expect(err).To(MatchError(ContainSubstring(fmt.Sprint(maxStateHead))))
}

// Guards against ages in another gateway's state that overflow: one counts as recent, the other as in the future, so
// that revoked keys would be accepted.
func TestAgesOfAStateDoNotOverflow(t *testing.T) {
	for text, usable := range map[string]bool{
		`{"at":7,"age_ms":18446744073710}`:           false,
		`{"at":7,"age_ms":9223372036854775807}`:      false,
		`{"at":7,"age_ms":-9223372036854775808}`:     false,
		`{"at":7,"assured_us":18446744073709552}`:    true,
		`{"at":7,"assured_us":9223372036854775807}`:  true,
		`{"at":7,"assured_us":-9223372036854775808}`: true,
	} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }))
		s, err := fetchState(t.Context(), stateClient(), strings.TrimPrefix(server.URL, "http://"), testStateBytes)
		server.Close()
		g.Expect(err == nil).To(Equal(usable), text)
		g.Expect(s.confirmed.IsZero()).To(BeTrue(), text)
	}
}
