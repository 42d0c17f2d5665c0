package fake

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/engine"
)

// transferSlices is the number of slices of a transfer. The transfer's share of
// the link is computed anew for each slice.
const transferSlices = 8

// Fabric carries KV cache transfers between engines.
type Fabric struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewFabric returns a fabric without engines.
func NewFabric() *Fabric {
	return &Fabric{engines: map[string]*Engine{}}
}

func (f *Fabric) add(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[e.address] = e
}

func (f *Fabric) find(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// transfer moves an export over the outgoing link of its engine.
func (f *Fabric) transfer(ctx context.Context, x *engine.Export) error {
	src := f.find(x.Address)
	if src == nil {
		return &engine.ErrEngine{Code: engine.CodeGone, Detail: x.Handle}
	}
	if err := src.beginTransfer(x.Handle); err != nil {
		return err
	}
	defer src.endTransfer()
	for range transferSlices {
		if err := src.moveSlice(ctx, x.Bytes/transferSlices); err != nil {
			return err
		}
	}
	return src.markImported(x.Handle)
}

// beginTransfer counts a new transfer out of e. It fails if the export no longer
// exists.
func (e *Engine) beginTransfer(handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.exports[handle]; !ok || e.closed {
		return &engine.ErrEngine{Code: engine.CodeGone, Detail: handle}
	}
	e.activeTransfers++
	return nil
}

func (e *Engine) endTransfer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeTransfers--
}

// moveSlice waits as long as bytes take at one transfer's share of the link.
func (e *Engine) moveSlice(ctx context.Context, bytes int64) error {
	e.mu.Lock()
	d := time.Duration(float64(bytes) * float64(e.activeTransfers) / e.spec.LinkRate * float64(time.Second))
	stalled := e.stalled
	e.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-e.stop:
		case <-ctx.Done():
			return &engine.ErrEngine{Code: engine.CodeStalled, Detail: e.address}
		}
	}
	return sleep(ctx, d)
}

// markImported records that an export was imported, so that its prefill does not
// count as wasted.
func (e *Engine) markImported(handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[handle]
	if !ok {
		return &engine.ErrEngine{Code: engine.CodeGone, Detail: handle}
	}
	x.imported = true
	return nil
}

// TokenText returns the text of the token at an offset of a response. It is the
// same for the same prompt and offset on every engine, so that a test can compute
// each complete response.
func TokenText(prompt string, offset int) string {
	h := xxhash.Sum64String(prompt[max(0, len(prompt)-64):]) + uint64(offset)*0x9e3779b97f4a7c15
	return " " + strconv.FormatUint(h>>52, 36)
}

// Answer returns the first n tokens of the response to a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}
