package sidecar

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/trace"
)

// freeTries bounds how long an engine that does not answer is asked to free
// memory; a sidecar that starts later asks again.
const freeTries = 20

// free makes the engine drop all that it holds for an attempt. It is called
// after each attempt that did not run to its end, since the call that was
// broken off may still hold something. It does not wait for the answer.
func (s *Sidecar) free(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTime)
	err := s.opt.Engine.Cancel(ctx, key)
	cancel()
	if err == nil {
		s.Log.Add(trace.Event{Type: trace.Freed, Instance: s.Self.Name, Detail: "work=" + key})
		return
	}
	go s.freeLater(key)
}

func (s *Sidecar) freeLater(key string) {
	for range freeTries {
		time.Sleep(cleanRetry)
		ctx, cancel := context.WithTimeout(context.Background(), engineTime)
		err := s.opt.Engine.Cancel(ctx, key)
		cancel()
		if err == nil {
			return
		}
	}
	s.log.Warn("engine memory not freed", nil, "work", key)
}

// freeWork frees what an earlier process left.
func (s *Sidecar) freeWork(ctx context.Context, key string) {
	if err := s.opt.Engine.Cancel(ctx, key); err != nil {
		go s.freeLater(key)
		return
	}
	s.Log.Add(trace.Event{Type: trace.Freed, Instance: s.Self.Name, Detail: "work=" + key + " left_by=earlier"})
}
