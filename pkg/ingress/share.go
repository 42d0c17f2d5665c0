package ingress

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/runners"
)

// connectionsPerGateway is how many of a plain runner's connections are counted for each gateway that uses
// it: two that it keeps, and as many for those that it opens while these are busy.
const connectionsPerGateway = 4

// share returns the plain runners of a list that this gateway uses: all, unless so many gateways
// would open more connections than the runners take, which reset what is beyond. Then each uses
// fewer, chosen by its name, so that all runners have about as many gateways.
func (g *Ingress) subset(service string, list []*runners.State) []*runners.State {
	used := g.subsetSize(service, len(list))
	if used >= len(list) {
		return list
	}
	out := slices.Clone(list)
	hash := func(s *runners.State) uint64 { return xxhash.Sum64String(g.options.Name + "/" + s.ID) }
	slices.SortFunc(out, func(a, b *runners.State) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:used]
}

// used returns how many of a service's plain runners this gateway uses.
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
