package fairness

// floorShare is the least share of the room that requests of the less urgent classes get while more
// urgent ones wait all the time.
const floorShare = 0.05

// Exempt reports whether a request leaves no room to others whatever waits elsewhere: floorShare of all.
func Exempt(q Request) bool { return q.Arrival%(1/floorShare) == 0 }

// Floor keeps less urgent classes from starving. The zero value is ready to use.
type Floor struct {
	// credit is the room that they are owed, in tokens.
	credit float64
}

// Granted records room that a request got while a less urgent one waited.
func (f *Floor) Granted(tokens int) { f.credit += floorShare * float64(tokens) }

// Due reports whether a less urgent request of a size goes first.
func (f *Floor) Due(size int) bool { return f.credit >= float64(size) }

// Repay records room that a less urgent request got ahead of its turn.
func (f *Floor) Repay(size int) { f.credit = max(0, f.credit-float64(size)) }
