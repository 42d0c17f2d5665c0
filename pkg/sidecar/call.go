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
	// callRetry is when a full service is worth another try.
	callRetry = 250 * time.Millisecond
	// chunkBytes is the size of the pieces in which a service's answer travels.
	chunkBytes = 32 << 10
)

// call passes one call to the plain service beside the sidecar. Between its
// admission and its start the gateway may still claim the request's key.
func (a *attempt) call() error {
	if !a.s.takeSlot() {
		return a.refuse(&wirepb.Refused{Reason: wire.ReasonFull, RetryAfterUs: callRetry.Microseconds()})
	}
	give := sync.OnceFunc(a.s.giveSlot)
	defer give()
	if err := a.admit(0); err != nil {
		return err
	}
	select {
	case <-a.start:
	case <-a.ctx.Done():
		return a.fail(a.cause(), false)
	}
	if !a.s.fences.begin(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	a.event(trace.Started, "role=serve")
	sent, err := a.pass()
	if err != nil {
		return a.fail(err, mayHaveRun(err))
	}
	a.event(trace.Ended, "role=serve")
	give() // Before the load is read for the report.
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{Bytes: uint32(sent)}}})
}

// mayHaveRun reports whether a call that failed may have reached the service.
func mayHaveRun(err error) bool {
	var un *engine.ErrUnreachable
	return !errors.As(err, &un) || un.Sent
}

func (s *Sidecar) takeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= s.opt.Slots {
		return false
	}
	s.calls++
	return true
}

func (s *Sidecar) giveSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// pass sends the call and relays its answer. It returns the bytes relayed.
func (a *attempt) pass() (int, error) {
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
	if err := a.send(&wirepb.Report{Body: &wirepb.Report_Head{Head: head(resp)}}); err != nil {
		return 0, err
	}
	return a.body(resp.Body)
}

func head(resp *http.Response) *wirepb.Head {
	h := &wirepb.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			h.Headers = append(h.Headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	return h
}

// body relays a service's answer in pieces.
func (a *attempt) body(r io.Reader) (int, error) {
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
