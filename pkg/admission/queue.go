// Package admission implements the admission control of a sidecar: which
// prefills can still meet their deadlines, and which streams fit the engine's
// memory and batch. The current time is passed in as an argument.
package admission

import (
	"slices"
	"time"
)

// Job is one queued or running prefill.
type Job struct {
	// ID identifies the attempt.
	ID string
	// Tokens is the estimated number of prompt tokens still to be computed.
	Tokens int
	// Deadline is when the KV cache must be ready. Target is the total time to
	// first token that the request allows.
	Deadline time.Time
	Target   time.Duration
	// Priority is the selector's priority; larger is more important.
	Priority int
	// Workspace is the workspace that the request belongs to.
	Workspace string
	// Paid marks a request on which work was already done, also if that work is
	// repeated because it was lost: such a job is always admitted and never
	// displaced.
	Paid bool

	runningSince time.Time
	running      bool
	// spent is the estimated engine time that was attributed to the job (see
	// advance).
	spent time.Duration

	relaxed bool
	// stuck is set while the engine has no memory for the running job.
	stuck bool
	// headroom is the margin before the deadline that admission requires, for
	// urgent jobs that arrive later and run first.
	headroom time.Duration
	// shared is set once another job was on the engine at the same time.
	shared bool
}

// Queue orders the prefills of one engine by deadline and admits only those
// that can still finish in time, so that overload is shed before it costs
// engine time. A job that could never meet its target, even on an idle engine,
// is admitted if it makes no other job late.
type Queue struct {
	// Rate is the engine's prefill rate in tokens per second.
	Rate float64
	// Slots is the maximum number of jobs on the engine at once.
	Slots int
	// Margin is the factor applied to the estimated time of a job, for what the
	// estimate leaves out.
	Margin float64

	jobs []*Job
	// urgent is the share of the engine's time that urgent jobs take.
	urgent Usage
	// last is the time up to which engine time is attributed to jobs.
	last time.Time
}

// relaxedFactor sets the deadline of a job that can't meet its target, in
// multiples of its estimated time on an idle engine.
const relaxedFactor = 4

// Admit adds a job and returns how long it will wait, and the IDs of the jobs
// that it displaced. It fails with *ErrLate when the job or one already
// admitted would miss its deadline.
//
// Jobs are displaced one at a time, up to maxDisplaced. The next one is the
// longest of those that have not started and are due no later than the first
// late job. Choosing the longest is the rule of Moore and Hodgson (1968), which
// minimizes the number of late jobs on one machine. Here the job must also be
// at least displaceFactor times as long as the new one; both lengths are
// weighted by shareFactors. A displaced job may find room on another runner.
func (q *Queue) Admit(now time.Time, j Job) (wait time.Duration, displaced []string, err error) {
	q.advance(now)
	q.setDeadline(now, &j)
	at, _ := slices.BinarySearchFunc(q.jobs, &j, byDeadline)
	trial := slices.Insert(slices.Clone(q.jobs), at, &j)
	for {
		wait, late, lateBy := q.findLate(now, trial, &j)
		if late < 0 || j.Paid {
			q.jobs = trial
			if j.Deadline.Sub(now) <= UrgentWithin {
				q.urgent.Add(now, q.engineTime(j.Tokens))
			}
			return wait, displaced, nil
		}
		victim := q.pickDisplaced(trial[:late+1], &j)
		if victim < 0 || len(displaced) == maxDisplaced {
			return 0, nil, &ErrLate{ID: j.ID, RetryAfter: lateBy}
		}
		displaced = append(displaced, trial[victim].ID)
		trial = slices.Delete(trial, victim, victim+1)
	}
}

const (
	// maxDisplaced bounds the number of jobs that one new job displaces.
	maxDisplaced = 2
	// displaceFactor is how many times longer than the new job another job must
	// be to be displaced by it.
	displaceFactor = 2
	// maxHeadroomShare bounds the headroom of a new job, as a share of the time
	// to its deadline.
	maxHeadroomShare = 0.6
	// UrgentWithin is the time to its deadline below which a job is urgent: it
	// will run before most others.
	UrgentWithin = 1500 * time.Millisecond
)

// setDeadline sets the deadline by which a job is ordered, and its headroom.
func (q *Queue) setDeadline(now time.Time, j *Job) {
	alone := q.engineTime(j.Tokens)
	if alone > j.Target || j.Paid && now.Add(alone).After(j.Deadline) {
		j.relaxed = true
		j.Deadline = now.Add(relaxedFactor * alone)
	}
	if slack := j.Deadline.Sub(now); !j.relaxed && slack > UrgentWithin {
		j.headroom = time.Duration(float64(slack) * min(maxHeadroomShare, q.urgent.Share(now)))
	}
}

