package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// encode puts what is to be told into a message.
func encode(said map[string]enginepool.Peer) *wirepb.GatewayState {
	state := &wirepb.GatewayState{}
	for service, p := range said {
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

// decode takes what was told out of a message, by service. Loads whose two lists
// differ in length are left out.
func decode(s *wirepb.GatewayState, now time.Time) map[string]enginepool.Peer {
	out := map[string]enginepool.Peer{}
	for _, pool := range s.Pools {
		p := enginepool.Peer{Reading: map[string]int{}, Waiting: int(pool.Waiting), At: now}
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

func encodeOutcomes(told []runners.Outcome) []*wirepb.RunnerOutcome {
	out := make([]*wirepb.RunnerOutcome, 0, len(told))
	for _, o := range told {
		m := &wirepb.RunnerOutcome{Runner: o.Runner, Failed: uint32(o.Failed / outcomeUnit), Total: uint32(o.Total / outcomeUnit)}
		if o.Denied {
			m.Denied, m.Stage = true, string(o.Stage)
		}
		out = append(out, m)
	}
	return out
}

func decodeOutcomes(told []*wirepb.RunnerOutcome) []runners.Outcome {
	out := make([]runners.Outcome, 0, len(told))
	for _, o := range told {
		out = append(out, runners.Outcome{
			Runner: o.Runner, Failed: float64(o.Failed) * outcomeUnit, Total: float64(o.Total) * outcomeUnit,
			Denied: o.Denied, Stage: runners.Stage(o.Stage),
		})
	}
	return out
}

// unmarshal reads one datagram.
func unmarshal(data []byte, into *wirepb.GatewayState) error { return proto.Unmarshal(data, into) }
