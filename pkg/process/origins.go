package process

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// mixedPrefix is the prefix of the keys of services whose streams may have several software
	// versions. They are in the store so that a gateway that starts knows of versions that served
	// before, also after all gateways were lost.
	mixedPrefix = "hopwell/mixed/"
	// mixedInterval is the interval between checks for such services, and the time by which each
	// gateway waits longer than the one before it by name: one write suffices.
	mixedInterval = 300 * time.Millisecond
	// maxMixedTurn bounds the number of intervals that a gateway waits for others to write.
	maxMixedTurn = 10
	// mixedLeases is the lease of such a key, as a multiple of the time for which origins are kept.
	mixedLeases = 2
)

// originExchange sends origins to other gateways. It implements ingress.OriginExchange. The exchange
// of the process does not exist yet when the Ingress is made.
type originExchange struct{ p *Ingress }

func (o originExchange) AnnounceOrigins(list []resume.Origin) { o.p.peers.AnnounceOrigins(list) }

func (o originExchange) AskOrigin(k resume.Key, service string) (asked, keepers int) {
	return o.p.peers.AskOrigin(k, service)
}

// origins returns how gateways share the software versions at which streams began.
func (p *Ingress) origins() ingress.Origins {
	return ingress.Origins{Exchange: originExchange{p}, Refresh: func(ctx context.Context) bool { return p.feed.refresh(ctx) }}
}

// observeVersion records the software version of a runner that changed. A runner that restarted under
// its name may have had the new version before its entry showed it.
func (f *feed) observeVersion(c runners.Change) {
	f.ingress.ObserveVersion(&c.Runner)
	f.restartedMu.Lock()
	before, restarted := f.restarted[c.Runner.Name]
	delete(f.restarted, c.Runner.Name)
	if c.What == runners.Replaced {
		f.restarted[c.Runner.Name] = c.Runner
	}
	f.restartedMu.Unlock()
	if restarted && before.Version != c.Runner.Version {
		f.ingress.DoubtOrigins(&before)
	}
}

// publishMixed writes to the store which services have streams of several software versions, until the
// context ends.
func (p *Ingress) publishMixed(ctx context.Context) {
	tick := time.NewTicker(mixedInterval)
	defer tick.Stop()
	waited := map[string]int{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, service := range p.unpublishedMixed(now) {
				if waited[service]++; waited[service] > min(p.peers.Rank(), maxMixedTurn) {
					waited[service] = 0
					p.writeMixed(ctx, service)
				}
			}
		}
	}
}

// unpublishedMixed returns the services that this gateway has observed at several software versions and
// that the store does not show as such.
func (p *Ingress) unpublishedMixed(now time.Time) []string {
	table := p.Ingress.Table()
	if table == nil {
		return nil
	}
	var out []string
	for name := range table.Config.Services {
		if len(p.Ingress.Versions().Recent(name, now)) > 1 && !p.feed.storeCopy.has(mixedPrefix+name) {
			out = append(out, name)
		}
	}
	return out
}

// writeMixed writes the key of one service. A failed call is repeated, since the key stays missing.
func (p *Ingress) writeMixed(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	ttl := mixedLeases * p.Ingress.Versions().Lifetime(service)
	first, err := p.putIfAbsent(ctx, mixedPrefix+service, p.settings.Load().Instance.Name, ttl)
	p.log.Write(decisionlog.KindState, "software_versions_written", decisionlog.F("service", service), decisionlog.F("for", ttl),
		decisionlog.F("first", first), decisionlog.F("error", err))
}
