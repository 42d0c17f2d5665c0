package realtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/demo"
	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
)

// startIdleFleet builds and starts a fleet for a benchmark and waits until it is
// idle.
func startIdleFleet(b *testing.B, size Size) *Fleet {
	b.Helper()
	binary, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, err := Start(ctx, binary, b.TempDir(), size)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	time.Sleep(5 * time.Second)
	return f
}

// sumUsage sums the resource usage of the processes whose names begin with a
// prefix, and counts them.
func sumUsage(b *testing.B, f *Fleet, prefix string) (sum Usage, n int) {
	b.Helper()
	for name := range f.Daemons {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		u, err := f.Usage(name)
		if err != nil {
			b.Fatal(err)
		}
		sum.CPU, sum.RSS, sum.IO, n = sum.CPU+u.CPU, sum.RSS+u.RSS, sum.IO+u.IO, n+1
	}
	return sum, n
}

// BenchmarkIdle measures an idle fleet: CPU share, bytes read and written and
// memory per process, and the rate of calls to the key-value service in the last span.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 30, 100} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			gateways := max(1, n/3)
			size := Small()
			size.Gateways, size.Prefills, size.Decodes, size.Services = gateways, 0, 0, n-gateways
			f := startIdleFleet(b, size)
			const span = 20 * time.Second
			for _, role := range []string{"gateway", "service"} {
				before, _ := sumUsage(b, f, role)
				reads, writes := f.KV.Calls()
				time.Sleep(span)
				after, k := sumUsage(b, f, role)
				reads2, writes2 := f.KV.Calls()
				per := span.Seconds() * float64(k)
				b.ReportMetric(100*(after.CPU-before.CPU).Seconds()/per, role+"-cpu-%")
				b.ReportMetric(float64(after.IO-before.IO)/per, role+"-bytes/s")
				b.ReportMetric(float64(after.RSS)/float64(k)/(1<<20), role+"-MB")
				b.ReportMetric(float64(reads2-reads+writes2-writes)/span.Seconds(), "kv-calls/s")
			}
		})
	}
}

// largeBatchSize returns the size of a fleet whose engines run many streams at a
// constant step time.
func largeBatchSize(step time.Duration) Size {
	size := Small()
	size.Gateways = 1
	size.Engine.BatchLimit, size.Engine.KVTotal = 10000, 1<<50
	size.Engine.StepBase, size.Engine.StepSlope = step, 0
	for i := range size.Selectors {
		size.Selectors[i].FirstToken, size.Selectors[i].PerToken = fleet.Duration(5*time.Minute), fleet.Duration(time.Minute)
	}
	return size
}

// openRate is the rate at which streams are opened, per second.
const openRate = 400

// readStreams opens n streams and reads them to their end. It calls settled for
// each stream: with true after the first token, or with false at the end of a stream
// without tokens. It returns the number of tokens read.
func readStreams(f *Fleet, n, tokens int, settled func(ok bool)) int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	total := make(chan int, n)
	for i := range n {
		time.Sleep(time.Second / openRate)
		go func() { total <- readStream(client, f, i, tokens, settled) }()
	}
	sum := 0
	for range n {
		sum += <-total
	}
	return sum
}

func readStream(client *http.Client, f *Fleet, i, tokens int, settled func(ok bool)) int {
	n := 0
	defer func() {
		if n == 0 {
			settled(false)
		}
	}()
	body := fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":%d,"stream":true}`, demo.Model, i, tokens)
	r, err := client.Post("http://"+f.Daemons["gateway-1"].Callers+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			if n++; n == 1 {
				settled(true)
			}
		}
	}
	return n
}

// BenchmarkRelay measures the CPU time that the gateway and the sidecar use per
// relayed token.
func BenchmarkRelay(b *testing.B) {
	f := startIdleFleet(b, largeBatchSize(20*time.Millisecond))
	const streams, tokens = 300, 500
	readStreams(f, streams, 20, func(bool) {})
	roles := []string{"gateway", "decode"}
	before := map[string]Usage{}
	for _, role := range roles {
		before[role], _ = sumUsage(b, f, role)
	}
	began := time.Now()
	n := readStreams(f, streams, tokens, func(bool) {})
	b.ReportMetric(float64(n)/time.Since(began).Seconds(), "tokens/s")
	for _, role := range roles {
		after, _ := sumUsage(b, f, role)
		b.ReportMetric(float64((after.CPU-before[role].CPU).Microseconds())/float64(n), role+"-us/token")
	}
}

// BenchmarkStreams measures the memory of the processes with many open streams.
func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := startIdleFleet(b, largeBatchSize(time.Second))
			idle, _ := sumUsage(b, f, "gateway")
			var open atomic.Int64
			var settled sync.WaitGroup
			settled.Add(n)
			go readStreams(f, n, 10000, func(ok bool) {
				if ok {
					open.Add(1)
				}
				settled.Done()
			})
			settled.Wait()
			b.ReportMetric(float64(open.Load()), "open")
			for _, role := range []string{"gateway", "decode"} {
				u, k := sumUsage(b, f, role)
				b.ReportMetric(float64(u.RSS)/float64(k)/(1<<20), role+"-MB")
			}
			u, _ := sumUsage(b, f, "gateway")
			b.ReportMetric(float64(u.RSS-idle.RSS)/float64(open.Load())/(1<<10), "gateway-KB/stream")
		})
	}
}

// BenchmarkFirstToken measures the time to the first token through hopwell and
// directly from the engines, in alternation, and their ratio.
func BenchmarkFirstToken(b *testing.B) {
	f := startIdleFleet(b, largeBatchSize(5*time.Millisecond))
	prefill, decode := f.Engines["prefill-1"], f.Engines["decode-1"]
	var direct, through time.Duration
	n := 0
	for b.Loop() {
		n++
		began := time.Now()
		requestDirect(b, prefill, decode, fmt.Sprintf("direct %d", n))
		direct += time.Since(began)
		began = time.Now()
		r, err := http.Post("http://"+f.Daemons["gateway-1"].Callers+"/v1/completions", "application/json",
			strings.NewReader(fmt.Sprintf(`{"model":%q,"prompt":"through %d","max_tokens":1}`, demo.Model, n)))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		through += time.Since(began)
	}
	b.ReportMetric(float64(direct.Microseconds())/float64(n), "direct-us")
	b.ReportMetric(float64(through.Microseconds())/float64(n), "through-us")
	b.ReportMetric(float64(through)/float64(direct), "ratio")
}

// requestDirect prefills on one engine and decodes a token on another over the
// engines' HTTP API.
func requestDirect(b *testing.B, prefill, decode *fake.Engine, prompt string) {
	b.Helper()
	ctx := context.Background()
	x, err := prefill.Prefill(ctx, engine.Prefill{ID: prompt, Model: demo.Model, Prompt: prompt, Tokens: len(prompt) / 4})
	if err == nil {
		err = decode.Decode(ctx, engine.Decode{ID: prompt, Model: demo.Model, Prompt: prompt, PromptTokens: len(prompt) / 4, Source: &x, MaxTokens: 1},
			func() {}, func(engine.Token) error { return nil })
	}
	if err != nil {
		b.Fatal(err)
	}
}
