package runners

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// listHash returns a hash by which runners are listed. It depends only on the names of the gateway and of the
// runner, and differs between gateways, so that they don't all prefer the same one among equal runners.
func (d *Directory) listHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.gateway + "/" + id))
	return h.Sum64()
}

func compareStates(a, b *State) int {
	return cmp.Or(cmp.Compare(a.listHash, b.listHash), cmp.Compare(a.ID, b.ID))
}

// insertLocked adds a runner to the list, or replaces its earlier state. The caller holds the lock.
func (d *Directory) insertLocked(s *State) {
	i, found := slices.BinarySearchFunc(d.listed, s, compareStates)
	if found {
		d.listed[i] = s
		return
	}
	d.listed = slices.Insert(d.listed, i, s)
}

// removeLocked removes a runner from the list. The caller holds the lock.
func (d *Directory) removeLocked(s *State) {
	if i, found := slices.BinarySearchFunc(d.listed, s, compareStates); found {
		d.listed = slices.Delete(d.listed, i, i+1)
	}
}
