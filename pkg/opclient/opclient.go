// Package opclient implements the operators' client: it finds the processes of a fleet
// through the platform's instance list and sends requests to their admin ports.
package opclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/trace"
)

const (
	// queryTimeout limits one query of one process.
	queryTimeout = 3 * time.Second
	// changeTimeout limits one attempt to send a change to one process.
	changeTimeout = 10 * time.Second
	// pollInterval is the time between two queries of the progress of a change.
	pollInterval = 100 * time.Millisecond
	// maxParallelQueries limits how many processes are queried at the same time.
	maxParallelQueries = 64
	// maxResponseBytes limits the response of one process, in bytes.
	maxResponseBytes = 16 << 20
)

// ErrAnswer is an error response of a process.
type ErrAnswer struct {
	Process string
	Status  int
	admin.ErrorReply
}

// Error implements error.
func (e *ErrAnswer) Error() string { return e.ErrorReply.Error }

// ErrNoProcess reports that no process responded without an error. Err is the last error.
type ErrNoProcess struct {
	Asked int
	Err   error
}

// Error implements error.
func (e *ErrNoProcess) Error() string {
	return fmt.Sprintf("no process responded without an error: asked=%d last=%v", e.Asked, e.Err)
}

// Unwrap returns the cause.
func (e *ErrNoProcess) Unwrap() error { return e.Err }

// Client sends requests to the admin ports of a fleet.
type Client struct {
	list           platform.List
	adminAddresses []string
	http           *http.Client
}

// New returns a client that finds processes through the platform, or uses only the given
// admin addresses if there are any.
func New(platformURL string, adminAddresses []string) *Client {
	return &Client{list: platform.NewClient(platformURL), adminAddresses: adminAddresses, http: &http.Client{}}
}

// Processes returns all processes, sorted by role and name, so that gateways are first. If the
// client has admin addresses, it returns the processes with these addresses, in their order.
func (c *Client) Processes(ctx context.Context) ([]platform.Instance, error) {
	if len(c.adminAddresses) > 0 {
		var out []platform.Instance
		for _, a := range c.adminAddresses {
			out = append(out, platform.Instance{Name: a, Admin: a})
		}
		return out, nil
	}
	all, err := c.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(all, func(a, b platform.Instance) int {
		return strings.Compare(a.Role+"/"+a.Name, b.Role+"/"+b.Name)
	})
	return all, nil
}

// get sends a GET request to one process and decodes the JSON response.
func (c *Client) get(ctx context.Context, p platform.Instance, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin+path, nil)
	if err != nil {
		return err
	}
	return c.do(r, p, into)
}

func (c *Client) post(ctx context.Context, p platform.Instance, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Admin+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return c.do(r, p, into)
}

func (c *Client) do(r *http.Request, p platform.Instance, into any) error {
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(memory.Limit(resp.Body, "response of "+p.Name, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		out := &ErrAnswer{Process: p.Name, Status: resp.StatusCode}
		if json.Unmarshal(data, &out.ErrorReply) != nil {
			out.ErrorReply.Error = string(data)
		}
		return out
	}
	return json.Unmarshal(data, into)
}

// Result is the response of one process, or the error of the query.
type Result[T any] struct {
	Process platform.Instance
	Value   T
	Err     error
}

// queryAll queries all processes, at most maxParallelQueries at the same time.
func queryAll[T any](ctx context.Context, c *Client, path string) ([]Result[T], error) {
	all, err := c.Processes(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]Result[T], len(all))
	slots := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i].Process = p
			out[i].Err = c.get(ctx, p, path, &out[i].Value)
		})
	}
	wg.Wait()
	return out, nil
}

// Status returns the status of all processes.
func (c *Client) Status(ctx context.Context) ([]Result[admin.Status], error) {
	return queryAll[admin.Status](ctx, c, admin.PathStatus)
}

// Timeline returns the events of all processes in causal order. silent lists the
// processes whose events could not be read: they didn't respond, or responded with an error.
func (c *Client) Timeline(ctx context.Context, f trace.Filter) (events []trace.Event, silent []string, err error) {
	q := url.Values{}
	if f.Request != "" {
		q.Set("request", f.Request)
	}
	if f.Instance != "" {
		q.Set("instance", f.Instance)
	}
	if !f.Since.IsZero() {
		q.Set("since", f.Since.Format(time.RFC3339Nano))
	}
	results, err := queryAll[[]trace.Event](ctx, c, admin.PathTimeline+"?"+q.Encode())
	if err != nil {
		return nil, nil, err
	}
	for _, r := range results {
		if r.Err != nil {
			silent = append(silent, r.Process.Name)
			continue
		}
		events = append(events, r.Value...)
	}
	trace.Sort(events)
	return events, silent, nil
}

