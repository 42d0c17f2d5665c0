package plainload

import (
	"math"
	"slices"
	"time"
)

// decayed returns the number of responses in about rateWindow. The caller holds the lock.
func (q *Queue) decayed(now time.Time) float64 {
	if q.countedAt.IsZero() {
		return 0
	}
	return q.responses * math.Exp(-now.Sub(q.countedAt).Seconds()/rateWindow.Seconds())
}

// after returns the time in which this gateway gets room for n requests; false if unknown. The
// caller holds the lock.
func (q *Queue) after(n int, now time.Time) (time.Duration, bool) {
	responses := q.decayed(now)
	if responses < minResponses {
		return 0, false
	}
	return time.Duration(float64(n) / responses * float64(rateWindow)), true
}

// Verdict says whether a request keeps waiting.
type Verdict struct {
	// Until is when to ask again; zero if the request is to be refused now.
	Until time.Time
	// First is set if no request goes before this one, so that it may look for room meanwhile.
	First bool
	// RetryAfter is the time after which there should be room for the client, if it is refused.
	RetryAfter time.Duration
}

// Judge decides whether a waiting request keeps waiting. A client that can return is refused early,
// within earlyShare of the time to its target, unless the forecast says that it will be served in
// time. Later a refusal would make its response late in any case, so that from then on it waits while
// it will be served within lateShare of the time to its deadline, like one whose client will not return
// once more.
func (q *Queue) Judge(w *Waiter, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.look(w, now)
	i := slices.Index(q.waiting, w)
	room, known := q.after(i, now)
	first := i >= 0 && q.first(i)
	early := w.Arrived.Add(time.Duration(earlyShare * float64(w.Target.Sub(w.Arrived))))
	limit := w.Target
	if w.Returning || w.committed {
		limit = w.Arrived.Add(time.Duration(lateShare * float64(w.Deadline.Sub(w.Arrived))))
	}
	last := limit.Add(-q.serviceTime())
	fits := known && !now.Add(room).After(last)
	switch {
	case now.Before(early) && (fits || !known):
		return Verdict{Until: early, First: first}
	case fits && now.Before(last):
		w.committed = true
		return Verdict{Until: earliest(last, now.Add(max(judgeInterval, last.Sub(now)/judgeParts))), First: first}
	}
	return Verdict{RetryAfter: q.promise(now)}
}

const (
	// earlyShare is the share of the latency target within which a client is refused that would not
	// be served in time, so that it can return.
	earlyShare = 0.22
	// lateShare is the share of the time to its deadline that a request waits which is late in any
	// case. A longer wait rarely ends with room.
	lateShare = 0.4
	// judgeInterval is the shortest time between two decisions on a request that waits beyond that;
	// it is judged again after one of judgeParts of the time that it may still wait.
	judgeInterval = 10 * time.Millisecond
	judgeParts    = 4
)

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// promise returns the time until there is room for one more client, after those that wait and those
// that were told to return before. The caller holds the lock.
func (q *Queue) promise(now time.Time) time.Duration {
	q.promised = slices.DeleteFunc(q.promised, func(at time.Time) bool { return at.Before(now) })
	after, _ := q.after(len(q.waiting)+len(q.promised)+1, now)
	return after
}

// Promised records that a refused client was told to return after a time.
func (q *Queue) Promised(after time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.promised) < maxPromised {
		q.promised = append(q.promised, now.Add(after))
	}
}

// maxPromised bounds the promised returns that are counted.
const maxPromised = 1000
