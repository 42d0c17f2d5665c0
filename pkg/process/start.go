package process

import (
	"context"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/progress"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// readingShare is the time between the first readings of two gateways that start together. What one
	// reads it hands on to others, so that few read; without it all share the store's link, and none
	// knows anything before all do.
	readingShare = 20 * time.Millisecond
	// leastInTurn is the number of gateways from which they read in turn: fewer readings are done sooner
	// than handed on.
	leastInTurn = 16
	// turnLook is the time between two looks at whether it is this gateway's turn to read.
	turnLook = 10 * time.Millisecond
	// meetCall bounds the silence of the call for the list of gateways.
	meetCall = 400 * time.Millisecond
	// freshState is, at the shortest bound, how old a state of another gateway may be while the store
	// answers this one.
	freshState = time.Second
)

// meet reads which gateways there are: a small part of the store, by which those that start together know
// in which order to read the rest.
func (f *feed) meet(ctx context.Context) {
	ctx, cancel := progress.Bound(ctx, meetCall)
	defer cancel()
	items, _, err := f.current().Range(ctx, gatewayPrefix)
	if err != nil {
		f.log.Write(decisionlog.KindProcess, "gateways_not_read", decisionlog.F("error", err))
		return
	}
	for _, i := range items {
		f.gateway(strings.TrimPrefix(i.Key, gatewayPrefix), string(i.Value))
	}
}

// awaitTurn waits until this gateway may read the store: the first time after those that come before it by
// name. It fails with *store.ErrOvertaken once another gateway has told what the store holds. It implements
// store.Follower.Turn.
func (f *feed) awaitTurn(ctx context.Context) error {
	if f.Reached() > 0 {
		return nil
	}
	began := time.Now()
	tick := time.NewTicker(turnLook)
	defer tick.Stop()
	for now := began; ; {
		if at := f.Reached(); at > 0 {
			return &store.ErrOvertaken{At: at}
		}
		place, of := f.relays.Place()
		if of < leastInTurn || now.Sub(began) >= time.Duration(place)*readingShare {
			return nil
		}
		f.waiting.Store(true)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now = <-tick.C:
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
