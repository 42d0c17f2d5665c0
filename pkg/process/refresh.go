package process

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
)

const (
	// refreshTimeout bounds the call of a refresh. A store that takes longer is slow or away, and the
	// requests that wait have given up on it.
	refreshTimeout = 400 * time.Millisecond
	// refreshPerGateway times the number of gateways is the least time between two refreshes of one
	// gateway: all together make at most 1,000 calls a second, half of what the store serves.
	refreshPerGateway = time.Millisecond
)

// refreshes runs one refresh of the copy of the store at a time.
type refreshes struct {
	mu      sync.Mutex
	running bool
	// next is closed when the refresh after the current one ends; nil if nothing waits for it.
	next chan struct{}
}

// refresh brings the copy of the store up to date with one call, which requests that arrive during an
// earlier call share. It reports whether the copy has all changes that the store had when it was called.
func (f *feed) refresh(ctx context.Context) bool {
	asked := boottime.Now()
	if f.storeCopy.unreachable() {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.refreshes.join(f.watchOnce, f.refreshInterval()):
		return !f.history.Confirmed().Before(asked)
	}
}

// refreshInterval returns the least time between two refreshes of this gateway.
func (f *feed) refreshInterval() time.Duration {
	return time.Duration(f.exchange.MemberCount()+1) * refreshPerGateway
}

// join has a refresh run after the current one, if any, at the earliest an interval after its end. It
// returns a channel that is closed when the refresh has ended.
func (r *refreshes) join(call func(), interval time.Duration) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(chan struct{})
	}
	done := r.next
	if !r.running {
		r.running = true
		go r.run(call, interval)
	}
	return done
}

// run refreshes until nothing waits.
func (r *refreshes) run(call func(), interval time.Duration) {
	for {
		r.mu.Lock()
		done := r.next
		if r.next = nil; done == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		call()
		close(done)
		time.Sleep(interval)
	}
}

// watchOnce applies the changes that the store has already.
func (f *feed) watchOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	asked := boottime.Now()
	events, at, err := f.currentStore().Watch(ctx, "", f.Reached(), confirmWatchWait)
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "store_not_refreshed", decisionlog.F("error", err))
		return
	}
	f.apply(events, at)
	f.confirmRead(asked)
}
