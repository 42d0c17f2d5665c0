package staging

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// stage holds the engines of one stage.
type stage struct {
	// count is the number of engines and speed the sum of their speeds, including those that are
	// changing to the stage.
	count int
	speed float64
	// serving is the sum of the speeds of the engines that serve the stage now, and servingCount their
	// number. joining is the sum of the speeds of the engines that are changing to the stage, and leaving the
	// number of those that are changing from it.
	serving      float64
	servingCount int
	joining      float64
	leaving      int
	// eligible are the engines that may get a change.
	eligible []*runners.State
}

// measuredPart is the part by which the measured speed of a stage may differ from the true one, since the
// two stages are measured in different ways.
const measuredPart = 0.1

// strength returns the number of engines of mean speed that are as fast as the stage. A difference from the
// number of its engines counts only beyond measuredPart, or the tolerance of a plan if that is larger.
func (s *stage) strength() float64 {
	count := float64(s.count)
	ignored := max(0, measuredPart*count-tolerance)
	difference := s.speed - count
	return count + max(0, difference-ignored) - max(0, -difference-ignored)
}

// stages holds the engines of a service by stage.
type stages struct{ prefill, decode stage }

func (s *stages) of(which runners.Stage) *stage {
	if which == runners.Prefill {
		return &s.prefill
	}
	return &s.decode
}

// newStages sorts the engines of a situation by stage.
func newStages(x Situation, now time.Time) stages {
	var out stages
	for _, r := range x.Engines {
		v, _ := x.speed(r)
		if to, changing := r.Changing(now); changing {
			out.of(r.Stage).leaving++
			out.of(to).count++
			out.of(to).speed += v
			out.of(to).joining += v
			continue
		}
		s := out.of(r.Stage)
		s.count++
		s.speed += v
		if x.serves(r) {
			s.serving += v
			s.servingCount++
			s.eligible = append(s.eligible, r)
		}
	}
	if out.prefill.count > 0 {
		out.decode.eligible = exceptLastOfVersion(out.decode.eligible)
	}
	return out
}

// exceptLastOfVersion returns the decode engines that may leave the stage: of each software version one
// stays, since streams that began there can't continue elsewhere.
func exceptLastOfVersion(engines []*runners.State) []*runners.State {
	stays := map[string]*runners.State{}
	for _, r := range engines {
		if first := stays[r.Version]; first == nil || r.ID < first.ID {
			stays[r.Version] = r
		}
	}
	if len(stays) < 2 {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(r *runners.State) bool { return stays[r.Version] == r })
}

// Spares reports whether a stage keeps an engine that serves if one of a list of engines leaves it; for a
// decode engine also one of its software version, if there are several.
func Spares(leaving *runners.State, list []*runners.State, serves func(*runners.State) bool) bool {
	stays, sameVersion, versions := false, false, false
	for _, r := range list {
		if r.ID == leaving.ID || r.Stage != leaving.Stage || !serves(r) {
			continue
		}
		stays = true
		sameVersion = sameVersion || r.Version == leaving.Version
		versions = versions || r.Version != leaving.Version
	}
	return stays && (leaving.Stage != runners.Decode || sameVersion || !versions)
}

// minServing is the number of engines of a stage that should serve at any time, so that the
// pause or loss of one doesn't stop the service.
const minServing = 2

// spares reports whether the stage has the speed that it needs without an engine of a speed.
func (s *stage) spares(v, need float64) bool {
	return s.servingCount > minServing && s.serving-v >= need
}

// spare reports whether an engine of a speed may leave the stage now. Engines that the stage doesn't
// spare leave one at a time.
func (s *stage) spare(v, need float64) bool { return s.spares(v, need) || s.leaving == 0 }

// take records that an engine leaves the stage.
func (s *stage) take(v float64) {
	s.count--
	s.speed -= v
	s.serving -= v
	s.servingCount--
	s.leaving++
}

// usableMemory is the fraction of the memory of the decode engines that requests in progress
// may use on average before new ones find no engine with room.
const usableMemory = 0.75

// need returns the speed that a stage needs for the requests in progress. What is asked beyond the
// room of the decode engines needs no prefill.
func (p Policy) need(x Situation, s stages, which runners.Stage) float64 {
	decode := x.Reserved / usableMemory * s.decode.serving
	if x.Waiting > 0 {
		decode = s.decode.serving
	}
	if which == runners.Decode {
		return decode
	}
	share := x.LearnedShare
	if share == 0 {
		share = p.Share
	}
	return decode * share / max(1-share, share)
}
