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
	// lookupPart is the part of the requests that goes to the plain service.
	lookupPart = 0.4
	// resumablePart is the part of the generations whose stream may be resumed.
	resumablePart = 0.5
	// leastPrompt and mostPrompt bound a prompt, mostOut is an answer's limit; in
	// tokens.
	leastPrompt, mostPrompt = 300, 3000
	mostOut                 = 720
	// patience is how long a client waits in all.
	patience = 12 * time.Second
	// aim is the time to the first byte that the stand-in's routes promise.
	aim = 900 * time.Millisecond
	// maxTries is how often a client asks.
	maxTries = 3
	// failedPause is how long a client waits after a try that got no answer.
	failedPause = 200 * time.Millisecond
)

// load begins requests at random moments until the context ends.
func (d *Demo) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.options.Seed, 1))
	for serial := 0; ; serial++ {
		pause := time.Duration(random.ExpFloat64() / d.rate(time.Now()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		u := newUser(d, serial, random)
		d.done.Go(func() { d.tally.add(time.Now(), u.ask(ctx)) })
	}
}

// rate returns how many requests begin in a second now.
func (d *Demo) rate(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.burstEnd) {
		return d.options.Rate * d.burst
	}
	return d.options.Rate
}

// user is a client with one request.
type user struct {
	demo           *Demo
	name, path     string
	prompt         int
	began          time.Time
	after          string
	tries, gateway int
	// first is the time to the first byte of an answer; 0 before it.
	first time.Duration
	// refused is set when a try was turned away.
	refused bool
	// workspace is whose request it is; nil where there are no workspaces.
	workspace *demoWorkspace
}

func newUser(d *Demo, serial int, random *rand.Rand) *user {
	u := &user{
		demo: d, name: fmt.Sprintf("request-%d", serial), gateway: random.IntN(d.options.Gateways), path: "/once/",
		prompt: leastPrompt + random.IntN(mostPrompt-leastPrompt),
	}
	if random.Float64() < lookupPart {
		u.path, u.prompt = "/read/", 0
	} else if random.Float64() < resumablePart {
		u.path = "/again/"
	}
	if d.options.Workspaces {
		u.workspace = pickWorkspace(random)
	}
	return u
}

// ask asks, and comes back as it is told, until the request ends.
func (u *user) ask(ctx context.Context) result {
	u.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for u.tries = 1; u.tries <= maxTries; u.tries++ {
		again, err := u.try(ctx)
		if err == nil {
			return u.served()
		}
		if again < 0 || ctx.Err() != nil {
			break
		}
		u.gateway++
		select {
		case <-time.After(again):
		case <-ctx.Done():
		}
	}
	if u.refused && u.first == 0 {
		return refused
	}
	return lost
}

// served tells how well a request was served.
func (u *user) served() result {
	if u.first > aim || u.refused {
		return late
	}
	return inTime
}

// errTry reports why a try did not serve a request.
type errTry struct {
	Status int
	Err    error
}

// Error implements error.
func (e *errTry) Error() string {
	return fmt.Sprintf("not served: status=%d cause=%v", e.Status, e.Err)
}

// never is the pause before another try where none may follow.
const never = time.Duration(-1)

// try asks once. After a failure it returns when to ask again.
func (u *user) try(ctx context.Context) (time.Duration, error) {
	r, err := u.request(ctx)
	if err != nil {
		return failedPause, err
	}
	res, err := u.demo.client.Do(r)
	if err != nil {
		return u.afterLoss(), &errTry{Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		u.refused = true
		return retryAfter(res), &errTry{Status: res.StatusCode}
	}
	if res.StatusCode != http.StatusOK {
		return u.afterLoss(), &errTry{Status: res.StatusCode}
	}
	if err := u.read(res.Body); err != nil {
		return u.afterLoss(), &errTry{Status: res.StatusCode, Err: err}
	}
	return 0, nil
}

// request writes a try. Each has an ID of its own.
func (u *user) request(ctx context.Context) (*http.Request, error) {
	gateways := u.demo.Callers()
	if len(gateways) == 0 {
		return nil, &errTry{Err: errors.New("no gateway is up")}
	}
	url := gateways[u.gateway%len(gateways)] + u.path + u.name
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt of "+u.name))
	if err != nil {
		return nil, err
	}
	call := standin.Call{
		ID: fmt.Sprintf("%s.%d", u.name, u.tries), Left: patience - time.Since(u.began),
		PromptID: u.name, Prompt: u.prompt, MaxOut: mostOut, After: u.after,
	}
	call.Write(r)
	u.authorize(r)
	return r, nil
}

// afterLoss returns when a request whose answer was lost is asked again: what must not
// be repeated never is.
func (u *user) afterLoss() time.Duration {
	if u.path == "/once/" {
		return never
	}
	return failedPause
}

// retryAfter returns when a refused request may come back.
func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return failedPause
	}
	return time.Duration(seconds * float64(time.Second))
}

// read reads an answer and remembers the last event of a stream.
func (u *user) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if u.first == 0 {
			u.first = time.Since(u.began)
		}
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			u.after = id
		}
	}
	return lines.Err()
}
