package quota

import "math"

// unreported stands for the total of a peer that reported none.
const unreported = math.MinInt64

// totals holds the last total that each peer reported, by the peer's slot. With hundreds of gateways and
// thousands of workspaces, maps by name would take most of a gateway's memory.
type totals []int64

// get returns the total of a slot, and whether there is one.
func (t totals) get(slot int) (int64, bool) {
	if slot >= len(t) || t[slot] == unreported {
		return 0, false
	}
	return t[slot], true
}

// set sets the total of a slot.
func (t *totals) set(slot int, total int64) {
	for len(*t) <= slot {
		*t = append(*t, unreported)
	}
	(*t)[slot] = total
}

// forget removes the total of a slot.
func (t totals) forget(slot int) {
	if slot < len(t) {
		t[slot] = unreported
	}
}

// amounts holds the amounts withheld for peers that are not alive, by the peers' slots. It takes no memory while
// there are none.
type amounts struct {
	bySlot []float64
	// held is the number of amounts that are not 0.
	held int
}

// get returns the amount of a slot.
func (w *amounts) get(slot int) float64 {
	if slot >= len(w.bySlot) {
		return 0
	}
	return w.bySlot[slot]
}

// set sets the amount of a slot; 0 removes it.
func (w *amounts) set(slot int, amount float64) {
	before := w.get(slot)
	if before == amount {
		return
	}
	for len(w.bySlot) <= slot {
		w.bySlot = append(w.bySlot, 0)
	}
	w.bySlot[slot] = amount
	if before == 0 {
		w.held++
	}
	if amount == 0 {
		w.held--
	}
	if w.held == 0 {
		w.bySlot = nil
	}
}

// sum returns the sum of all amounts.
func (w *amounts) sum() float64 {
	sum := 0.0
	for _, v := range w.bySlot {
		sum += v
	}
	return sum
}

// scale multiplies all amounts.
func (w *amounts) scale(factor float64) {
	for slot := range w.bySlot {
		w.bySlot[slot] *= factor
	}
}

// slots gives each peer a small number.
type slots struct {
	free []int
	used int
}

// take returns a slot that no peer has.
func (s *slots) take() int {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	s.used++
	return s.used - 1
}

// release gives a slot back.
func (s *slots) release(slot int) { s.free = append(s.free, slot) }
