package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// simulation runs gateways that share limits, and the network between them, in fixed time steps.
type simulation struct {
	rng        *rand.Rand
	now        time.Time
	allowance  Allowance
	workspaces []*workspace.Workspace
	gateways   []*process
	inFlight   []datagram
	// delay and loss are the delay and the loss rate of the network. partition is the partition
	// of each gateway: only gateways in the same partition reach each other.
	delay     time.Duration
	loss      float64
	partition []int
	admitted  []admittedRequest
	// requested is the total cost of all requests, refused the cost of those that were refused.
	requested, refused float64
	// sentBytes is the size of all datagrams that carry spending, sentEntries the number of
	// workspaces in them.
	sentBytes, sentEntries int
}

// process is one gateway, running or about to start.
type process struct {
	name        string
	ledger      *Ledger
	incarnation uint64
	startsAt    time.Time
	links       map[string]*link
}

// link is the state that a process keeps for its exchange with one peer.
type link struct {
	sentSequence, sentRevision uint64
	seenSequence, incarnation  uint64
	// needFull is set after a lost datagram while this process waits for a full report of the peer.
	// sendFull is set while this process has to send a full report to the peer.
	needFull, sendFull bool
	lastSent           time.Time
}

type datagram struct {
	at                         time.Time
	from, to                   int
	incarnation, sequence      uint64
	full, requestFull, settled bool
	spending                   []Spending
}

type admittedRequest struct {
	at        time.Time
	workspace string
	cost      float64
}

const (
	step      = 20 * time.Millisecond
	heartbeat = 300 * time.Millisecond
	// reportInterval is the time after which spending is reported if its bucket is at least half
	// full.
	reportInterval = 300 * time.Millisecond
	// datagramOverhead is the size of a datagram without its entries, including the IP and UDP
	// headers. entryBytes is the size of the entry of one workspace. Both are in bytes.
	datagramOverhead = 73
	entryBytes       = 12
)

func newSimulation(n int, a Allowance, workspaces []*workspace.Workspace, seed uint64) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), allowance: a, workspaces: workspaces, delay: 5 * time.Millisecond, partition: make([]int, n)}
	for i := range n {
		w.gateways = append(w.gateways, &process{name: fmt.Sprint("g", i)})
		w.start(i)
	}
	return w
}

// start starts a gateway's process. It knows the names of its peers and the limits, and nothing
// else.
func (w *simulation) start(i int) {
	g := w.gateways[i]
	g.ledger, g.incarnation, g.links = New(w.allowance, DefaultShares()), g.incarnation+1, map[string]*link{}
	g.startsAt = w.now
	var names []string
	for j, other := range w.gateways {
		if j != i {
			names = append(names, other.name)
		}
	}
	g.ledger.SetMembers(names, heartbeat*5/4, w.now)
	g.ledger.Configure(w.workspaces, w.now)
}

func (g *process) up(now time.Time) bool { return !now.Before(g.startsAt) }

// kill ends a gateway's process. A new one starts after a delay.
func (w *simulation) kill(i int, down time.Duration) {
	w.start(i)
	w.gateways[i].startsAt = w.now.Add(down)
}

// run simulates a period. rates are the units requested per second of each workspace, spread
// evenly over the gateways, in requests of about the given size.
func (w *simulation) run(d time.Duration, rates []float64, size float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.deliver()
		for i, g := range w.gateways {
			if !g.up(w.now) {
				continue
			}
			for s, rate := range rates {
				w.generateRequests(g, w.workspaces[s], rate/float64(len(w.gateways)), size)
			}
			w.send(i)
		}
	}
}

// generateRequests makes requests at random in one time step. One request in 20 does not run and
// is refunded.
func (w *simulation) generateRequests(g *process, ws *workspace.Workspace, rate, size float64) {
	expected := rate * step.Seconds() / size
	for n := expected; n > 0; n-- {
		if w.rng.Float64() >= min(1, n) {
			continue
		}
		cost := float64(int(size * (0.5 + w.rng.Float64())))
		w.requested += cost
		if g.ledger.Admit(ws, cost, w.now) != nil {
			w.refused += cost
			continue
		}
		if w.rng.IntN(20) == 0 {
			g.ledger.Refund(ws, cost, w.now)
			continue
		}
		w.admitted = append(w.admitted, admittedRequest{w.now, ws.Name, cost})
	}
}

// send sends the datagrams of a gateway that are due.
func (w *simulation) send(i int) {
	g := w.gateways[i]
	for j, other := range w.gateways {
		if i == j {
			continue
		}
		l := g.link(other.name)
		due := g.ledger.Revision() != l.sentRevision && (w.now.Sub(l.lastSent) >= reportInterval || g.ledger.RunningLow(l.sentRevision))
		if !l.sendFull && !l.needFull && !due && w.now.Sub(l.lastSent) < heartbeat {
			continue
		}
		if l.sendFull {
			l.sentRevision = 0
		}
		m := datagram{from: i, to: j, incarnation: g.incarnation, full: l.sendFull, requestFull: l.needFull, settled: g.ledger.Settled(w.now), at: w.now.Add(w.delay)}
		m.spending, l.sentRevision = g.ledger.SpendingSince(l.sentRevision, 1000)
		if len(m.spending) > 0 {
			w.sentBytes += datagramOverhead + entryBytes*len(m.spending)
			w.sentEntries += len(m.spending)
		}
		l.sentSequence++
		m.sequence, l.lastSent, l.sendFull = l.sentSequence, w.now, false
		if w.partition[i] == w.partition[j] && w.rng.Float64() >= w.loss {
			w.inFlight = append(w.inFlight, m)
		}
	}
}

func (g *process) link(name string) *link {
	if g.links[name] == nil {
		g.links[name] = &link{sendFull: true}
	}
	return g.links[name]
}

func (w *simulation) deliver() {
	var pending []datagram
	for _, m := range w.inFlight {
		if m.at.After(w.now) {
			pending = append(pending, m)
			continue
		}
		if to := w.gateways[m.to]; to.up(w.now) && w.gateways[m.from].incarnation == m.incarnation {
			to.receive(w.gateways[m.from].name, m, w.now)
		}
	}
	w.inFlight = pending
}

func (g *process) receive(from string, m datagram, now time.Time) {
	l := g.link(from)
	lost := m.incarnation != l.incarnation || m.sequence != l.seenSequence+1
	l.needFull = !m.full && (l.needFull || lost)
	l.sendFull = l.sendFull || m.requestFull || m.incarnation != l.incarnation
	l.incarnation, l.seenSequence = m.incarnation, m.sequence
	if !l.needFull {
		g.ledger.ReceiveSpending(from, m.incarnation, m.spending, m.full, m.settled, now)
	}
}

// maxUsage returns the most units that a workspace used in any window, and how many are allowed.
func (w *simulation) maxUsage(ws *workspace.Workspace) (used, allowed float64) {
	l := ws.Limit
	allowed = l.Rate*w.allowance.Window.Seconds() + l.Burst + w.allowance.excess(l)
	sum, first := 0.0, 0
	for _, r := range w.admitted {
		if r.workspace != ws.Name {
			continue
		}
		sum += r.cost
		for ; first < len(w.admitted) && w.admitted[first].at.Add(w.allowance.Window).Before(r.at); first++ {
			if w.admitted[first].workspace == ws.Name {
				sum -= w.admitted[first].cost
			}
		}
		used = max(used, sum)
	}
	return used, allowed
}
