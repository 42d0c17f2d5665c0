package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/prefix"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// subsetSize is the maximum number of candidates per role and model at one gateway.
	subsetSize = 64
	// staleAfter is the age of the last confirmation of the configuration after which a gateway
	// asks peers to confirm it. Configurations are exchanged about once per second.
	staleAfter = 4 * time.Second
	// confirmPeers is the number of peers that it asks.
	confirmPeers = 4
)

// choose runs the policy for a request. If prefill or decode is given, that member is the only
// candidate for its role.
func (g *Gateway) choose(r *run, prefill, decode *fleet.Member) (pairing, error) {
	s := g.scratch.Get().(*route.Scratch)
	defer g.scratch.Put(s)
	s.Reset()
	view := g.View()
	prefillGrants := g.candidates(view, r, fleet.RolePrefill, prefill)
	decodeGrants := g.candidates(view, r, fleet.RoleDecode, decode)
	now := time.Now()
	s.Prefills = g.states(s.Prefills, prefillGrants, r, now)
	s.Decodes = g.states(s.Decodes, decodeGrants, r, now)
	g.prefixes.Fill(r.blocks, prefix.BlockTokens, r.promptTokens, s.Prefills)
	offset, _ := r.life.Progress()
	req := route.Request{
		PromptTokens: r.promptTokens + offset, MaxTokens: r.req.MaxTokens - offset, Blocks: r.blocks,
		FirstToken: r.timeLeft().Seconds(), PerToken: r.targetPer.Seconds(),
		Domain: g.Self.Domain, Region: g.Self.Region,
		Exported: r.export != nil, Paid: r.started(), Now: now,
	}
	c, err := g.opt.Policy.Choose(&req, s)
	if err != nil {
		return pairing{}, err
	}
	g.explanations.recordChoice(r.req.ID, &c)
	return pairing{Choice: c, prefill: prefillGrants[c.Prefill], decode: decodeGrants[c.Decode]}, nil
}

// candidates returns the candidate runners for a role.
func (g *Gateway) candidates(view *fleet.View, r *run, role fleet.Role, fixed *fleet.Member) []fleet.Grant {
	if fixed != nil {
		return []fleet.Grant{{Member: fixed, Selector: r.selector}}
	}
	return g.subset(view, r.req.Kind, r.req.Model, role)
}

// states returns the states of the candidates. It sets Shunned for runners that refused or failed
// this request. If all candidates that did not refuse or fail it are backed off after recent
// failures, it clears Shunned for them.
func (g *Gateway) states(out []route.State, grants []fleet.Grant, r *run, now time.Time) []route.State {
	usable := false
	for _, x := range grants {
		m := x.Member
		s := g.tracker.Get(m.Name, m.Domain, m.Region).State(now)
		s.Shunned = s.Shunned || r.excluded[m.Name]
		usable = usable || !s.Shunned
		out = append(out, s)
	}
	for i := range out {
		out[i].Shunned = out[i].Shunned && (usable || r.excluded[out[i].Name])
	}
	return out
}

// subsetKey is the key of a cached subset.
type subsetKey struct {
	kind, model string
	role        fleet.Role
}

// maxSubsets limits the number of cached subsets per view.
const maxSubsets = 4096

// subset returns the runners that this gateway considers. For prefill, it leaves out runners that
// also decode, unless there are no others. Their number is limited so that the gateway's state and
// its probes do not grow with the fleet. Runners are chosen by rendezvous hashing, an equal share
// from each failure domain. The choice stays stable as instances join and leave.
func (g *Gateway) subset(view *fleet.View, kind, model string, role fleet.Role) []fleet.Grant {
	all := view.Grants(kind, model, role)
	if role == fleet.RolePrefill {
		all = view.PrefillOnly(kind, model)
	}
	if len(all) <= subsetSize {
		return all
	}
	key := subsetKey{kind, model, role}
	g.subsetMu.Lock()
	defer g.subsetMu.Unlock()
	if g.subsetView != view {
		g.subsetView, g.subsets = view, map[subsetKey][]fleet.Grant{}
	}
	if s, ok := g.subsets[key]; ok {
		return s
	}
	s := pickSubset(all, g.Self.Name, subsetSize)
	if len(g.subsets) < maxSubsets {
		g.subsets[key] = s
	}
	return s
}

// pickSubset returns up to size grants, taken from the failure domains in round-robin order.
func pickSubset(all []fleet.Grant, self string, size int) []fleet.Grant {
	byDomain := map[string][]fleet.Grant{}
	for _, x := range all {
		byDomain[x.Member.Domain] = append(byDomain[x.Member.Domain], x)
	}
	var domains []string
	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b fleet.Grant) int {
			ha, hb := xxhash.Sum64String(self+"/"+a.Member.Name), xxhash.Sum64String(self+"/"+b.Member.Name)
			if ha < hb {
				return -1
			}
			return 1
		})
	}
	slices.Sort(domains)
	var out []fleet.Grant
	for i := 0; len(out) < size; i++ {
		for _, d := range domains {
			if list := byDomain[d]; i < len(list) && len(out) < size {
				out = append(out, list[i])
			}
		}
	}
	return out
}

// confirmConfig ensures that the configuration is up to date. A gateway that was suspended or
// partitioned asks peers before it sends work based on an old configuration.
func (g *Gateway) confirmConfig(ctx context.Context) error {
	if !g.Keeper.Stale(time.Now(), staleAfter) {
		return nil
	}
	if g.Agent.Push(ctx, confirmPeers) == 0 {
		return &ErrStale{}
	}
	return nil
}

// Settings for probing runners whose load this gateway has not received recently.
const (
	probeInterval = 500 * time.Millisecond
	probeMinAge   = 1500 * time.Millisecond
	probeBatch    = 4
)

// probe asks the runners with the oldest load reports for a new report. It asks only a few at a
// time, so that the cost does not grow with the fleet.
func (g *Gateway) probe(ctx context.Context) {
	for ctx.Err() == nil {
		if !sleep(ctx, g.jittered(probeInterval)) {
			return
		}
		for _, m := range g.oldest(time.Now()) {
			go g.probeOne(ctx, m)
		}
	}
}

// oldest returns up to probeBatch sidecars whose load is older than probeMinAge, oldest first.
func (g *Gateway) oldest(now time.Time) []*fleet.Member {
	var out []*fleet.Member
	view := g.View()
	present := map[string]bool{}
	for _, m := range view.Members {
		present[m.Name] = true
		if m.Role == platform.RoleSidecar && g.tracker.Get(m.Name, m.Domain, m.Region).Age(now) > probeMinAge {
			out = append(out, m)
		}
	}
	g.tracker.Keep(present)
	slices.SortFunc(out, func(a, b *fleet.Member) int {
		return int(g.loadAge(b, now) - g.loadAge(a, now))
	})
	return out[:min(len(out), probeBatch)]
}

func (g *Gateway) loadAge(m *fleet.Member, now time.Time) time.Duration {
	return min(g.tracker.Get(m.Name, m.Domain, m.Region).Age(now), math.MaxInt32)
}

func (g *Gateway) probeOne(ctx context.Context, m *fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	d, _ := g.Keeper.Digest()
	client := wirepb.NewDRPCRunnerClient(g.Pool.Conn(m.Inner))
	l, err := client.Probe(ctx, &wirepb.ProbeRequest{Revision: d.Revision, Clock: g.Log.Clock.Next()})
	r := g.tracker.Get(m.Name, m.Domain, m.Region)
	if err != nil {
		r.Failed(time.Now(), g.Jitter())
		return
	}
	g.receiveLoad(r, m, l)
}
