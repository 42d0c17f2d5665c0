package process

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// gatewayPrefix is the prefix of the keys under which gateways publish their addresses.
	gatewayPrefix = "hopwell/gateways/"
	// announceTTL is the lease of such a key. It equals the time for which other gateways keep
	// sending datagrams to a silent gateway. A process that starts before the lease expires also
	// sends datagrams to the stopped gateway, in vain.
	announceTTL = peers.MemberTTL
	// announceInterval is the interval between renewals of the lease: two renewals may fail before
	// the lease expires. At a third of this interval, 356 gateways sent 60 renewals a second in
	// total.
	announceInterval = 18 * time.Second
	// announceRetryDelay is the delay after the first failed attempt. It doubles with each further
	// failure, up to announceInterval. A longer delay does no harm, since running gateways already
	// have each other's addresses.
	announceRetryDelay = time.Second
	// deregisterTimeout bounds the call that removes the address when the process stops.
	deregisterTimeout = 100 * time.Millisecond
	// announceTimeout bounds one call that writes a key with a lease, or renews the lease.
	announceTimeout = 1500 * time.Millisecond
)

// reannouncePerGateway is the time that each gateway adds to the interval over which all gateways write
// their addresses again after a restore of the store, with two calls each.
const reannouncePerGateway = 10 * time.Millisecond

// announce keeps this gateway's address in the store until the context ends. Gateways that start
// later read it there, and running gateways receive it as a change of the store. It writes the
// address again after a restore of the store.
func (p *Ingress) announce(ctx context.Context) {
	var lease store.LeaseID
	retry := announceRetryDelay
	for ctx.Err() == nil {
		var err error
		if lease.None() {
			lease, err = p.register(ctx)
		} else {
			err = p.renew(ctx, lease)
		}
		delay := announceInterval
		var expired *store.ErrNoLease
		switch {
		case err == nil:
			retry = announceRetryDelay
		case errors.As(err, &expired):
			lease, delay = store.LeaseID{}, announceRetryDelay
		default:
			delay, retry = retry, min(2*retry, announceInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-p.reannounce:
			lease = store.LeaseID{}
			sleep(ctx, jitter(time.Duration(p.peers.MemberCount()+1)*reannouncePerGateway))
		}
	}
	p.deregister(lease)
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// rewriteStoreEntries schedules everything that this process wrote to the store to be written again.
func (p *Ingress) rewriteStoreEntries() {
	p.suspects.Republish(time.Now())
	p.parts.Republish(time.Now())
	select {
	case p.reannounce <- struct{}{}:
	default:
	}
}

// register writes this gateway's address to the store. Running gateways receive it as a change of
// the store, and this process reads their addresses with the rest of the store.
func (p *Ingress) register(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	key := gatewayPrefix + p.settings.Load().Instance.Name
	written, err := store.PutLeased(ctx, p.feed.currentStore(), announceTTL, store.Change{Put: []store.Put{{Key: key, Value: []byte(p.ports.Peers)}}})
	return written.Lease, err
}

// addPeer adds the address of another gateway.
func (p *Ingress) addPeer(name, address string) {
	err := platform.CheckAddress(address)
	if err == nil {
		err = p.peers.Add(name, address)
	}
	if err != nil {
		p.log.Write(decisionlog.KindProcess, "gateway_refused", decisionlog.F("gateway", name), decisionlog.F("error", err))
	}
}

func (p *Ingress) renew(ctx context.Context, lease store.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return p.feed.currentStore().Renew(ctx, lease)
}

// deregister ends the lease of the address, which removes the address from the store.
func (p *Ingress) deregister(lease store.LeaseID) {
	if lease.None() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_ = p.feed.currentStore().End(ctx, lease)
}
