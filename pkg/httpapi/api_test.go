package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/openai"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/wire"
)

func TestHTTPAPI(t *testing.T) { spectest.Run(t, "httpapi") }

// newAPI returns the API of a gateway without runners.
func newAPI() *API {
	n := node.New(node.Options{Self: platform.Instance{Name: "g"}, KV: fake.NewKV(), List: fake.NewList(), Dial: wire.TCP})
	policy, err := route.New(route.NameHopwell)
	if err != nil {
		panic(err)
	}
	return New(gateway.New(n, gateway.Options{Policy: policy, Lease: gateway.DefaultLease, MaxOpen: 2, MaxPerWorkspace: 2, MaxPrompt: 1000}))
}

// post sends a body and returns the status, the error and the headers of the
// response.
func post(path, body string, headers ...string) (int, openai.Error, http.Header) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	newAPI().ServeHTTP(w, r)
	var e openai.ErrorBody
	_ = json.Unmarshal(w.Body.Bytes(), &e)
	return w.Code, e.Error, w.Result().Header
}

var _ = Describe("a bad request", func() {
	DescribeTable("is rejected with a specific error and the outcome not_run", func(body string, status int, code, param string, headers ...string) {
		got, e, h := post("/v1/completions", body, headers...)
		Expect(got).To(Equal(status))
		Expect(e.Code).To(Equal(code))
		Expect(e.Outcome).To(Equal("not_run"))
		Expect(h.Get(HeaderOutcome)).To(Equal("not_run"))
		if param != "" {
			Expect(*e.Param).To(Equal(param))
		}
	},
		Entry("invalid JSON", `{"model":`, 400, "invalid_value", "body"),
		Entry("a field of the wrong type", `{"model":7}`, 400, "invalid_value", "model"),
		Entry("no model", `{"prompt":"x"}`, 400, "invalid_value", "model"),
		Entry("no prompt", `{"model":"m"}`, 400, "invalid_value", "prompt"),
		Entry("a prompt of numbers", `{"model":"m","prompt":[1,2]}`, 400, "invalid_value", "body"),
		Entry("more than one choice", `{"model":"m","prompt":"x","n":3}`, 400, "invalid_value", "n"),
		Entry("a negative max_tokens", `{"model":"m","prompt":"x","max_tokens":-1}`, 400, "invalid_value", "max_tokens"),
		Entry("an unknown model", `{"model":"m","prompt":"x"}`, 404, "model_not_found", ""),
		Entry("a prompt that is too long", `{"model":"m","prompt":"`+strings.Repeat("x", 5000)+`"}`, 400, "context_length_exceeded", ""),
		Entry("a body that is not UTF-8", "{\"model\":\"m\",\"prompt\":\"a\xffb\"}", 400, "invalid_value", "body"),
		Entry("a body that is too large", strings.Repeat(" ", MaxBody+1), 413, "body_too_large", ""),
		Entry("headers that are too large", `{"model":"m","prompt":"x"}`, 431, "header_too_large", "", "X", strings.Repeat("x", 70000)),
		Entry("an invalid repeatable header", `{"model":"m","prompt":"x"}`, 400, "invalid_value", HeaderRepeatable, HeaderRepeatable, "perhaps"),
		Entry("an idempotency key that is too long", `{"model":"m","prompt":"x"}`, 400, "invalid_value", HeaderKey, HeaderKey, strings.Repeat("k", 300)),
	)
	It("for an unknown path gets status 404 with code not_found", func() {
		got, e, _ := post("/v2/x", "")
		Expect(got).To(Equal(404))
		Expect(e.Code).To(Equal("not_found"))
	})
})

func FuzzRequest(f *testing.F) {
	f.Add("/v1/completions", []byte(`{"model":"m","prompt":["a","b"],"stream":true}`))
	f.Add("/v1/chat/completions", []byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add("/services/x/y", []byte("z"))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") && !strings.HasPrefix(path, "/services/") {
			return
		}
		r, err := http.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		newAPI().ServeHTTP(w, r)
		if w.Code >= 500 && w.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
