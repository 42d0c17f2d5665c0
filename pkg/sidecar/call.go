package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// callRetryAfter is the Retry-After of a refusal when all slots of the
	// plain runner are in use.
	callRetryAfter = 250 * time.Millisecond
	// chunkBytes is the maximum size of the chunks in which a response body is
	// relayed.
	chunkBytes = 32 << 10
)

// call forwards one call to the plain runner beside the sidecar. A slot is held
// from the call's admission on, since the gateway may still claim the request's
// idempotency key before it starts the call.
func (a *attempt) call() error {
	if !a.s.acquireSlot() {
		return a.refuse(&wirepb.Refused{Reason: wire.ReasonFull, RetryAfterUs: callRetryAfter.Microseconds()})
	}
	release := sync.OnceFunc(a.s.releaseSlot)
	defer release()
	if err := a.admit(0); err != nil {
		return err
	}
	select {
	case <-a.start:
	case <-a.ctx.Done():
		return a.fail(a.cause(), false)
	}
	if !a.s.fences.tryStart(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	a.event(trace.Started, "role=serve")
	sent, err := a.forward()
	if err != nil {
		return a.fail(err, mayHaveRun(err))
	}
	a.event(trace.Ended, "role=serve")
	release() // Must precede a.s.load(), which counts the slots in use.
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{Bytes: uint32(sent)}}})
}

// mayHaveRun reports whether a failed call may have reached the plain runner.
func mayHaveRun(err error) bool {
	var unreachable *engine.ErrUnreachable
	return !errors.As(err, &unreachable) || unreachable.Sent
}

func (s *Sidecar) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= s.opt.Slots {
		return false
	}
	s.calls++
	return true
}

func (s *Sidecar) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// forward sends the call, relays the response and returns the number of body
// bytes relayed.
func (a *attempt) forward() (int, error) {
	c := a.open.Call
	r, err := http.NewRequestWithContext(a.ctx, c.GetMethod(), "http://service"+c.GetPath(), bytes.NewReader(c.GetBody()))
	if err != nil {
		return 0, err
	}
	for _, h := range c.GetHeaders() {
		r.Header.Add(h.Name, h.Value)
	}
	resp, err := a.s.opt.Service.Call(a.ctx, r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if err := a.send(&wirepb.Report{Body: &wirepb.Report_Head{Head: responseHead(resp)}}); err != nil {
		return 0, err
	}
	return a.relayBody(resp.Body)
}

func responseHead(resp *http.Response) *wirepb.Head {
	h := &wirepb.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			h.Headers = append(h.Headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	return h
}

// relayBody relays the body of a response in chunks and returns the number of
// bytes relayed.
func (a *attempt) relayBody(r io.Reader) (int, error) {
	sent := 0
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			c := &wirepb.Chunk{Attempt: a.open.Attempt, Offset: uint32(sent), Raw: append([]byte(nil), buf[:n]...)}
			if e := a.send(&wirepb.Report{Body: &wirepb.Report_Chunk{Chunk: c}}); e != nil {
				return sent, e
			}
			sent += n
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}
