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

var _ = Describe("hopwell workspace, before a fleet and an OpenAI client library", Ordered, func() {
	var d *demo.Demo
	var admin, base string
	ctx := context.Background()

	BeforeAll(func() {
		begin, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		var err error
		d, err = demo.Start(begin, demo.Options{})
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
	ask := func(key string) error {
		c := openai.DefaultConfig(key)
		c.BaseURL = base + "/v1"
		_, err := openai.NewClientWithConfig(c).CreateCompletion(ctx, openai.CompletionRequest{Model: demo.Model, Prompt: "Translate the strings", MaxTokens: 8})
		return err
	}
	refusal := func(err error) *openai.APIError {
		var api *openai.APIError
		ExpectWithOffset(1, errors.As(err, &api)).To(BeTrue(), "%v", err)
		return api
	}
	var key string

	It("asks nobody for a key before there is a workspace", func() {
		Expect(ask("anything")).To(Succeed())
	})

	It("makes a key, shows it once and keeps a digest", func() {
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

	It("has requests served that show it, and no others", func() {
		Expect(ask(key)).To(Succeed())
		api := refusal(ask("hw-unknown"))
		Expect(api.HTTPStatusCode).To(Equal(http.StatusUnauthorized))
		Expect(api.Code).To(Equal("invalid_api_key"))
	})

	It("does not believe a header against the key", func() {
		r, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(`{"model":"`+demo.Model+`","prompt":"x"}`))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Hopwell-Workspace", "another")
		res, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusForbidden))
	})

	It("keeps a workspace within its limit, and says when to come back", func() {
		_, err := hopwell("workspace", "set", "lexicon", "--unit", "requests", "--rate", "0.5", "--burst", "2", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			var api *openai.APIError
			if errors.As(ask(key), &api) {
				return api.HTTPStatusCode
			}
			return http.StatusOK
		}).WithTimeout(10 * time.Second).Should(Equal(http.StatusTooManyRequests))
		Expect(refusal(ask(key)).Code).To(Equal("rate_limit_exceeded"))
		usage, err := hopwell("workspace", "usage")
		Expect(err).NotTo(HaveOccurred())
		Expect(usage).To(ContainSubstring("lexicon"))
		_, err = hopwell("workspace", "set", "lexicon", "--rate", "0", "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(ask(key)).To(Succeed())
	})

	It("takes a key away by its fingerprint", func() {
		list, err := hopwell("workspace", "list")
		Expect(err).NotTo(HaveOccurred())
		_, print, _ := strings.Cut(strings.TrimSpace(list), "keys=")
		_, err = hopwell("workspace", "key", "revoke", "lexicon", print[:4])
		Expect(err).To(BeAssignableToTypeOf(&errInput{}), "too short to be sure")
		_, err = hopwell("workspace", "key", "revoke", "lexicon", print, "--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(refusal(ask(key)).HTTPStatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("refuses what names no workspace", func() {
		_, err := hopwell("workspace", "key", "add", "nobody")
		Expect(err).To(MatchError(ContainSubstring("no such workspace")))
		_, err = hopwell("workspace", "set", "lexicon", "--rate", "-1")
		Expect(err).To(MatchError(ContainSubstring("limit.rate")))
	})
})
