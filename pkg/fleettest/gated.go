package fleettest

import (
	"context"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fake"
)

// gated wraps the engine of a simulated sidecar process. After a simulated crash,
// goroutines of the sidecar that still run can't reach the engine, and the engine
// continues its work: the worst state that a crash can leave behind.
type gated struct {
	*fake.Engine
	crashed func() bool
}

// detach derives a context for the engine that is cancelled with ctx unless the
// process crashed first.
func (g *gated) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if !g.crashed() {
			cancel()
		}
	})
	return inner, func() { stop() }
}

// Prefill implements engine.Engine.
func (g *gated) Prefill(ctx context.Context, p engine.Prefill) (engine.Export, error) {
	inner, done := g.detach(ctx)
	defer done()
	return g.Engine.Prefill(inner, p)
}

// Decode implements engine.Engine.
func (g *gated) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	inner, done := g.detach(ctx)
	defer done()
	return g.Engine.Decode(inner, d, imported, func(t engine.Token) error {
		if g.crashed() {
			return nil
		}
		return token(t)
	})
}

// Release implements engine.Engine.
func (g *gated) Release(ctx context.Context, handle string) error {
	if g.crashed() {
		return &engine.ErrUnreachable{}
	}
	return g.Engine.Release(ctx, handle)
}

// Cancel implements engine.Engine.
func (g *gated) Cancel(ctx context.Context, id string) error {
	if g.crashed() {
		return &engine.ErrUnreachable{}
	}
	return g.Engine.Cancel(ctx, id)
}
