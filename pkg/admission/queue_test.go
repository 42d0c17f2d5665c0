package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestAdmission(t *testing.T) { spectest.Run(t, "admission") }

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func job(id string, tokens int, due time.Duration) Job {
	return Job{ID: id, Tokens: tokens, Deadline: start.Add(due), Target: due}
}

var _ = Describe("the prefill queue", func() {
	var q *Queue
	BeforeEach(func() { q = &Queue{Rate: 1000, Slots: 2, Margin: 1} })

	It("refuses a job that would miss its deadline", func() {
		_, _, err := q.Admit(start, job("a", 900, time.Second))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = q.Admit(start, job("b", 900, time.Second))
		var late *ErrLate
		Expect(errors.As(err, &late)).To(BeTrue())
		Expect(late.RetryAfter).To(Equal(800 * time.Millisecond))
	})
	It("displaces a long job that has not started for a short one", func() {
		_, _, _ = q.Admit(start, job("running", 500, 600*time.Millisecond))
		q.Next(start)
		_, _, err := q.Admit(start, job("long", 1400, 2100*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		_, displaced, err := q.Admit(start, job("check", 250, 1900*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		Expect(displaced).To(Equal([]string{"long"}))
	})
	It("displaces a job of a workspace above its fair share for an equal job of another", func() {
		workspaceJob := func(id, workspace string, tokens int) Job {
			j := job(id, tokens, 2*time.Second)
			j.Workspace = workspace
			return j
		}
		for _, id := range []string{"a1", "a2", "a3", "a4"} {
			_, _, err := q.Admit(start, workspaceJob(id, "a", 400))
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := q.Admit(start, workspaceJob("c1", "c", 10))
		Expect(err).NotTo(HaveOccurred())
		q.Next(start)
		_, _, err = q.Admit(start, workspaceJob("a5", "a", 400))
		Expect(err).To(HaveOccurred())
		_, displaced, err := q.Admit(start, workspaceJob("b1", "b", 400))
		Expect(err).NotTo(HaveOccurred())
		Expect(displaced).To(HaveLen(1))
		Expect(displaced[0]).To(HavePrefix("a"))
	})
	It("never displaces a running job", func() {
		_, _, _ = q.Admit(start, job("running", 1000, time.Second))
		q.Next(start)
		_, _, err := q.Admit(start, job("check", 50, 500*time.Millisecond))
		Expect(err).To(HaveOccurred())
	})
	It("dispatches a more urgent job while another one runs", func() {
		_, _, _ = q.Admit(start, job("long", 2000, 8*time.Second))
		Expect(q.Next(start).ID).To(Equal("long"))
		_, _, _ = q.Admit(start, job("check", 50, 500*time.Millisecond))
		Expect(q.Next(start).ID).To(Equal("check"))
	})
	It("is not blocked by a job that the engine has no memory for", func() {
		_, _, _ = q.Admit(start, job("long", 2000, 2500*time.Millisecond))
		q.Next(start)
		q.Stuck(start, "long", true)
		_, _, _ = q.Admit(start, job("later", 50, 4*time.Second))
		Expect(q.Next(start).ID).To(Equal("later"))
	})
	It("admits a job that could never meet its target if it makes no other late", func() {
		_, _, err := q.Admit(start, job("huge", 5000, time.Second))
		Expect(err).NotTo(HaveOccurred())
	})
})

// queueMachine feeds random jobs to a queue and processes them like an engine
// whose speed is exactly the queue's estimate.
type queueMachine struct {
	q    *Queue
	now  time.Time
	left map[string]time.Duration
	due  map[string]time.Time
	next int
	// started holds the jobs that were dispatched to the engine.
	started map[string]bool
}

func (m *queueMachine) admit(t *rapid.T) {
	m.next++
	tokens := rapid.IntRange(1, 4000).Draw(t, "tokens")
	target := time.Duration(rapid.IntRange(100, 8000).Draw(t, "target_ms")) * time.Millisecond
	j := Job{ID: fmt.Sprint(m.next), Tokens: tokens, Deadline: m.now.Add(target), Target: target}
	alone := time.Duration(tokens) * time.Second / 1000
	_, displaced, err := m.q.Admit(m.now, j)
	if err != nil {
		return
	}
	m.left[j.ID] = alone
	if alone <= target {
		m.due[j.ID] = j.Deadline
	}
	for _, id := range displaced {
		if m.started[id] {
			t.Fatalf("%s was displaced after it had started", id)
		}
		delete(m.left, id)
		delete(m.due, id)
	}
}

// admitPaid adds a repetition of lost work, which must never be refused.
func (m *queueMachine) admitPaid(t *rapid.T) {
	m.next++
	tokens := rapid.IntRange(1, 4000).Draw(t, "tokens")
	j := Job{ID: fmt.Sprint(m.next), Tokens: tokens, Deadline: m.now, Target: time.Second, Paid: true}
	if _, _, err := m.q.Admit(m.now, j); err != nil {
		t.Fatalf("paid work was refused: %v", err)
	}
	m.left[j.ID] = time.Duration(tokens) * time.Second / 1000
	clear(m.due) // Paid work may make other jobs late.
}

// work advances the time while the engine processes its most urgent job.
func (m *queueMachine) work(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	for d > 0 {
		for j := m.q.Next(m.now); j != nil; j = m.q.Next(m.now) {
			m.started[j.ID] = true
		}
		var current *Job
		for _, j := range m.q.jobs {
			if j.running {
				current = j
				break
			}
		}
		if current == nil {
			m.now = m.now.Add(d)
			return
		}
		step := min(d, m.left[current.ID])
		m.now, d = m.now.Add(step), d-step
		if m.left[current.ID] -= step; m.left[current.ID] > 0 {
			return
		}
		if due, ok := m.due[current.ID]; ok && m.now.After(due) {
			t.Fatalf("%s was admitted and is %s late", current.ID, m.now.Sub(due))
		}
		delete(m.left, current.ID)
		m.q.Remove(m.now, current.ID)
	}
}

func TestAdmittedPrefillsMeetTheirDeadlines(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		m := &queueMachine{
			q: &Queue{Rate: 1000, Slots: 100, Margin: 1}, now: start,
			left: map[string]time.Duration{}, due: map[string]time.Time{}, started: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){"admit": m.admit, "admit paid": m.admitPaid, "work": m.work})
	})
}
