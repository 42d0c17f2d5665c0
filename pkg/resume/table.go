package resume

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shardCount is the number of shards of a Table, a power of two.
	shardCount = 16
	// maxPerShard limits the origins in one shard, at about 150 bytes each: some 10 MB in all.
	maxPerShard = 4096
)

// Table holds origins of streams by key. It is safe for concurrent use.
type Table struct {
	// self is the name of this gateway.
	self    string
	dropped atomic.Uint64
	// droppedAt is when an origin was last dropped, in Unix nanoseconds; 0 for never.
	droppedAt atomic.Int64
	shards    [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	origins map[Key]*entry
}

// entry is what is known of one stream.
type entry struct {
	version string
	// from is the gateway that announced the origin, service that of an own stream.
	from, service string
	// runner is Origin.Runner.
	runner  uint64
	expires time.Time
	// at is when the origin was recorded.
	at time.Time
	// uncertain is set if the version is contradictory or doubted.
	uncertain bool
}

// confirmTime is the age from which on the origin of another gateway's stream is not doubted: that
// gateway confirms the origin before it passes on the first event, or announces its doubt.
const confirmTime = time.Second

// NewTable returns an empty table of the named gateway.
func NewTable(gateway string) *Table {
	t := &Table{self: gateway}
	for i := range t.shards {
		t.shards[i].origins = map[Key]*entry{}
	}
	return t
}

func (t *Table) shard(k Key) *shard { return &t.shards[k%shardCount] }

// Begin records that a runner of a version is about to begin a stream of this gateway. It replaces
// the origin of an earlier attempt, which brought no event.
func (t *Table) Begin(o Origin, service string, now time.Time) {
	t.put(o.Key, entry{version: o.Version, from: t.self, service: service, runner: o.Runner, expires: now.Add(o.Left), uncertain: o.Version == ""}, now)
}

// Receive records an origin that another gateway announced.
func (t *Table) Receive(gateway string, o Origin, now time.Time) {
	left := min(max(0, o.Left), maxLifetime)
	t.put(o.Key, entry{version: o.Version, from: gateway, runner: o.Runner, expires: now.Add(left), uncertain: o.Version == ""}, now)
}

func (t *Table) put(k Key, e entry, now time.Time) {
	e.at = now
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.origins[k]
	if old == nil && len(s.origins) >= maxPerShard {
		t.dropped.Add(1)
		t.droppedAt.Store(now.UnixNano())
		return
	}
	if old != nil && old.from != e.from && (old.uncertain || old.version != e.version) {
		// Two gateways began a stream under the same ID.
		old.uncertain = true
		if e.expires.After(old.expires) {
			old.expires = e.expires
		}
		return
	}
	s.origins[k] = &e
}

// Find returns the origin of a stream. Its version is empty if it is not certain.
func (t *Table) Find(k Key, now time.Time) (Origin, bool) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.origins[k]
	if e == nil || !now.Before(e.expires) {
		return Origin{}, false
	}
	return e.origin(k, now), true
}

func (e *entry) origin(k Key, now time.Time) Origin {
	o := Origin{Key: k, Runner: e.runner, Left: e.expires.Sub(now)}
	if !e.uncertain {
		o.Version = e.version
	}
	return o
}

// Own returns the origins of this gateway's streams of a service.
func (t *Table) Own(service string, now time.Time) []Origin {
	return t.own(now, func(e *entry) bool { return e.service == service })
}

// Confirm records that one of this gateway's streams began at the incarnation of its runner's entry, so that
// its version is certain whatever becomes of the runner.
func (t *Table) Confirm(k Key) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.origins[k]; e != nil && e.from == t.self {
		e.runner = 0
	}
}

// Doubt records that an incarnation of a runner was replaced, which its entry shows late: streams of other
// gateways that were announced shortly before, and were not confirmed then, may have begun at the version of
// the next incarnation. It returns their number.
func (t *Table) Doubt(runner uint64, now time.Time) int {
	doubted := 0
	t.each(now, func(_ Key, e *entry) {
		if e.from != t.self && e.runner == runner && now.Sub(e.at) < confirmTime {
			e.uncertain = true
			doubted++
		}
	})
	return doubted
}

// BegunSince returns the number of this gateway's streams that were sent since a time to an incarnation of a runner.
func (t *Table) BegunSince(runner uint64, since, now time.Time) int {
	return len(t.own(now, func(e *entry) bool { return e.runner == runner && !e.at.Before(since) }))
}

// own returns the origins of this gateway's streams that match.
func (t *Table) own(now time.Time, match func(*entry) bool) []Origin {
	var out []Origin
	t.each(now, func(k Key, e *entry) {
		if e.from == t.self && match(e) {
			out = append(out, e.origin(k, now))
		}
	})
	return out
}

// each calls a function for each entry that has not expired, with its shard locked.
func (t *Table) each(now time.Time, f func(Key, *entry)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, e := range s.origins {
			if now.Before(e.expires) {
				f(k, e)
			}
		}
		s.mu.Unlock()
	}
}

// Sweep removes expired origins.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, e := range s.origins {
			if !now.Before(e.expires) {
				delete(s.origins, k)
			}
		}
		s.mu.Unlock()
	}
}

// Complete reports whether the table has all origins that were recorded and may still be asked for.
func (t *Table) Complete(now time.Time) bool {
	at := t.droppedAt.Load()
	return at == 0 || now.Sub(time.Unix(0, at)) > maxLifetime
}

// Size returns the number of origins in the table, and the number that did not fit.
func (t *Table) Size() (origins int, dropped uint64) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		origins += len(s.origins)
		s.mu.Unlock()
	}
	return origins, t.dropped.Load()
}
