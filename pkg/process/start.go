package process

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/progress"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// readingShare is the time between the first readings of two gateways that start together. What one
	// reads it hands on to others, so that few read; without it all share the store's link, and none
	// knows anything before all do.
	readingShare = 20 * time.Millisecond
	// turnLook is the time between two looks at whether it is this gateway's turn to read.
	turnLook = 10 * time.Millisecond
	// freshState is, at the shortest bound, how old a state of another gateway may be while the store
	// answers this one.
	freshState = time.Second
)

// open returns a client of the store, whose first reading waits for its turn.
func (f *feed) open(address string) store.Store {
	s := platform.NewStore(address)
	s.Reading = f.reading
	return s
}

// reading is called when a reading of the store begins. It returns what is asked before each further
// page: a store that holds little is read in one, and by all at once.
func (f *feed) reading() func(ctx context.Context) error {
	if f.Reached() > 0 {
		return func(context.Context) error { return nil }
	}
	began := time.Now()
	return func(ctx context.Context) error { return f.awaitTurn(ctx, began) }
}

// awaitTurn waits until this gateway may go on with its first reading: after those that come before it by
// name. It fails with *store.ErrOvertaken once another gateway has told what the store holds.
func (f *feed) awaitTurn(ctx context.Context, began time.Time) error {
	f.waiting.Store(true)
	tick := time.NewTicker(turnLook)
	defer tick.Stop()
	for now := time.Now(); ; {
		if at := f.Reached(); at > 0 {
			return &store.ErrOvertaken{At: at}
		}
		if now.Sub(began) >= time.Duration(f.relays.Rank())*readingShare {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now = <-tick.C:
			progress.Note(ctx)
		}
	}
}

// wantsState reports whether what another gateway knows is of use: the store does not answer, or many
// read it.
func (f *feed) wantsState() bool {
	return f.copy.unknown() || f.waiting.Load() && f.Reached() == 0
}

// mayLearn reports whether a state of another gateway may be taken: any while the store is away, one that
// was confirmed a moment ago while it answers.
func (f *feed) mayLearn(s sharedState) bool {
	if f.copy.unknown() {
		return true
	}
	return s.AgeMs == 0 && !s.assured.IsZero() && boottime.Since(s.assured) <= f.pace.Scale(freshState)
}
