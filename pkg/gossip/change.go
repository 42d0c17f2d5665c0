package gossip

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
)

// Limits of one change.
const (
	maxChangeAttempts = 8
	changeBackoff     = 50 * time.Millisecond
	attemptTimeout    = 2 * time.Second
)

// Change applies an operator's change to the document: it commits by
// compare-and-swap, pushes the new document to peers, and then returns. After a
// lost response it reads the document again and searches it for the change's ID.
//
// Check decides on the documents before and after the change; an error rejects the
// change. Change returns the errors of fleet.Document.Apply, of check and of the
// key-value service, and *ErrUnsettled if it is unknown whether the change took effect.
func (a *Agent) Change(ctx context.Context, c *fleet.Change, check func(before, after *fleet.Document) error) (*fleet.Document, error) {
	mayHaveCommitted := false
	var last error
	for try := range maxChangeAttempts {
		if try > 0 {
			a.sleep(ctx, changeBackoff<<min(try, 4))
		}
		next, mayHaveWritten, err := a.tryChange(ctx, c, check)
		mayHaveCommitted = mayHaveCommitted || mayHaveWritten
		if err == nil {
			return next, nil
		}
		if !transient(err) {
			return nil, err
		}
		last = err
	}
	if !mayHaveCommitted {
		return nil, last
	}
	return nil, &ErrUnsettled{ID: c.ID, Err: last}
}

// transient reports whether a retry may succeed.
func transient(err error) bool {
	var down *platform.ErrUnavailable
	return errors.As(err, &down) || platform.IsConflict(err)
}

// tryChange makes one attempt to read, change and swap the document. MayHaveWritten
// reports whether a swap was sent that may have taken effect.
func (a *Agent) tryChange(ctx context.Context, c *fleet.Change, check func(before, after *fleet.Document) error) (next *fleet.Document, mayHaveWritten bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	v, err := a.kv.Get(ctx, DocumentKey)
	if err != nil {
		return nil, false, err
	}
	doc, err := fleet.Decode(v.Data)
	if err != nil {
		return nil, false, err
	}
	a.offer(v.Data)
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
	a.offer(data)
	a.Push(ctx, fanOut)
	return next, true, nil
}
