package ingress

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/runners"
)

// connectionsPerGateway is the assumed number of connections of each gateway to a plain runner that
// it uses: two that the gateway keeps open, and two more that it opens while those are busy.
const connectionsPerGateway = 4

// plainSubset returns the plain runners of a list that this gateway uses. It is independent of
// package subset, which chooses engines. It returns the whole list, unless the gateways together
// would open more connections than the runners accept: a runner resets connections beyond its limit.
// Each gateway then uses fewer runners, chosen by a hash of its name, so that all runners are used
// by about the same number of gateways.
func (g *Ingress) plainSubset(service string, list []*runners.State) []*runners.State {
	used := g.subsetSize(service, len(list))
	if used >= len(list) {
		return list
	}
	out := slices.Clone(list)
	hash := func(s *runners.State) uint64 { return xxhash.Sum64String(g.options.Name + "/" + s.ID) }
	slices.SortFunc(out, func(a, b *runners.State) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:used]
}

// subsetSize returns how many of a service's n plain runners this gateway uses.
func (g *Ingress) subsetSize(service string, n int) int {
	table := g.table.Load()
	if table == nil {
		return n
	}
	most := table.Config.Services[service].MaxConnections
	if most == 0 {
		return n
	}
	g.mu.Lock()
	gateways := g.gateways
	g.mu.Unlock()
	return max(1, most*n/(connectionsPerGateway*max(1, gateways)))
}
