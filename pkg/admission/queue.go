// Package admission decides at a runner what its sidecar lets in: which
// prefills can still meet their deadlines, and which streams fit the memory and
// the batch. It is the one place through which every order for a runner passes.
// Time comes in as an argument.
package admission

import (
	"slices"
	"time"
)

// Job is one prefill that waits or runs.
type Job struct {
	// ID is the attempt's.
	ID string
	// Tokens is how many prompt tokens are still to compute, by estimate.
	Tokens int
	// Deadline is when its KV cache must be ready, Target the whole time that the
	// request had for its first token.
	Deadline time.Time
	Target   time.Duration
	// Priority is the selector's; larger is more important.
	Priority int
	// Workspace is the tenant that it belongs to.
	Workspace string
	// Paid marks a repetition of work that was lost: it is always admitted and
	// never gives way.
	Paid bool

	begun   time.Time
	running bool
	// spent is the engine time that the job had by reckoning.
	spent time.Duration

	relaxed bool
	// stuck is set while the engine has no memory for the running job.
	stuck bool
	// headroom is how much before its deadline a job must fit when it is
	// admitted, since urgent jobs that come later will go before it.
	headroom time.Duration
	// shared is set once another job was on the engine at the same time.
	shared bool
}

// Queue orders the prefills of one engine by deadline and admits only what it
// can still finish in time, so that overload turns work away before it costs
// anything. A job that could never meet its target, even on an idle engine, runs
// when it hurts no other.
type Queue struct {
	// Rate is the engine's speed in tokens a second.
	Rate float64
	// Slots is how many jobs may be on the engine at once.
	Slots int
	// Margin scales the time that a job is taken to need, for what the
	// estimates leave out.
	Margin float64

	jobs []*Job
	// urgent is the use of the engine by urgent jobs.
	urgent Usage
	// last is the time up to which spent is reckoned.
	last time.Time
}

// relaxedFactor stretches the deadline of a job that can't meet its target.
const relaxedFactor = 4

// Admit takes a job in and returns how long it will wait, and the IDs of jobs
// that gave way to it. It fails with *ErrLate when the job or one already
// admitted would miss its deadline.
//
// A job gives way when it has not begun and is the longest of those that would
// make another late: the rule of Moore and Hodgson (1968), which keeps the
// number of late jobs on one machine least. It may find room on another runner.
func (q *Queue) Admit(now time.Time, j Job) (wait time.Duration, gaveWay []string, err error) {
	q.advance(now)
	q.place(now, &j)
	at, _ := slices.BinarySearchFunc(q.jobs, &j, before)
	trial := slices.Insert(slices.Clone(q.jobs), at, &j)
	for {
		wait, late, over := q.check(now, trial, &j)
		if late < 0 || j.Paid {
			q.jobs = trial
			if j.Deadline.Sub(now) <= UrgentWithin {
				q.urgent.Add(now, q.time(j.Tokens))
			}
			return wait, gaveWay, nil
		}
		victim := q.longest(trial[:late+1], &j)
		if victim < 0 || len(gaveWay) == maxGiveWay {
			return 0, nil, &ErrLate{ID: j.ID, RetryAfter: over}
		}
		gaveWay = append(gaveWay, trial[victim].ID)
		trial = slices.Delete(trial, victim, victim+1)
	}
}

const (
	// maxGiveWay bounds the jobs that give way to one.
	maxGiveWay = 2
	// giveWayFactor is by how much a job must be longer than the new one to
	// give way to it.
	giveWayFactor = 2
	// maxHeadroom bounds the part of its time that a new job leaves as headroom.
	maxHeadroom = 0.6
	// UrgentWithin is the time to its deadline below which a job is urgent: it
	// will go before most others.
	UrgentWithin = 1500 * time.Millisecond
)

// place sets the deadline by which a job is ordered.
func (q *Queue) place(now time.Time, j *Job) {
	alone := q.time(j.Tokens)
	if alone > j.Target || j.Paid && now.Add(alone).After(j.Deadline) {
		j.relaxed = true
		j.Deadline = now.Add(relaxedFactor * alone)
	}
	if slack := j.Deadline.Sub(now); !j.relaxed && slack > UrgentWithin {
		j.headroom = time.Duration(float64(slack) * min(maxHeadroom, q.urgent.Share(now)))
	}
}

// longest returns the index of the job that may give way to a new one, or -1:
// the longest, where the jobs of a workspace that has more than its share of the
// queue count as so many times longer.
func (q *Queue) longest(jobs []*Job, mine *Job) int {
	crowd := q.crowding(mine)
	least := giveWayFactor * float64(mine.Tokens) * crowd[mine.Workspace]
	best, most := -1, 0.0
	for i, x := range jobs {
		if x == mine || x.running || x.Paid || x.Priority > mine.Priority {
			continue
		}
		if w := float64(x.Tokens) * crowd[x.Workspace]; w >= least && w > most {
			best, most = i, w
		}
	}
	return best
}

