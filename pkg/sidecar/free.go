package sidecar

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/trace"
)

// freeTries bounds the retries to free memory on an engine that does not
// respond. A sidecar that starts later tries again.
const freeTries = 20

// free makes the engine drop all that it holds for an attempt. It is called
// after each attempt that did not complete, since the engine may still hold
// memory for the aborted call. Retries run in the background.
func (s *Sidecar) free(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	err := s.opt.Engine.Cancel(ctx, key)
	cancel()
	if err == nil {
		s.Log.Add(trace.Event{Type: trace.Freed, Instance: s.Self.Name, Detail: "work=" + key})
		return
	}
	go s.retryFree(key)
}

func (s *Sidecar) retryFree(key string) {
	for range freeTries {
		time.Sleep(freeRetry)
		ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
		err := s.opt.Engine.Cancel(ctx, key)
		cancel()
		if err == nil {
			return
		}
	}
	s.log.Warn("engine memory not freed", nil, "work", key)
}

// freeLeftover frees what the engine holds from an earlier sidecar process.
func (s *Sidecar) freeLeftover(ctx context.Context, key string) {
	if err := s.opt.Engine.Cancel(ctx, key); err != nil {
		go s.retryFree(key)
		return
	}
	s.Log.Add(trace.Event{Type: trace.Freed, Instance: s.Self.Name, Detail: "work=" + key + " left_by=earlier"})
}
