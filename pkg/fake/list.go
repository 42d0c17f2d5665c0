package fake

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// List is an in-memory instance list that may return outdated contents.
type List struct {
	mu        sync.Mutex
	lag       time.Duration
	instances map[string]platform.Instance
	versions  []listVersion
	down      bool
	empty     bool
}

// listVersion is the whole list as of a time.
type listVersion struct {
	at        time.Time
	instances []platform.Instance
}

// NewList returns an empty list.
func NewList() *List {
	return &List{instances: map[string]platform.Instance{}}
}

// Put adds or replaces an instance.
func (l *List) Put(in platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[in.Name] = in
	l.record()
}

// Remove drops an instance.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.instances, name)
	l.record()
}

// Reclaim marks an instance as leaving.
func (l *List) Reclaim(name string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in, ok := l.instances[name]
	if !ok {
		return
	}
	in.Leaving, in.Deadline = true, deadline
	l.instances[name] = in
	l.record()
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetLag makes Instances return the list as it was the lag before.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetEmpty makes Instances return an empty list without an error, as a failing
// platform may.
func (l *List) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
}

// record stores the current list as a version. The caller holds the lock.
func (l *List) record() {
	v := listVersion{at: time.Now()}
	for _, in := range l.instances {
		v.instances = append(v.instances, in)
	}
	l.versions = append(l.versions, v)
}

// Instances implements platform.List.
func (l *List) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &platform.ErrUnavailable{Service: "instances", Op: "list", Err: errOutage}
	}
	if l.empty {
		return nil, nil
	}
	asOf := time.Now().Add(-l.lag)
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(asOf) {
			return append([]platform.Instance(nil), l.versions[i].instances...), nil
		}
	}
	return nil, nil
}
