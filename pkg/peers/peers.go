// Package peers exchanges between gateways what they have reserved on the engines, so
// that all of them choose as one would. It sends small datagrams: what changed at
// once to those that use the same engines, everything to one that lacks something, and
// heartbeats. The other gateways' addresses come from the store once and from the
// datagrams after that; nothing is agreed on.
package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/subset"
)

const (
	// batchDelay is how long changes are let come together before they are sent. A
	// reservation and the prefill that follows it are some 5 ms apart.
	batchDelay = 10 * time.Millisecond
	// sendInterval is the time between two looks at who is due a datagram.
	sendInterval = 60 * time.Millisecond
	// minHeartbeat is the least time between two datagrams to a gateway without
	// news; heartbeatShare is what each gateway adds to it: 33 heartbeats a second
	// go out from each gateway at most, some 1.5 KB.
	minHeartbeat        = 300 * time.Millisecond
	heartbeatPerGateway = 30 * time.Millisecond
	// limitedHeartbeatPerGateway takes its place where workspaces have limits: what belongs to a gateway
	// that is not heard of is not spent by others, so that most must be heard of soon.
	limitedHeartbeatPerGateway = 10 * time.Millisecond
	// A gateway counts as alive for aliveHeartbeats heartbeats after its last
	// datagram, leastAlive at least: datagrams are lost now and then.
	aliveHeartbeats = 5
	minAliveTime    = 1500 * time.Millisecond
	// minFullInterval is the time between two datagrams with everything to one gateway: estimates
	// of what answers take drift apart. Each gateway adds heartbeatShare to it, so that
	// of many no more come than of a hundred.
	minFullInterval = 3 * time.Second
	// RememberFor is how long a silent peer is kept and sent to.
	RememberFor = 60 * time.Second
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// peersPerDatagram is how many others a datagram with everything names.
	peersPerDatagram = 4
	// outcomesEvery is how many periods pass between reports of runners' outcomes.
	outcomesEvery = 4
	// maxOutcomes bounds the runners that one report names, some 20 bytes each. Of more
	// than subset.Users gateways each report goes to fewer the more there are, to
	// leastReceivers at least: each gets as many reports a second whatever their number.
	maxOutcomes  = 32
	minReceivers = 4
)

// What happens to another gateway.
const (
	Alive  = "alive"
	Silent = "silent"
)

// Options are an exchange's settings.
type Options struct {
	// Name and Address are this gateway's; Address is IP:PORT.
	Name, Address string
	Conn          net.PacketConn
	// Snapshots returns what changed in this gateway's reservations after the given
	// revisions, by service, and the revisions reached; everything for nil.
	Snapshots func(since map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64)
	// ReceiveSnapshot takes another gateway's reservations for a service.
	ReceiveSnapshot func(gateway, service string, snapshot enginepool.Snapshot)
	// Domain is this gateway's failure domain. Outcomes returns the outcomes at
	// runners that fail requests, ReceiveOutcomes takes those of another gateway.
	Domain          string
	Outcomes        func() []runners.Outcome
	ReceiveOutcomes func(gateway string, sameDomain bool, outcomes []runners.Outcome)
	// ReceiveStageChanges takes the engines that another gateway ordered to another
	// stage.
	ReceiveStageChanges func(changes []runners.StageChange)
	// ReceiveSuspicion takes what another gateway reported of a request whose runs broke
	// off.
	ReceiveSuspicion func(r quarantine.Report)
	// Store is what this gateway knows of the store, Pace how closely it is watched; the zero
	// value is that of the shortest bound.
	Store StoreFeed
	Pace  relay.Pace
	// Quota counts what workspaces spend at all gateways; nil for nobody.
	Quota *quota.Ledger
	// Limits are those that runners name for all gateways; nil for nobody.
	Limits *runnerlimit.Table
	// Notices are what runners said of themselves; nil for nothing.
	Notices *notice.Table
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Changed is called when a gateway becomes Alive or Silent.
	Changed func(name, what string, known int)
	// Failed is called for datagrams that can't be sent or read.
	Failed func(err error)
}

// ErrAddress reports that a gateway's address can't be used.
type ErrAddress struct {
	Gateway, Address string
	Err              error
}

// Error implements error.
func (e *ErrAddress) Error() string {
	return fmt.Sprintf("bad address of a gateway: gateway=%s address=%q cause=%v", e.Gateway, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrAddress) Unwrap() error { return e.Err }

// ErrDatagram reports that a datagram can't be sent or read.
type ErrDatagram struct {
	Gateway string
	Bytes   int
	Err     error
}

// Error implements error.
func (e *ErrDatagram) Error() string {
	return fmt.Sprintf("bad datagram: gateway=%s bytes=%d cause=%v", e.Gateway, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *ErrDatagram) Unwrap() error { return e.Err }

// Exchange sends and receives reports. It is safe for concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64
	// changed holds a value when there is something to send at once.
	changed chan struct{}
	subset  atomic.Pointer[subset.Subset]

	mu      sync.Mutex
	members map[string]*member
	// memberships counts how often a gateway was added or dropped, quotaMemberships up to which
	// of these the quota knows, toldGrace how long it was told to take others to be there.
	memberships, quotaMemberships uint64
	quotaGrace                    time.Duration
	// limitMemberships is up to which membership the runners' limits know.
	limitMemberships uint64
	// byName is the members by name at byNameAt memberships; alive the names of the living
	// ones with the own one, nil if they must be listed anew, first whether the own one is
	// among the first of these, chosen when relays were chosen last. Each is kept since a
	// period would else sort all gateways several times: 4 ms at 300 of them.
	byName         []*member
	byNameAt       uint64
	aliveNames     []string
	defaultRelay   bool
	relaysChosenAt time.Time
	// sentRevisions is the revisions up to which changes were sent, by service.
	sentRevisions map[string]uint64
	periods       uint64
	// sources are the relays of this gateway; subscribers are those that it is a relay
	// for, relayed is what it may send them.
	sources        *relay.Sources
	subscribers    *relay.Subscribers
	relayAllowance allowance
	clock          stampClock
	// nextReceiver counts the gateways that outcomes were sent to, in nextReceiver.
	nextReceiver int
}

// New returns an exchange that knows nobody.
func New(o Options) *Exchange {
	x := &Exchange{options: o, incarnation: uint64(time.Now().UnixNano()), members: map[string]*member{}, changed: make(chan struct{}, 1), sentRevisions: map[string]uint64{}}
	if o.Pace == (relay.Pace{}) {
		o.Pace = relay.PaceFor(relay.ShortestBound)
		x.options.Pace = o.Pace
	}
	x.sources, x.clock = relay.NewSources(o.Name, o.Pace), newStampClock()
	x.subscribers = relay.NewSubscribers(o.Pace)
	x.updateSubset()
	return x
}

// Notify says that reservations changed. It never waits.
func (x *Exchange) Notify() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.options.Conn.Close() })
	defer stop()
	var reading sync.WaitGroup
	reading.Go(func() { x.read(ctx) })
	defer reading.Wait()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.changed:
			if due == nil {
				due = time.After(batchDelay)
			}
		case <-due:
			due = nil
			x.sendChanges(time.Now())
		case now := <-tick.C:
			x.sendDue(now)
			x.subscribe(now)
			x.SendStoreUpdates(now)
			x.sweep(now)
		}
	}
}
