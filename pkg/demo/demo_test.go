package demo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	openai "github.com/sashabaranov/go-openai"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestDemo(t *testing.T) { spectest.Run(t, "demo") }

const prompt = "Translate the strings of the hull survey"

var _ = Describe("the demo, driven by an OpenAI client library", Ordered, func() {
	var d *Demo
	var client *openai.Client
	var base string
	ctx := context.Background()

	BeforeAll(func() {
		begin, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		var err error
		d, err = Start(begin, Options{})
		Expect(err).NotTo(HaveOccurred())
		base = "http://" + d.Gateways[0].Ports().Callers
		c := openai.DefaultConfig("unused")
		c.BaseURL = base + "/v1"
		client = openai.NewClientWithConfig(c)
	})
	AfterAll(func() { d.Close() })

	It("streams a completion that is prefilled and decoded on separate engines", func() {
		s, err := client.CreateCompletionStream(ctx, openai.CompletionRequest{Model: Model, Prompt: prompt, MaxTokens: 16, Stream: true})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		var text strings.Builder
		for {
			r, err := s.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			text.WriteString(r.Choices[0].Text)
		}
		Expect(text.String()).To(Equal(fake.Answer(prompt, 16)))
		Expect(d.engines[0].Stats().Decoded + d.engines[1].Stats().Decoded + d.engines[2].Stats().Decoded).To(BeZero())
		var prefilled int64
		for _, e := range d.engines[:prefills] {
			prefilled += e.Stats().Prefilled
		}
		Expect(prefilled).To(BeNumerically(">", 0))
	})

	It("serves a chat completion without streaming", func() {
		r, err := client.CreateChatCompletion(ctx, openai.ChatCompletionRequest{
			Model: Model, MaxCompletionTokens: 8,
			Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "Is the part in stock?"}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Choices[0].FinishReason).To(Equal(openai.FinishReasonLength))
		Expect(strings.Fields(r.Choices[0].Message.Content)).To(HaveLen(8))
		Expect(r.Usage.CompletionTokens).To(Equal(8))
	})

	It("streams a chat completion", func() {
		s, err := client.CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
			Model: Model, MaxCompletionTokens: 8, Stream: true,
			Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "And this one?"}},
		})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		pieces := 0
		for {
			_, err := s.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			pieces++
		}
		Expect(pieces).To(Equal(9))
	})

	It("lists the models of the selectors", func() {
		l, err := client.ListModels(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Models).To(HaveLen(1))
		Expect(l.Models[0].ID).To(Equal(Model))
	})

	It("reports an unknown model as an API error of the client library", func() {
		_, err := client.CreateCompletion(ctx, openai.CompletionRequest{Model: "nope", Prompt: "x"})
		var api *openai.APIError
		Expect(errors.As(err, &api)).To(BeTrue())
		Expect(api.HTTPStatusCode).To(Equal(http.StatusNotFound))
		Expect(api.Code).To(Equal("model_not_found"))
	})

	It("forwards a request to the plain service", func() {
		r, err := http.Post(base+"/services/memory/lookup", "text/plain", strings.NewReader("keel"))
		Expect(err).NotTo(HaveOccurred())
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("POST /lookup keel"))
		Expect(r.Header.Get("Hopwell-Outcome")).To(Equal("done"))
	})

	It("rejects a body of 40 MB with 413", func() {
		res, err := http.Post(base+"/v1/completions", "application/json", strings.NewReader(strings.Repeat(" ", 40<<20)))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		text, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("body_too_large"))
	})

	It("frees the engine memory of a client that disconnects", func() {
		gone, cancel := context.WithCancel(ctx)
		s, err := client.CreateCompletionStream(gone, openai.CompletionRequest{Model: Model, Prompt: "A long answer", MaxTokens: 20000, Stream: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(kvUsed(d)).To(BeNumerically(">", 0))
		cancel()
		s.Close()
		Eventually(func() int64 { return kvUsed(d) }).WithTimeout(10 * time.Second).WithPolling(10 * time.Millisecond).Should(BeZero())
	})
})

// kvUsed returns the KV cache memory in use on all engines together.
func kvUsed(d *Demo) int64 {
	var sum int64
	for _, e := range d.engines {
		sum += e.KVUsed()
	}
	return sum
}
