package fake

import (
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
)

// run computes prefill chunks and decode steps until Close.
func (e *Engine) run() {
	for {
		d := e.stepTime()
		if d == 0 {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			continue
		}
		select {
		case <-time.After(d):
		case <-e.stop:
			return
		}
		e.advance()
	}
}

// stepTime returns the duration of the next step, or 0 if there is no work.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var d time.Duration
	if j := e.mostUrgent(); j != nil {
		d += e.chunkTime(j)
	}
	if n := len(e.running); n > 0 {
		d += e.spec.StepBase + time.Duration(n)*e.spec.StepSlope
	}
	return d
}

// mostUrgent returns the prefill with the highest priority, the oldest among
// equals, or nil. The caller holds the lock.
func (e *Engine) mostUrgent() *prefillJob {
	var best *prefillJob
	for _, j := range e.prefills {
		if best == nil || j.call.Priority > best.call.Priority {
			best = j
		}
	}
	return best
}

func (e *Engine) chunkTime(j *prefillJob) time.Duration {
	n := max(1, min(j.left, chunkTokens))
	return time.Duration(float64(n) / e.spec.PrefillRate * float64(time.Second))
}

// advance applies the results of one step: a prefill chunk and a token for each
// running stream.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	if j := e.mostUrgent(); j != nil {
		n := min(j.left, chunkTokens)
		j.left -= n
		j.done += n
		e.stats.Prefilled += int64(n)
		if j.left == 0 {
			e.dropJob(j)
			e.cache.add(j.blocks)
			j.finished <- nil
		}
	}
	for _, d := range append([]*decodeJob(nil), e.running...) {
		e.emit(d)
	}
	e.reports = append(e.reports, loadReport{time.Now(), e.currentLoad()})
	e.trimReports()
}

// emit generates the next token of a stream. The caller holds the lock.
func (e *Engine) emit(d *decodeJob) {
	t := engine.Token{Offset: d.nextOffset, Text: TokenText(d.call.Prompt, d.nextOffset)}
	d.nextOffset++
	e.stats.Decoded++
	if d.nextOffset >= d.call.MaxTokens {
		t.Final, t.Reason = true, "length"
		e.dropDecode(d)
	}
	d.tokens <- t
}

// trimReports drops load reports that Load can no longer return: all before the
// newest one that is older than the report lag.
// The caller holds the lock.
func (e *Engine) trimReports() {
	old := time.Now().Add(-e.spec.ReportLag)
	for len(e.reports) > 1 && e.reports[1].at.Before(old) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) dropJob(j *prefillJob) {
	for i, x := range e.prefills {
		if x == j {
			e.prefills = append(e.prefills[:i:i], e.prefills[i+1:]...)
			return
		}
	}
}

// dropDecode removes a stream from the batch and frees its memory. It returns
// false if the stream is not in the batch. The caller holds the lock.
func (e *Engine) dropDecode(d *decodeJob) bool {
	for i, x := range e.running {
		if x == d {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.kvUsed -= d.bytes
			return true
		}
	}
	return false
}
