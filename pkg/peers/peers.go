// Package peers exchanges engine reservations between gateways, so that each gateway takes the
// reservations of all gateways into account when it chooses engines. It also exchanges stage
// changes, changes of the store, the spending of workspaces, runners' rate limits, outcomes and
// notices, reports of requests and of parts of prompts that crash runners, and the software versions at which streams began.
// It sends small datagrams: changes at once to the gateways that use the same engines, the full
// state to a gateway that lacks data, and heartbeats. A gateway receives the addresses of the others
// from the store and from datagrams. No consensus is needed.
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
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// batchDelay is the time for which changes of reservations and rate limits are batched before
	// they are sent. A reservation and the prefill that follows it are some 5 ms apart.
	batchDelay = 10 * time.Millisecond
	// sendInterval is the time between two checks for gateways that are due a datagram.
	sendInterval = 60 * time.Millisecond
	// minHeartbeat is the minimum time between two datagrams to a gateway without changes.
	// The interval is also at least heartbeatPerGateway times the number of members, so
	// that a gateway sends at most 33 heartbeats a second, some 1.5 KB.
	minHeartbeat        = 300 * time.Millisecond
	heartbeatPerGateway = 30 * time.Millisecond
	// waitingPerGateway times the number of members is the least time between two datagrams that
	// jobs began or ceased to wait: at most 50 datagrams a second, some 2.5 KB.
	waitingPerGateway = 20 * time.Millisecond
	// limitedHeartbeatPerGateway replaces heartbeatPerGateway when workspaces have limits: the
	// unused share of a quota may be spent by others only while datagrams arrive from its gateway,
	// so that datagrams of most gateways must arrive at short intervals.
	limitedHeartbeatPerGateway = 10 * time.Millisecond
	// A gateway counts as alive for aliveHeartbeats heartbeat intervals after its last
	// datagram, and for minAliveTime at least, because some datagrams are lost.
	aliveHeartbeats = 5
	minAliveTime    = 1500 * time.Millisecond
	// minFullInterval is the minimum time between two datagrams with the full state to a
	// gateway that lacks no data. The full state corrects the estimated load of responses,
	// which drifts apart between gateways. The interval is also at least heartbeatPerGateway
	// times the number of members, so that more than a hundred gateways cause no higher rate
	// of these datagrams than a hundred do.
	minFullInterval = 3 * time.Second
	// MemberTTL is how long a silent gateway stays in the membership list and is sent
	// datagrams.
	MemberTTL = 60 * time.Second
	// maxDatagram is the maximum size of a datagram, in bytes.
	maxDatagram = 16 << 10
	// peersPerDatagram is the number of other gateways named in a datagram with the full state.
	peersPerDatagram = 4
	// outcomesEvery is the number of send intervals between two reports of runners' outcomes.
	outcomesEvery = 4
	// maxOutcomes bounds the runners in one report, some 20 bytes each. With more than
	// subset.GatewaysPerEngine gateways, a report goes to fewer gateways the more there are, but to
	// minReceivers at least. So each gateway receives the same number of reports a second
	// whatever the number of gateways.
	maxOutcomes  = 32
	minReceivers = 4
)

// Changes of another gateway's state, passed to Options.Changed.
const (
	Alive  = "alive"
	Silent = "silent"
)

// Options are an exchange's settings.
type Options struct {
	// Name and Address are this gateway's; Address is IP:PORT.
	Name, Address string
	Conn          net.PacketConn
	// Snapshots returns the reservations of this gateway that changed after the given
	// revisions, by service, and the revisions reached. For nil it returns all reservations.
	// It may take any lock: Run calls it without one.
	Snapshots func(since map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64)
	// ReceiveSnapshot records another gateway's reservations for a service. It fails if they exceed a bound.
	ReceiveSnapshot func(gateway, service string, snapshot enginepool.Snapshot) error
	// Domain is this gateway's failure domain. Outcomes returns the outcomes at
	// runners that fail requests, ReceiveOutcomes records those of another gateway.
	Domain          string
	Outcomes        func() []runners.Outcome
	ReceiveOutcomes func(gateway string, sameDomain bool, outcomes []runners.Outcome)
	// ReceiveStageChanges records the engines that another gateway ordered to change to
	// another stage.
	ReceiveStageChanges func(changes []runners.StageChange)
	// ReceiveSuspicion records another gateway's report of a request whose calls to runners
	// broke off.
	ReceiveSuspicion func(r quarantine.Report)
	// ReceivePartEvidence records what another gateway knows of parts of prompts that may crash runners;
	// nil if it is not exchanged.
	ReceivePartEvidence func(e quarantine.Evidence)
	// ReceiveOrigins records the origins of streams that another gateway announced, OriginOf returns
	// this gateway's reply to a question about a stream, and ReceiveOriginReply records the reply of
	// another gateway. All are nil if origins are not exchanged.
	ReceiveOrigins     func(gateway string, list []resume.Origin)
	OriginOf           func(k resume.Key, service string) resume.Reply
	ReceiveOriginReply func(gateway string, r resume.Reply)
	// Lag returns the share of time by which this gateway runs late; nil if it is not measured.
	Lag func() float64
	// Store is this gateway's copy of the store, Pace the timing of the relays that keep it up
	// to date. The zero value of Pace is the timing for the shortest bound.
	Store StoreFeed
	Pace  relay.Pace
	// Quota counts what workspaces spend at all gateways; nil if there are no quotas.
	Quota *quota.Ledger
	// Limits are the rate limits that runners announce for all gateways together; nil if they are
	// not exchanged.
	Limits *runnerlimit.Table
	// Notices are the notices of runners; nil if they are not exchanged.
	Notices *notice.Table
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Changed is called when a gateway becomes Alive or Silent, with the number of other
	// gateways in the membership list.
	Changed func(name, what string, known int)
	// Failed is called for addresses that can't be resolved, and for datagrams that can't be
	// sent or received.
	Failed func(err error)
}

