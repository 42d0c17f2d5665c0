package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
)

// prefill has the prompt read by the runner that will have done so first. With
// no prefill runner left the decode runner reads it itself: the source is empty.
func (s *generation) prefill(room *place) (Source, *runners.State, error) {
	var again *runners.State
	for tries := 0; ; tries++ {
		reader, expected, err := s.beginPrefill(room, again)
		if err != nil {
			s.step("no_prefill_runner", decisionlog.F("error", err))
			return Source{}, nil, nil
		}
		if failures := reader.Failures(time.Now()); expected > overflowAfter || failures > localAbove {
			s.pool.EndPrefill(reader.ID, s.job.ID, false, time.Now())
			s.step("prefill_local", decisionlog.F("expected", expected), decisionlog.F("failures", failures))
			return Source{}, nil, nil
		}
		if (tries > 0 || len(s.unread) > 0) && !s.readAgain() {
			s.pool.EndPrefill(reader.ID, s.job.ID, false, time.Now())
			return Source{}, nil, nil
		}
		began := time.Now()
		source, err := s.read(reader, patience(reader, expected))
		s.pool.EndPrefill(reader.ID, s.job.ID, err == nil, time.Now())
		if err == nil {
			s.g.metrics.prefill.UpdateDuration(began)
			s.g.metrics.read.Add(source.Tokens)
			s.fields = append(s.fields, decisionlog.F("prefill", reader.ID), decisionlog.F("prefill_after", time.Since(s.arrived)))
			return source, reader, nil
		}
		if gone := s.over(); gone != nil {
			return Source{}, nil, gone
		}
		s.trouble("prefill_failed", reader.ID, err)
		if answerMissing(err) {
			s.wasted("prefill_lost", reader, s.job.Prompt)
		}
		s.refusedPrefill(reader, err)
		if tries+1 >= maxPrefills {
			return Source{}, nil, nil
		}
		if again = nil; tries == 0 && answerLost(err) {
			again = reader
		}
	}
}

// beginPrefill assigns the prompt to a runner: to one whose answer was lost, if it is
// given, otherwise to the best.
func (s *generation) beginPrefill(room *place, again *runners.State) (*runners.State, time.Duration, error) {
	now := time.Now()
	if again != nil && again.Usable(now) {
		return again, s.pool.RepeatPrefill(again, s.job.ID, s.job.Prompt, now), nil
	}
	return s.pool.BeginPrefill(enginepool.Prompt{
		ID: s.job.ID, Tokens: s.job.Prompt, Domain: room.runner.Domain, Avoid: s.unread, Allows: s.job.Allows,
	}, now)
}

// answerLost reports whether a prefill's connection ended before its answer came, while
// the runner may be well: it keeps the prompt that it read, and answers again without
// reading it anew.
func answerLost(err error) bool {
	return answerMissing(err) && !errors.Is(err, context.DeadlineExceeded)
}

// patience returns how long a prefill's answer is waited for. A runner that loses
// no answers is slow rather than silent: what it reads is not thrown away.
func patience(reader *runners.State, expected time.Duration) time.Duration {
	late := prefillLate
	if reader.Failures(time.Now()) < trustBelow {
		late = trustedLate
	}
	return late + prefillFactor*expected
}

// readAgain reports whether one more prefill is allowed. Where the last one was
// turned away it has been charged for, and the next is the first that counts as
// none.
func (s *generation) readAgain() bool {
	if s.charged {
		s.charged = false
		return s.budget.Left(time.Now()) >= 0
	}
	return s.budget.Spend(time.Now())
}

// refusedPrefill records a prefill that a runner did not do. One that the runner
// turned away counts in the budget, also when it was the first.
func (s *generation) refusedPrefill(reader *runners.State, err error) {
	s.unread[reader.ID] = true
	s.recordFailure(reader, err)
	var declined *ErrDeclined
	if errors.As(err, &declined) {
		reader.Failed(time.Now())
		s.budget.Charge(time.Now())
		s.charged = true
	}
}

func (s *generation) read(reader *runners.State, limit time.Duration) (Source, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	reader.Sent(s.job.ID, time.Now())
	return s.g.options.Engines.Prefill(ctx, reader, s.call, s.order())
}

// useless records a prompt whose KV cache could not be fetched.
func (s *generation) useless(reader *runners.State, source Source) {
	if reader == nil {
		return
	}
	s.wasted("kv_cache_gone", reader, source.Tokens)
	reader.Failed(time.Now())
	s.unread[reader.ID] = true
}

// wasted records a prompt that was computed in vain, or must be computed again.
func (s *generation) wasted(reason string, runner *runners.State, tokens int) {
	s.g.metrics.wasted.Add(tokens)
	s.trouble("prompt_wasted", runner.ID, nil, decisionlog.F("reason", reason), decisionlog.F("tokens", tokens))
}

// free gives a KV cache up that nobody will fetch.
func (s *generation) free(reader *runners.State, source Source, reason string) {
	if reader == nil {
		return
	}
	if s.over() != nil {
		reason = "client_gone"
	}
	s.wasted(reason, reader, source.Tokens)
	reader.Called("", time.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), freeCall)
		defer cancel()
		_ = s.g.options.Engines.Free(ctx, reader, source)
	}()
}
