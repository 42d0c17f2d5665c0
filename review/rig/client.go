package rig

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client received for one request.
type Answer struct {
	ID     string
	Status int
	Stamp  string
	Body   string
	// Whole is set if the answer ended as complete.
	Whole bool
	Err   error
}

// Client sends requests to a gateway.
type Client struct {
	*Record
	Address string
}

// clientTimeout is longer than the deadline of any request.
const clientTimeout = 20 * time.Second

// Send sends one request on a new connection and returns its answer. prompt is the number of prompt tokens, 0 for a
// request without a prompt.
func (c *Client) Send(route, id string, deadline time.Duration, prompt int) Answer {
	return c.SendUntil(context.Background(), route, id, deadline, prompt)
}

// SendUntil is Send for a client that closes its connection when the context ends.
func (c *Client) SendUntil(ctx context.Context, route, id string, deadline time.Duration, prompt int) Answer {
	a := Answer{ID: id}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/"+route+"/x", strings.NewReader("body of "+id))
	if err != nil {
		a.Err = err
		return a
	}
	q.Host = Host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if prompt > 0 {
		q.Header.Set("X-Model", "m")
		q.Header.Set("X-Token-Count", strconv.Itoa(prompt)+",136")
		q.Header.Set("X-Length-Hint", "68")
		q.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+strconv.FormatUint(hash(id), 16)+":"+strconv.Itoa(prompt-200))
	}
	c.Line("client sends %s on %s", id, route)
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(q)
	if err != nil {
		a.Err = err
		c.Line("client gets no answer to %s: %v", id, err)
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.Status, a.Stamp, a.Body, a.Whole, a.Err = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(body), err == nil, err
	c.Line("client gets answer to %s: status=%d stamp=%q retry_after=%q bytes=%d whole=%t", id, a.Status, a.Stamp, response.Header.Get("Retry-After"), len(body), a.Whole)
	return a
}

// hash returns a number for an ID (FNV-1a).
func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