// ErrAddress reports that the address of a gateway can't be resolved.
type ErrAddress struct {
	Gateway, Address string
	Err              error
}

// Error implements error.
func (e *ErrAddress) Error() string {
	return fmt.Sprintf("invalid gateway address: gateway=%s address=%q cause=%v", e.Gateway, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrAddress) Unwrap() error { return e.Err }

// ErrDatagram reports that a datagram can't be sent, received or decoded. Err is *memory.ErrTooLarge if
// it is larger than maxDatagram.
type ErrDatagram struct {
	Gateway string
	Bytes   int
	Err     error
}

// Error implements error.
func (e *ErrDatagram) Error() string {
	return fmt.Sprintf("datagram could not be sent, received or decoded: gateway=%s bytes=%d cause=%v", e.Gateway, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *ErrDatagram) Unwrap() error { return e.Err }

// Exchange sends this gateway's state to the other gateways and receives theirs. It is safe for
// concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64
	// changed holds a value when there are changes to send at once.
	changed chan struct{}
	subset  atomic.Pointer[subset.Subset]
	// names holds the sorted names of the members. The list is replaced, never modified.
	names              atomic.Pointer[[]string]
	sending, receiving loop

	mu      sync.Mutex
	members map[string]*member
	// memberships counts the additions to and removals from the membership list.
	// quotaMemberships is its value when the quota was last passed the members, quotaGrace
	// the grace that was passed with them.
	memberships, quotaMemberships uint64
	quotaGrace                    time.Duration
	// limitMemberships is the value of memberships when the table of runners' rate limits was
	// last passed the members.
	limitMemberships uint64
	// byName is the members sorted by name when memberships was byNameAt. aliveNames is the names
	// of the live gateways including this one, nil if it must be rebuilt. defaultRelay says that
	// this gateway is among the first of them, which watch the store even without subscribers.
	// relaysChosenAt is when this gateway last chose its relays. All are cached since each send
	// interval would otherwise sort all gateways several times: 4 ms with 300 gateways.
	byName         []*member
	byNameAt       uint64
	aliveNames     []string
	defaultRelay   bool
	relaysChosenAt time.Time
	// sentRevisions is the revisions up to which changes were sent, by service.
	sentRevisions map[string]uint64
	// waitingSent is when the gateways were last sent that jobs began or ceased to wait, and
	// waitingLeft holds the services for which that was left out.
	waitingSent time.Time
	waitingLeft map[string]bool
	intervals   uint64
	// sources are the relays of this gateway. subscribers are the gateways that it relays
	// changes of the store to, and relayAllowance bounds the bytes that it sends them.
	sources        *relay.Sources
	subscribers    *relay.Subscribers
	relayAllowance allowance
	clock          stampClock
	outbox         outbox
	// nextReceiver, modulo the number of members, is the member that outcomes are sent to next.
	nextReceiver int
}

// New returns an exchange with an empty membership list.
func New(o Options) *Exchange {
	x := &Exchange{options: o, incarnation: uint64(time.Now().UnixNano()), members: map[string]*member{}, changed: make(chan struct{}, 1), sentRevisions: map[string]uint64{}, waitingLeft: map[string]bool{}}
	if o.Pace == (relay.Pace{}) {
		o.Pace = relay.PaceFor(relay.ShortestBound)
		x.options.Pace = o.Pace
	}
	x.outbox = outbox{pending: map[string]*wirepb.GatewayState{}, ready: make(chan struct{}, 1)}
	x.sources, x.clock = relay.NewSources(o.Name, o.Pace), newStampClock()
	x.subscribers = relay.NewSubscribers(o.Pace)
	x.names.Store(&[]string{})
	x.updateSubset()
	return x
}

// Notify triggers the sending of changed reservations. It never blocks.
func (x *Exchange) Notify() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives datagrams until the context ends, then closes the connection.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.options.Conn.Close() })
	defer stop()
	var reading sync.WaitGroup
	reading.Go(func() { x.read(ctx) })
	defer reading.Wait()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	var due, outboxDue <-chan time.Time
	var outboxSent time.Time
	for {
		x.sending.step()
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
		case <-x.outbox.ready:
			if outboxDue == nil {
				outboxDue = time.After(outboxInterval - time.Since(outboxSent))
			}
		case outboxSent = <-outboxDue:
			outboxDue = nil
			x.sendOutbox(outboxSent)
		case now := <-tick.C:
			x.sendDue(now)
			x.subscribe(now)
			x.SendStoreUpdates(now)
			x.sweep(now)
		}
	}
}
