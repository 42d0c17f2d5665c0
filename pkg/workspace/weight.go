package workspace

import "github.com/cespare/xxhash/v2"

// Hash returns a hash of the workspace's name, which identifies it in datagrams; 0 for nil.
func (w *Workspace) Hash() uint64 {
	if w == nil {
		return 0
	}
	return max(1, xxhash.Sum64String(w.Name))
}

// Weights returns the weights by which workspaces share what is scarce, by hash. They are in proportion
// to the rates of their limits. A workspace without a limit has the mean weight. If limits count
// different units, all weights are 1.
func (d *Directory) Weights() map[uint64]float64 {
	rates, limited := 0.0, 0
	units := map[Unit]bool{}
	for _, w := range d.All() {
		if w.Limit.Bounded() {
			rates += w.Limit.Rate
			limited++
			units[w.Limit.Unit] = true
		}
	}
	out := map[uint64]float64{}
	for _, w := range d.All() {
		out[w.Hash()] = 1
		if w.Limit.Bounded() && len(units) == 1 {
			out[w.Hash()] = w.Limit.Rate * float64(limited) / rates
		}
	}
	return out
}
