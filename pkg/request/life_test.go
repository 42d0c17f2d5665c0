package request_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestRequest(t *testing.T) { spectest.Run(t, "request") }

var _ = Describe("Life", func() {
	It("has outcome not_run if no order was sent", func() {
		l := request.NewLife("r", true)
		_, err := l.Begin()
		Expect(err).NotTo(HaveOccurred())
		Expect(l.GiveUp()).To(Equal(request.NotRun))
	})
	It("may have run after Send, but not after Withdraw", func() {
		l := request.NewLife("r", true)
		n, _ := l.Begin()
		Expect(l.Send(n)).To(Succeed())
		Expect(l.MayHaveRun()).To(BeTrue())
		l.Withdraw(n)
		Expect(l.GiveUp()).To(Equal(request.NotRun))
	})
	It("drops the chunks of a superseded attempt", func() {
		l := request.NewLife("r", true)
		first, _ := l.Begin()
		Expect(l.Send(first)).To(Succeed())
		_, err := l.Chunk(first, 0, 1, "a")
		Expect(err).NotTo(HaveOccurred())
		second, _ := l.Begin()
		_, err = l.Chunk(first, 1, 1, "b")
		var old *request.ErrSuperseded
		Expect(errors.As(err, &old)).To(BeTrue())
		Expect(l.Send(second)).To(Succeed())
		text, err := l.Chunk(second, 1, 1, "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("c"))
	})
	It("allows no second attempt if it may have run and must not be repeated", func() {
		l := request.NewLife("r", false)
		n, _ := l.Begin()
		Expect(l.Send(n)).To(Succeed())
		_, err := l.Begin()
		var ran *request.ErrMayHaveRun
		Expect(errors.As(err, &ran)).To(BeTrue())
		l.NeverRan(n)
		_, err = l.Begin()
		Expect(err).NotTo(HaveOccurred())
	})
})

// lifeMachine calls the methods of a Life in random order and keeps a model of what its client
// received and of which orders runners may have started.
type lifeMachine struct {
	life       *request.Life
	repeatable bool
	response   string
	received   string
	sent       map[int]int
	last       int
	ended      bool
	over       bool
}

const responseTokens = 12

func (m *lifeMachine) begin(t *rapid.T) {
	ran := false
	for _, n := range m.sent {
		ran = ran || n > 0
	}
	n, err := m.life.Begin()
	if allowed := !m.over && (m.repeatable || !ran); allowed != (err == nil) {
		t.Fatalf("begin: allowed=%t err=%v", allowed, err)
	}
	if err == nil {
		m.last = n
	}
}

func (m *lifeMachine) anyAttempt(t *rapid.T) int {
	return rapid.IntRange(0, m.last+1).Draw(t, "attempt")
}

func (m *lifeMachine) send(t *rapid.T) {
	n := m.anyAttempt(t)
	if m.life.Send(n) == nil {
		if n != m.last || m.over {
			t.Fatalf("Send accepted attempt %d after attempt %d began", n, m.last)
		}
		m.sent[n]++
	}
}

func (m *lifeMachine) withdraw(t *rapid.T) {
	n := m.anyAttempt(t)
	m.life.Withdraw(n)
	m.sent[n] = max(0, m.sent[n]-1)
}

// chunk delivers any part of the response, in any order, for any attempt.
func (m *lifeMachine) chunk(t *rapid.T) {
	n := m.anyAttempt(t)
	offset := rapid.IntRange(0, responseTokens-1).Draw(t, "offset")
	tokens := rapid.IntRange(1, responseTokens-offset).Draw(t, "tokens")
	text, err := m.life.Chunk(n, offset, tokens, m.response[offset:offset+tokens])
	if err != nil && text != "" {
		t.Fatalf("a rejected chunk returned text %q", text)
	}
	if err == nil && (n != m.last || m.over) {
		t.Fatalf("a chunk of attempt %d was accepted after attempt %d began", n, m.last)
	}
	m.received += text
}

func (m *lifeMachine) end(t *rapid.T) {
	n := m.anyAttempt(t)
	if m.life.End(n, responseTokens) != nil {
		return
	}
	if m.over {
		t.Fatalf("request reached Done twice")
	}
	if m.received != m.response {
		t.Fatalf("done with %q of %q", m.received, m.response)
	}
	m.over, m.ended = true, true
}

func (m *lifeMachine) giveUp(t *rapid.T) {
	o := m.life.GiveUp()
	if m.over {
		if m.ended && o != request.Done {
			t.Fatalf("outcome changed to %s", o)
		}
		return
	}
	ran := false
	for _, n := range m.sent {
		ran = ran || n > 0
	}
	if (o == request.NotRun) == ran {
		t.Fatalf("outcome %s with sent=%v", o, m.sent)
	}
	m.over = true
}

func TestLifeMatchesModel(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		m := &lifeMachine{repeatable: rapid.Bool().Draw(t, "repeatable"), response: "abcdefghijkl", sent: map[int]int{}}
		m.life = request.NewLife("r", m.repeatable)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "send": m.send, "withdraw": m.withdraw, "chunk": m.chunk,
			"end": m.end, "give up": m.giveUp,
			"": func(t *rapid.T) {
				if !strings.HasPrefix(m.response, m.received) {
					t.Fatalf("the client received %q", m.received)
				}
			},
		})
	})
}
