package sidecar

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
)

// NextEpoch returns the epoch of a new sidecar, which is higher than that of
// every earlier process beside the engine. The epoch is the time in
// milliseconds or the engine's epoch + 1, whichever is greater, since the clock
// may have been set back.
func NextEpoch(e engine.Engine) uint64 {
	epoch := uint64(time.Now().UnixMilli())
	if e == nil {
		return epoch
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if l, err := e.Load(ctx); err == nil {
		epoch = max(epoch, l.Fence.Epoch+1)
	}
	return epoch
}
