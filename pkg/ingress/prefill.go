package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/staging"
)

// prefill computes the prompt on the prefill runner that is expected to finish first. If there is
// none, the source is empty and the decode runner computes the prompt itself.
func (s *generation) prefill(room *reservation) (PrefilledCache, *runners.State, error) {
	var again *runners.State
	for tries := 0; ; tries++ {
		prefillRunner, expected, err := s.beginPrefill(room, again)
		if err != nil {
			s.logStep("no_prefill_runner", decisionlog.F("error", err))
			return PrefilledCache{}, nil, nil
		}
		if s.prefersLocal(prefillRunner, expected, room) {
			s.pool.EndPrefill(prefillRunner.ID, s.job.ID, false, time.Now())
			return PrefilledCache{}, nil, nil
		}
		extra := s.prefilled || len(s.failedPrefill) > 0
		if extra && !s.mayPrefillAgain() {
			s.pool.EndPrefill(prefillRunner.ID, s.job.ID, false, time.Now())
			return PrefilledCache{}, nil, nil
		}
		s.logStep("prefill_begin", decisionlog.F("runner", prefillRunner.ID), decisionlog.F("extra", extra))
		began := time.Now()
		source, err := s.callPrefill(prefillRunner, prefillTimeout(prefillRunner, expected))
		s.pool.EndPrefill(prefillRunner.ID, s.job.ID, err == nil, time.Now())
		if err == nil {
			s.prefilled = true
			s.g.metrics.prefill.UpdateDuration(began)
			s.g.metrics.prefilled.Add(source.Tokens)
			s.fields = append(s.fields, decisionlog.F("prefill", prefillRunner.ID), decisionlog.F("prefill_after", time.Since(s.arrived)))
			return source, prefillRunner, nil
		}
		if reason := s.endReason(); reason != nil {
			return PrefilledCache{}, nil, reason
		}
		s.logFailedStep("prefill_failed", prefillRunner.ID, err)
		if noResponse(err) {
			s.recordWasted("prefill_lost", prefillRunner, s.job.Prompt)
		}
		s.recordFailedPrefill(prefillRunner, err)
		if tries+1 >= maxPrefills {
			return PrefilledCache{}, nil, nil
		}
		if again = nil; tries == 0 && responseLost(err) {
			again = prefillRunner
		}
	}
}

// prefersLocal reports whether the decode runner should compute the prompt itself, because a prefill
// on the best prefill runner would cost callers more; see staging.Place.
func (s *generation) prefersLocal(prefillRunner *runners.State, expected time.Duration, room *reservation) bool {
	now := time.Now()
	target := s.route.LatencyTarget
	if target == 0 {
		target = defaultFirstEventTarget
	}
	prompt := staging.Prompt{Tokens: s.job.Prompt, Target: target, TargetLeft: target - now.Sub(s.arrived), GapTarget: s.route.GapTarget}
	apart := staging.Prefiller{Expected: expected, Failures: prefillRunner.Failures(now), Timeout: prefillTimeout(prefillRunner, expected)}
	work := s.pool.Decoding(room.runner.ID, now)
	local := staging.Decoder{PrefillSpeed: work.Speed.Prefill, Running: work.Running, Short: work.Waiting > 0}
	if work.Known {
		local.EventInterval = tokenTime(s.engine.TokensPerEvent, work.Speed.Decode)
		local.AnswerTime = tokenTime(int(s.job.Length.Expected(0)), work.Speed.Decode)
	}
	costs := staging.Place(prompt, apart, local)
	if !costs.UseLocal() {
		return false
	}
	s.g.metrics.prefilledLocally.Inc()
	s.logStep("prefill_local", decisionlog.F("expected", expected), decisionlog.F("failures", apart.Failures),
		decisionlog.F("runner", room.runner.ID), decisionlog.F("running", local.Running), decisionlog.F("interval", local.EventInterval),
		decisionlog.F("apart_cost", costs.Apart), decisionlog.F("local_cost", costs.Local))
	return true
}

