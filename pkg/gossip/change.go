package gossip

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
)

// Bounds of one change.
const (
	changeTries   = 8
	changeBackoff = 50 * time.Millisecond
	writeTime     = 2 * time.Second
)

// Change carries out an operator's edit: it commits by compare-and-swap, hands
// the new document to peers, and only then returns. An answer that was lost is
// settled by reading the document back and looking for the change's ID.
//
// Errors are those of fleet.Document.Apply, what check returns, and
// *ErrUnsettled when it can't be told whether the change took effect.
func (a *Agent) Change(ctx context.Context, c *fleet.Change, check func(before, after *fleet.Document) error) (*fleet.Document, error) {
	sent := false
	var last error
	for try := range changeTries {
		if try > 0 {
			a.pause(ctx, changeBackoff<<min(try, 4))
		}
		next, wrote, err := a.tryChange(ctx, c, check)
		sent = sent || wrote
		if err == nil {
			return next, nil
		}
		if !transient(err) {
			return nil, err
		}
		last = err
	}
	if !sent {
		return nil, last
	}
	return nil, &ErrUnsettled{ID: c.ID, Err: last}
}

// transient reports whether another try may help.
func transient(err error) bool {
	var down *platform.ErrUnavailable
	return errors.As(err, &down) || platform.IsConflict(err)
}

// tryChange reads, edits and swaps once. Wrote says that a swap was sent.
func (a *Agent) tryChange(ctx context.Context, c *fleet.Change, check func(before, after *fleet.Document) error) (next *fleet.Document, wrote bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	v, err := a.kv.Get(ctx, DocumentKey)
	if err != nil {
		return nil, false, err
	}
	doc, err := fleet.Decode(v.Data)
	if err != nil {
		return nil, false, err
	}
	a.take(v.Data)
	next, err = doc.Apply(c)
	if err != nil {
		return nil, false, err
	}
	if next == doc {
		a.Push(ctx, fanOut)
		return doc, false, nil
	}
	if err := check(doc, next); err != nil {
		return nil, false, err
	}
	data := next.Encode()
	if _, err := a.kv.Swap(ctx, DocumentKey, v.Version, data, 0); err != nil {
		return nil, !platform.IsConflict(err), err
	}
	a.take(data)
	a.Push(ctx, fanOut)
	return next, true, nil
}