// Explain returns the explanation of a request from the gateway that served it.
func (c *Client) Explain(ctx context.Context, id string) (gateway.Explanation, error) {
	results, err := queryAll[gateway.Explanation](ctx, c, admin.PathExplain+url.PathEscape(id))
	if err != nil {
		return gateway.Explanation{}, err
	}
	var last error
	for _, r := range results {
		if r.Err == nil {
			return r.Value, nil
		}
		last = r.Err
	}
	return gateway.Explanation{}, &ErrNoProcess{Asked: len(results), Err: last}
}

// Document returns the newest configuration among the processes that respond.
func (c *Client) Document(ctx context.Context) (*fleet.Document, error) {
	results, err := queryAll[*fleet.Document](ctx, c, admin.PathConfig)
	if err != nil {
		return nil, err
	}
	var newest *fleet.Document
	var last error
	for _, r := range results {
		if r.Err != nil {
			last = r.Err
			continue
		}
		if newest == nil || r.Value.Revision > newest.Revision {
			newest = r.Value
		}
	}
	if newest == nil {
		return nil, &ErrNoProcess{Asked: len(results), Err: last}
	}
	return newest, nil
}

// Change sends a change to one process after another until one accepts or refuses it.
// A change that is sent to several processes has one effect, because of its ID.
func (c *Client) Change(ctx context.Context, change *fleet.Change, dryRun bool) (admin.ChangeReply, error) {
	all, err := c.Processes(ctx)
	if err != nil {
		return admin.ChangeReply{}, err
	}
	path := admin.PathChange
	if dryRun {
		path += "?dry_run=1"
	}
	var last error
	for _, p := range all {
		var reply admin.ChangeReply
		err := c.post(ctx, p, path, change, &reply)
		if err == nil {
			return reply, nil
		}
		var response *ErrAnswer
		if errors.As(err, &response) && response.Status != http.StatusServiceUnavailable {
			return reply, err
		}
		last = err
	}
	return admin.ChangeReply{}, &ErrNoProcess{Asked: len(all), Err: last}
}

// Drain starts the planned stop of an instance's process.
func (c *Client) Drain(ctx context.Context, instance string, deadline time.Duration) error {
	all, err := c.Processes(ctx)
	if err != nil {
		return err
	}
	path := admin.PathDrain
	if deadline > 0 {
		path += "?deadline=" + deadline.String()
	}
	for _, p := range all {
		if p.Name == instance {
			var s admin.Status
			return c.post(ctx, p, path, nil, &s)
		}
	}
	return &ErrUnknownInstance{Name: instance}
}

// ErrUnknownInstance reports that the instance list has no such instance.
type ErrUnknownInstance struct {
	Name string
}

// Error implements error.
func (e *ErrUnknownInstance) Error() string { return fmt.Sprintf("no such instance: name=%q", e.Name) }

// Progress lists the processes that have an older revision and those whose revision could not
// be read.
type Progress struct {
	// Behind lists the processes that have an older revision.
	Behind []string
	// Silent lists the processes whose status could not be read.
	Silent []string
	// Total is the number of all processes.
	Total int
}

// Await polls the status of all processes and calls report each time, until every process that responds has the
// revision or the context ends.
func (c *Client) Await(ctx context.Context, revision uint64, report func(Progress)) error {
	for {
		p, err := c.progress(ctx, revision)
		if err != nil {
			return err
		}
		report(p)
		if len(p.Behind) == 0 {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) progress(ctx context.Context, revision uint64) (Progress, error) {
	results, err := c.Status(ctx)
	if err != nil {
		return Progress{}, err
	}
	p := Progress{Total: len(results)}
	for _, r := range results {
		switch {
		case r.Err != nil:
			p.Silent = append(p.Silent, r.Process.Name)
		case r.Value.Revision < revision:
			p.Behind = append(p.Behind, r.Process.Name)
		}
	}
	return p, nil
}
