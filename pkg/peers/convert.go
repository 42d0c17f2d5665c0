package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// encode puts snapshots into a message.
func encode(snapshots map[string]enginepool.Snapshot) *wirepb.GatewayState {
	state := &wirepb.GatewayState{}
	for service, p := range snapshots {
		pool := &wirepb.GatewayPool{Service: service, Waiting: uint32(p.Waiting)}
		engines := map[string]*wirepb.EngineLoad{}
		engine := func(runner string) *wirepb.EngineLoad {
			e := engines[runner]
			if e == nil {
				e = &wirepb.EngineLoad{Runner: runner}
				engines[runner] = e
				pool.Engines = append(pool.Engines, e)
			}
			return e
		}
		for _, l := range p.Loads {
			e := engine(l.Runner)
			e.Now = append(e.Now, uint32(l.Now))
			e.Left = append(e.Left, uint32(l.Left))
		}
		for runner, tokens := range p.Reading {
			engine(runner).Reading = uint32(tokens)
		}
		state.Pools = append(state.Pools, pool)
	}
	return state
}

// decode takes snapshots out of a message, by service. Loads whose two lists
// differ in length are left out.
func decode(s *wirepb.GatewayState, now time.Time) map[string]enginepool.Snapshot {
	out := map[string]enginepool.Snapshot{}
	for _, pool := range s.Pools {
		p := enginepool.Snapshot{Reading: map[string]int{}, Waiting: int(pool.Waiting), At: now}
		for _, e := range pool.Engines {
			if e.Reading > 0 {
				p.Reading[e.Runner] = int(e.Reading)
			}
			if len(e.Now) != len(e.Left) {
				continue
			}
			for i := range e.Now {
				p.Loads = append(p.Loads, enginepool.Load{Runner: e.Runner, Now: int(e.Now[i]), Left: int(e.Left[i])})
			}
		}
		out[pool.Service] = p
	}
	return out
}

// outcomeUnit is what outcomes are counted in on the wire.
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

// unmarshal reads one datagram.
func unmarshal(data []byte, into *wirepb.GatewayState) error { return proto.Unmarshal(data, into) }

func encodeStageChanges(changes []runners.StageChange) []*wirepb.StageChange {
	out := make([]*wirepb.StageChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, &wirepb.StageChange{Runner: c.Runner, Stage: string(c.To), RemainingMs: uint32(c.Left.Milliseconds())})
	}
	return out
}

func decodeStageChanges(changes []*wirepb.StageChange) []runners.StageChange {
	out := make([]runners.StageChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, runners.StageChange{Runner: c.Runner, To: runners.Stage(c.Stage), Left: time.Duration(c.RemainingMs) * time.Millisecond})
	}
	return out
}