// crowding returns for each workspace how many times its fair share of the
// queue's work it has, at least 1; a new job counts as there already.
func (q *Queue) crowding(mine *Job) map[string]float64 {
	work := map[string]float64{mine.Workspace: float64(mine.Tokens)}
	total := float64(mine.Tokens)
	for _, x := range q.jobs {
		work[x.Workspace] += float64(x.Tokens)
		total += float64(x.Tokens)
	}
	fair := total / float64(len(work))
	for name, w := range work {
		work[name] = max(1, w/fair)
	}
	return work
}

// before orders jobs by deadline.
func before(a, b *Job) int { return a.Deadline.Compare(b.Deadline) }

// check walks the queue in order and returns the wait of one job, the index of
// the first job that would be late, -1 for none, and by how much.
func (q *Queue) check(now time.Time, jobs []*Job, mine *Job) (wait time.Duration, late int, over time.Duration) {
	end := now
	late = -1
	for i, j := range jobs {
		if j == mine {
			wait = end.Sub(now)
		}
		end = end.Add(q.remaining(j))
		due := j.Deadline
		if j == mine {
			due = due.Add(-j.headroom)
		}
		if late < 0 && end.After(due) && (!j.relaxed || j == mine) {
			late, over = i, end.Sub(due)
		}
	}
	return wait, late, over
}

// remaining is the engine time that a job still needs.
func (q *Queue) remaining(j *Job) time.Duration {
	return max(q.time(j.Tokens)-j.spent, 0)
}

// advance reckons the engine's time since the last look as spent on its most
// urgent job, as an engine that honours priorities does, and what that job did
// not need on the next one.
func (q *Queue) advance(now time.Time) {
	left := now.Sub(q.last)
	q.last = now
	for _, j := range q.jobs {
		if !j.running || j.stuck {
			continue
		}
		d := min(left, q.remaining(j))
		j.spent += d
		left -= d
	}
}

func (q *Queue) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / q.Rate * q.Margin * float64(time.Second))
}

// Next marks the job that should go to the engine now as running and returns
// it, nil for none. Where the engine is busy, a job goes only if it is more
// urgent than all on it, since the engine honours priorities. Stuck jobs hold up
// nobody.
func (q *Queue) Next(now time.Time) *Job {
	q.advance(now)
	i := slices.IndexFunc(q.jobs, func(j *Job) bool { return !j.stuck })
	if i < 0 || q.jobs[i].running || q.busy() >= q.Slots {
		return nil
	}
	j := q.jobs[i]
	for _, other := range q.jobs {
		if other.running && !other.stuck {
			other.shared, j.shared = true, true
		}
	}
	j.running, j.begun = true, now
	return j
}

// Stuck records that the engine has no room for a running job, or that it has
// again.
func (q *Queue) Stuck(now time.Time, id string, stuck bool) {
	q.advance(now)
	for _, j := range q.jobs {
		if j.ID == id {
			j.stuck, j.shared, j.begun = stuck, true, now
		}
	}
}

// busy counts the jobs on the engine.
func (q *Queue) busy() int {
	n := 0
	for _, j := range q.jobs {
		if j.running && !j.stuck {
			n++
		}
	}
	return n
}

// Remove drops a job and reports whether it was known.
func (q *Queue) Remove(now time.Time, id string) bool {
	q.advance(now)
	i := slices.IndexFunc(q.jobs, func(j *Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return true
}

// Deadline returns the deadline by which a job is ordered, which is later than
// the one it came with where that could never be met.
func (q *Queue) Deadline(id string) time.Time {
	for _, j := range q.jobs {
		if j.ID == id {
			return j.Deadline
		}
	}
	return time.Time{}
}

// Alone returns how long a running job has had the engine to itself, and false
// when it shared it.
func (q *Queue) Alone(now time.Time, id string) (time.Duration, bool) {
	for _, j := range q.jobs {
		if j.ID == id {
			return now.Sub(j.begun), j.running && !j.shared
		}
	}
	return 0, false
}

// Len returns how many jobs wait or run.
func (q *Queue) Len() int { return len(q.jobs) }

// Tokens returns the work ahead of a new job: all tokens, and those of jobs
// with a deadline within soon.
func (q *Queue) Tokens(now time.Time, soon time.Duration) (all, urgent int) {
	q.advance(now)
	for _, j := range q.jobs {
		n := int(q.remaining(j).Seconds() * q.Rate / q.Margin)
		all += n
		if j.Deadline.Sub(now) <= soon {
			urgent += n
		}
	}
	return all, urgent
}
