package ingressdemo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

const (
	// plainShare is the share of the requests that go to the plain service.
	plainShare = 0.4
	// resumableShare is the share of the generation requests that are sent to /again/, the
	// route that is configured as resumable.
	resumableShare = 0.5
	// minPromptTokens and maxPromptTokens bound the length of a prompt, and
	// maxOutputTokens the length of a response, in tokens.
	minPromptTokens, maxPromptTokens = 300, 3000
	maxOutputTokens                  = 720
	// requestTimeout bounds the time of a request over all of its attempts.
	requestTimeout = 12 * time.Second
	// firstByteTarget is the time-to-first-byte target of the routes in the stand-ins'
	// configuration.
	firstByteTarget = 900 * time.Millisecond
	// maxAttempts is the maximum number of attempts per request.
	maxAttempts = 3
	// failureBackoff is the delay after an attempt that failed without a Retry-After.
	failureBackoff = 200 * time.Millisecond
)

// load starts requests as a Poisson process until the context ends.
func (d *Demo) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	for serial := 0; ; serial++ {
		pause := time.Duration(random.ExpFloat64() / d.rate(time.Now()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c := newClientRequest(d, serial, random)
		d.done.Go(func() { d.tally.add(time.Now(), c.run(ctx)) })
	}
}

// rate returns the current request rate, per second.
func (d *Demo) rate(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.burstEnd) {
		return d.options.Rate * d.rateFactor
	}
	return d.options.Rate
}

// clientRequest is one request of a client with its attempts.
type clientRequest struct {
	demo              *Demo
	name, path        string
	prompt            int
	began             time.Time
	lastEventID       string
	attempts, gateway int
	// first is the time from the start of the request to the first byte of a response,
	// or 0 if none was received.
	first time.Duration
	// refused is set once an attempt was refused with 429 or 503.
	refused bool
	// workspace is the workspace of the request, or nil if the demo has no workspaces.
	workspace *demoWorkspace
}

func newClientRequest(d *Demo, serial int, random *rand.Rand) *clientRequest {
	c := &clientRequest{
		demo: d, name: fmt.Sprintf("request-%d", serial), gateway: random.IntN(d.options.Gateways), path: "/once/",
		prompt: minPromptTokens + random.IntN(maxPromptTokens-minPromptTokens),
	}
	if random.Float64() < plainShare {
		c.path, c.prompt = "/read/", 0
	} else if random.Float64() < resumableShare {
		c.path = "/again/"
	}
	if d.options.Workspaces {
		c.workspace = pickWorkspace(random)
	}
	return c
}

// run sends the request and retries it, after the delay that the response asks for, until
// it succeeds, must not be retried, or runs out of attempts or time.
func (c *clientRequest) run(ctx context.Context) result {
	c.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for c.attempts = 1; c.attempts <= maxAttempts; c.attempts++ {
		delay, err := c.attempt(ctx)
		if err == nil {
			return c.served()
		}
		if delay < 0 || ctx.Err() != nil {
			break
		}
		c.gateway++
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if c.refused && c.first == 0 {
		return refused
	}
	return lost
}

// served returns the result of a request that received a complete response.
func (c *clientRequest) served() result {
	if c.first > firstByteTarget || c.refused {
		return late
	}
	return inTime
}

// errTry reports why an attempt failed.
type errTry struct {
	Status int
	Err    error
}

// Error implements error.
func (e *errTry) Error() string {
	return fmt.Sprintf("attempt failed: status=%d cause=%v", e.Status, e.Err)
}

// noRetry is the delay returned for a request that must not be retried.
const noRetry = time.Duration(-1)

// attempt sends the request once. After a failure it returns the delay before the next
// attempt, or noRetry.
func (c *clientRequest) attempt(ctx context.Context) (time.Duration, error) {
	r, err := c.request(ctx)
	if err != nil {
		return failureBackoff, err
	}
	res, err := c.demo.client.Do(r)
	if err != nil {
		return c.backoffAfterFailure(), &errTry{Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		c.refused = true
		return retryAfter(res), &errTry{Status: res.StatusCode}
	}
	if res.StatusCode != http.StatusOK {
		return c.backoffAfterFailure(), &errTry{Status: res.StatusCode}
	}
	if err := c.read(res.Body); err != nil {
		return c.backoffAfterFailure(), &errTry{Status: res.StatusCode, Err: err}
	}
	return 0, nil
}

// request builds the HTTP request of one attempt. Each attempt has its own request ID.
func (c *clientRequest) request(ctx context.Context) (*http.Request, error) {
	gateways := c.demo.Callers()
	if len(gateways) == 0 {
		return nil, &errTry{Err: errors.New("no gateway is up")}
	}
	url := gateways[c.gateway%len(gateways)] + c.path + c.name
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt of "+c.name))
	if err != nil {
		return nil, err
	}
	call := standin.Call{
		ID: fmt.Sprintf("%s.%d", c.name, c.attempts), Left: requestTimeout - time.Since(c.began),
		PromptID: c.name, Prompt: c.prompt, MaxOut: maxOutputTokens, After: c.lastEventID,
	}
	call.Write(r)
	c.authorize(r)
	return r, nil
}

// backoffAfterFailure returns the delay before a request whose response was lost is
// retried, or noRetry if the request must not be repeated.
func (c *clientRequest) backoffAfterFailure() time.Duration {
	if c.path == "/once/" {
		return noRetry
	}
	return failureBackoff
}

// retryAfter returns the delay from the Retry-After header of a refusal, or
// failureBackoff if the header is missing or invalid.
func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return failureBackoff
	}
	return time.Duration(seconds * float64(time.Second))
}

// read reads a response body. It records the time of the first line and the ID of the last
// event, from which the next attempt resumes the stream.
func (c *clientRequest) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if c.first == 0 {
			c.first = time.Since(c.began)
		}
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			c.lastEventID = id
		}
	}
	return lines.Err()
}