// pickDisplaced returns the index of the longest job that a new one may
// displace, or -1. The jobs of a workspace that has more than its fair share of
// the queue count as longer by the factor from shareFactors.
func (q *Queue) pickDisplaced(jobs []*Job, newJob *Job) int {
	factors := q.shareFactors(newJob)
	minWeight := displaceFactor * float64(newJob.Tokens) * factors[newJob.Workspace]
	best, maxWeight := -1, 0.0
	for i, x := range jobs {
		if x == newJob || x.running || x.Paid || x.Priority > newJob.Priority {
			continue
		}
		if w := float64(x.Tokens) * factors[x.Workspace]; w >= minWeight && w > maxWeight {
			best, maxWeight = i, w
		}
	}
	return best
}

// shareFactors returns for each workspace the ratio of its queued work to its
// fair share, at least 1. The new job is included.
func (q *Queue) shareFactors(newJob *Job) map[string]float64 {
	work := map[string]float64{newJob.Workspace: float64(newJob.Tokens)}
	total := float64(newJob.Tokens)
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

// byDeadline compares jobs by deadline.
func byDeadline(a, b *Job) int { return a.Deadline.Compare(b.Deadline) }

// findLate walks the queue in order. It returns the wait of newJob, the index
// of the first job that would be late or -1, and by how much that job would be
// late.
func (q *Queue) findLate(now time.Time, jobs []*Job, newJob *Job) (wait time.Duration, late int, lateBy time.Duration) {
	end := now
	late = -1
	for i, j := range jobs {
		if j == newJob {
			wait = end.Sub(now)
		}
		end = end.Add(q.remaining(j))
		due := j.Deadline
		if j == newJob {
			due = due.Add(-j.headroom)
		}
		if late < 0 && end.After(due) && (!j.relaxed || j == newJob) {
			late, lateBy = i, end.Sub(due)
		}
	}
	return wait, late, lateBy
}

// remaining returns the estimated engine time that a job still needs.
func (q *Queue) remaining(j *Job) time.Duration {
	return max(q.engineTime(j.Tokens)-j.spent, 0)
}

// advance attributes the engine time since the last call to the most urgent
// running job, and what that job did not need to the next most urgent one. An
// engine that honours priorities spends its time in this order.
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

func (q *Queue) engineTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / q.Rate * q.Margin * float64(time.Second))
}

// Next marks the job that should go to the engine now as running and returns
// it, nil for none. While the engine is busy, a job goes to it only if it is
// more urgent than all running jobs, since the engine honours priorities. Stuck
// jobs don't count as running.
func (q *Queue) Next(now time.Time) *Job {
	q.advance(now)
	i := slices.IndexFunc(q.jobs, func(j *Job) bool { return !j.stuck })
	if i < 0 || q.jobs[i].running || q.runningJobs() >= q.Slots {
		return nil
	}
	j := q.jobs[i]
	for _, other := range q.jobs {
		if other.running && !other.stuck {
			other.shared, j.shared = true, true
		}
	}
	j.running, j.runningSince = true, now
	return j
}

// Stuck records whether the engine has no memory for a running job. A job stops
// being stuck when the engine is tried again.
func (q *Queue) Stuck(now time.Time, id string, stuck bool) {
	q.advance(now)
	for _, j := range q.jobs {
		if j.ID == id {
			j.stuck, j.shared, j.runningSince = stuck, true, now
		}
	}
}

// runningJobs counts the jobs on the engine that are not stuck.
func (q *Queue) runningJobs() int {
	n := 0
	for _, j := range q.jobs {
		if j.running && !j.stuck {
			n++
		}
	}
	return n
}

// Remove removes a job and reports whether it was in the queue.
func (q *Queue) Remove(now time.Time, id string) bool {
	q.advance(now)
	i := slices.IndexFunc(q.jobs, func(j *Job) bool { return j.ID == id })
	if i < 0 {
		return false
	}
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return true
}

// Deadline returns the scheduling deadline of a job, by which the queue is
// ordered. It is later than the deadline passed to Admit if that could never be
// met.
func (q *Queue) Deadline(id string) time.Time {
	for _, j := range q.jobs {
		if j.ID == id {
			return j.Deadline
		}
	}
	return time.Time{}
}

// Alone returns how long a running job has had the engine to itself, and false
// when it shared the engine with another job.
func (q *Queue) Alone(now time.Time, id string) (time.Duration, bool) {
	for _, j := range q.jobs {
		if j.ID == id {
			return now.Sub(j.runningSince), j.running && !j.shared
		}
	}
	return 0, false
}

// Len returns the number of queued and running jobs.
func (q *Queue) Len() int { return len(q.jobs) }

// Tokens returns the remaining work of the queue in tokens: of all jobs, and of
// the jobs due within the duration soon.
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
