package cmds

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	openai "github.com/sashabaranov/go-openai"

	"github.com/hopwell/hopwell/pkg/demo"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestCommands(t *testing.T) { spectest.Run(t, "cmds") }

var _ = Describe("hopwell workspace with a demo fleet and an OpenAI client library", Ordered, func() {
	var d *demo.Demo
	var admin, base string
	ctx := context.Background()

	BeforeAll(func() {
		startCtx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		var err error
		d, err = demo.Start(startCtx, demo.Options{})
		Expect(err).NotTo(HaveOccurred())
		admin, base = d.Gateways[0].Ports().Admin, "http://"+d.Gateways[0].Ports().Callers
	})
	AfterAll(func() { d.Close() })

	hopwell := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := New()
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append([]string{"--admin", admin}, args...))
		err := root.ExecuteContext(ctx)
		return out.String(), err
	}
	complete := func(key string) error {
		c := openai.DefaultConfig(key)
		c.BaseURL = base + "/v1"
		_, err := openai.NewClientWithConfig(c).CreateCompletion(ctx, openai.CompletionRequest{Model: demo.Model, Prompt: "Translate the strings", MaxTokens: 8})
		return err
	}
	apiError := func(err error) *openai.APIError {
		var api *openai.APIError
		ExpectWithOffset(1, errors.As(err, &api)).To(BeTrue(), "%v", err)
		return api
	}
	var key string

	It("requires no key while no workspace exists", func() {
		Expect(complete("anything")).To(Succeed())
	})

	It("creates a key, prints it once and does not list it", func() {
		_, err := hopwell("workspace", "set", "lexicon", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		out, err := hopwell("workspace", "key", "add", "lexicon", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		fields := strings.Fields(out)
		key = fields[len(fields)-1]
		Expect(key).To(HavePrefix(keyPrefix))
		list, err := hopwell("workspace", "list", "-o", "json")
		Expect(err).NotTo(HaveOccurred())
		Expect(list).NotTo(ContainSubstring(key))
	})

	It("serves requests with the key and refuses an unknown key", func() {
		Expect(complete(key)).To(Succeed())
		api := apiError(complete("hw-unknown"))
		Expect(api.HTTPStatusCode).To(Equal(http.StatusUnauthorized))
		Expect(api.Code).To(Equal("invalid_api_key"))
	})

	It("refuses a Hopwell-Workspace header that differs from the key's workspace", func() {
		r, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(`{"model":"`+demo.Model+`","prompt":"x"}`))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Hopwell-Workspace", "another")
		res, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusForbidden))
	})

	It("refuses requests above the limit of a workspace until the limit is removed", func() {
		_, err := hopwell("workspace", "set", "lexicon", "--unit", "requests", "--rate", "0.5", "--burst", "2", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			var api *openai.APIError
			if errors.As(complete(key), &api) {
				return api.HTTPStatusCode
			}
			return http.StatusOK
		}).WithTimeout(10 * time.Second).Should(Equal(http.StatusTooManyRequests))
		Expect(apiError(complete(key)).Code).To(Equal("rate_limit_exceeded"))
		usage, err := hopwell("workspace", "usage")
		Expect(err).NotTo(HaveOccurred())
		Expect(usage).To(ContainSubstring("lexicon"))
		_, err = hopwell("workspace", "set", "lexicon", "--rate", "0", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(complete(key)).To(Succeed())
	})

	It("revokes a key by its fingerprint, but not by a shorter prefix", func() {
		list, err := hopwell("workspace", "list")
		Expect(err).NotTo(HaveOccurred())
		_, keyFingerprint, _ := strings.Cut(strings.TrimSpace(list), "keys=")
		_, err = hopwell("workspace", "key", "revoke", "lexicon", keyFingerprint[:4])
		Expect(err).To(BeAssignableToTypeOf(&errInput{}), "fingerprint is too short to identify a key")
		_, err = hopwell("workspace", "key", "revoke", "lexicon", keyFingerprint, "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(apiError(complete(key)).HTTPStatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("refuses an unknown workspace and a negative rate", func() {
		_, err := hopwell("workspace", "key", "add", "nobody")
		Expect(err).To(MatchError(ContainSubstring("no such workspace")))
		_, err = hopwell("workspace", "set", "lexicon", "--rate", "-1")
		Expect(err).To(MatchError(ContainSubstring("limit.rate")))
	})
})
