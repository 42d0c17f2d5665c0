package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// encodeSnapshots encodes snapshots as a message.
func encodeSnapshots(snapshots map[string]enginepool.Snapshot) *wirepb.GatewayState {
	state := &wirepb.GatewayState{}
	for service, s := range snapshots {
		pool := &wirepb.GatewayPool{Service: service, Waiting: uint32(s.Waiting), Full: s.Full, PromisedSinceMs: uint32(s.PromisedAge.Milliseconds())}
		for _, n := range s.Promised {
			pool.Promised = append(pool.Promised, uint32(n))
		}
		for _, l := range s.Engines {
			e := &wirepb.EngineLoad{Runner: l.Runner, Reading: uint32(l.PrefillTokens), Speed: uint32(l.Speed), SpeedAgeMs: uint32(l.SpeedAge.Milliseconds()), Preempted: uint32(l.Preempted / outcomeUnit), PrefillSpeed: uint32(l.PrefillSpeed)}
			for _, r := range l.Loads {
				e.Now = append(e.Now, uint32(r.Now))
				e.Left = append(e.Left, uint32(r.Left))
				e.Generated = append(e.Generated, uint32(r.Generated))
			}
			pool.Engines = append(pool.Engines, e)
		}
		state.Pools = append(state.Pools, pool)
	}
	return state
}

// maxWaiting bounds the number of waiting requests that another gateway may report. Refusals depend on it.
const maxWaiting = 10_000

// decodeSnapshots returns the snapshots of a message, by service.
func decodeSnapshots(s *wirepb.GatewayState) map[string]enginepool.Snapshot {
	out := map[string]enginepool.Snapshot{}
	for _, pool := range s.Pools {
		p := enginepool.Snapshot{Full: pool.Full, Waiting: int(min(pool.Waiting, maxWaiting)), PromisedAge: time.Duration(pool.PromisedSinceMs) * time.Millisecond}
		for _, n := range pool.Promised {
			p.Promised = append(p.Promised, int(n))
		}
		for _, e := range pool.Engines {
			p.Engines = append(p.Engines, decodeEngineLoad(e))
		}
		out[pool.Service] = p
	}
	return out
}

// decodeEngineLoad returns the load of one engine. It drops the loads if the lists Now and Left differ
// in length. An earlier build doesn't send Generated, which is then 0.
func decodeEngineLoad(e *wirepb.EngineLoad) enginepool.EngineLoad {
	load := enginepool.EngineLoad{
		Runner: e.Runner, PrefillTokens: int(e.Reading), Speed: float64(e.Speed), SpeedAge: time.Duration(e.SpeedAgeMs) * time.Millisecond,
		PrefillSpeed: float64(e.PrefillSpeed), Preempted: float64(e.Preempted) * outcomeUnit,
	}
	if len(e.Now) != len(e.Left) {
		return load
	}
	for i := range e.Now {
		l := enginepool.Load{Now: int(e.Now[i]), Left: int(e.Left[i])}
		if len(e.Generated) == len(e.Now) {
			l.Generated = int(e.Generated[i])
		}
		load.Loads = append(load.Loads, l)
	}
	return load
}

// outcomeUnit is the resolution of decayed counts on the wire, which are multiples of it.
const outcomeUnit = 1.0 / 16

func encodeOutcomes(reported []runners.Outcome) []*wirepb.RunnerOutcome {
	out := make([]*wirepb.RunnerOutcome, 0, len(reported))
	for _, o := range reported {
		m := &wirepb.RunnerOutcome{Runner: o.Runner, Failed: uint32(o.Failed / outcomeUnit), Total: uint32(o.Total / outcomeUnit)}
		if o.Unusable {
			m.Unusable, m.Stage = true, string(o.Stage)
		}
		out = append(out, m)
	}
	return out
}

func decodeOutcomes(reported []*wirepb.RunnerOutcome) []runners.Outcome {
	out := make([]runners.Outcome, 0, len(reported))
	for _, o := range reported {
		out = append(out, runners.Outcome{
			Runner: o.Runner, Failed: float64(o.Failed) * outcomeUnit, Total: float64(o.Total) * outcomeUnit,
			Unusable: o.Unusable, Stage: runners.Stage(o.Stage),
		})
	}
	return out
}

// unmarshal decodes one datagram.
func unmarshal(data []byte, into *wirepb.GatewayState) error { return proto.Unmarshal(data, into) }

func encodeStageChanges(changes []runners.StageChange) []*wirepb.StageChange {
	out := make([]*wirepb.StageChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, &wirepb.StageChange{Runner: c.Runner, Stage: string(c.To), RemainingMs: uint32(c.Remaining.Milliseconds())})
	}
	return out
}

func decodeStageChanges(changes []*wirepb.StageChange) []runners.StageChange {
	out := make([]runners.StageChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, runners.StageChange{Runner: c.Runner, To: runners.Stage(c.Stage), Remaining: time.Duration(c.RemainingMs) * time.Millisecond})
	}
	return out
}