// tokenTime returns how long a runner takes for a number of tokens, at a speed in tokens per second.
func tokenTime(tokens int, speed float64) time.Duration {
	return time.Duration(float64(tokens) / speed * float64(time.Second))
}

// beginPrefill assigns the prompt to a prefill runner: to the given one, whose response was lost,
// or else to the best.
func (s *generation) beginPrefill(room *reservation, again *runners.State) (*runners.State, time.Duration, error) {
	now := time.Now()
	if again != nil && again.Usable(now) {
		return again, s.pool.RepeatPrefill(again, s.job.ID, s.job.Prompt, now), nil
	}
	return s.pool.BeginPrefill(enginepool.Prompt{
		ID: s.job.ID, Tokens: s.job.Prompt, Domain: room.runner.Domain, Avoid: s.failedPrefill, Allows: s.job.Allows,
	}, now)
}

// responseLost reports whether the connection of a prefill ended before its response came, while
// the runner may be healthy. Such a runner still has the prompt in its KV cache, and responds to a
// second call without computing it again.
func responseLost(err error) bool {
	return noResponse(err) && !errors.Is(err, context.DeadlineExceeded)
}

// prefillTimeout returns how long to wait for the response of a prefill. A runner that loses no
// responses gets longer: it is slow rather than unresponsive, and its work would be thrown away.
func prefillTimeout(prefillRunner *runners.State, expected time.Duration) time.Duration {
	late := prefillSlack
	if prefillRunner.Failures(time.Now()) < trustedFailureRate {
		late = trustedPrefillSlack
	}
	return late + prefillFactor*expected
}

// mayPrefillAgain reports whether the retry budget allows one more prefill, and charges it. If the
// last prefill was refused, it has been charged already; the next one is then not charged.
func (s *generation) mayPrefillAgain() bool {
	if s.charged {
		s.charged = false
		return s.budget.Left(time.Now()) >= 0
	}
	return s.budget.Spend(time.Now())
}

// recordFailedPrefill records a failed prefill. One that the runner refused is charged to the retry
// budget, even if it was the first.
func (s *generation) recordFailedPrefill(prefillRunner *runners.State, err error) {
	s.failedPrefill[prefillRunner.ID] = true
	s.recordFailure(prefillRunner, err)
	var declined *ErrDeclined
	if errors.As(err, &declined) {
		prefillRunner.Failed(time.Now())
		s.budget.Charge(time.Now())
		s.charged = true
	}
}

func (s *generation) callPrefill(prefillRunner *runners.State, limit time.Duration) (PrefilledCache, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	prefillRunner.Sent(s.job.ID, time.Now())
	return s.g.options.Runners.Prefill(ctx, prefillRunner, s.call, s.order())
}

// recordLostCache records that the decode runner refused the request, probably because it could not
// fetch the KV cache from the prefill runner. It counts as a failure of the prefill runner.
func (s *generation) recordLostCache(prefillRunner *runners.State, source PrefilledCache) {
	if prefillRunner == nil {
		return
	}
	s.recordWasted("kv_cache_gone", prefillRunner, source.Tokens)
	prefillRunner.Failed(time.Now())
	s.failedPrefill[prefillRunner.ID] = true
}

// recordWasted records a prompt whose computation was wasted or has to be repeated.
func (s *generation) recordWasted(reason string, runner *runners.State, tokens int) {
	s.g.metrics.wasted.Add(tokens)
	s.logFailedStep("prompt_wasted", runner.ID, nil, decisionlog.F("reason", reason), decisionlog.F("tokens", tokens))
}

// releaseKV releases a KV cache that no runner will fetch. It does not wait for the call.
func (s *generation) releaseKV(prefillRunner *runners.State, source PrefilledCache, reason string) {
	if prefillRunner == nil {
		return
	}
	if s.endReason() != nil {
		// This reason also stands for a timeout and for the end of a drain.
		reason = "client_gone"
	}
	s.recordWasted(reason, prefillRunner, source.Tokens)
	prefillRunner.CallSent("", time.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), releaseTimeout)
		defer cancel()
		_ = s.g.options.Runners.ReleaseCache(ctx, prefillRunner, source)
	}()
}
