package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/platform"
)

// DocumentKey is the key of the configuration document.
const DocumentKey = "hopwell/config"

// Times and numbers of the spread. At 1,150 processes a watch of 20 s costs the
// key-value service 58 reads a second.
const (
	watchTime     = 20 * time.Second
	watchRetry    = time.Second
	watchRetryMax = 8 * time.Second
	exchangeEvery = time.Second
	callTime      = 700 * time.Millisecond
	fanOut        = 3
	startPeers    = 5
)

// Peers reaches other processes of the fleet.
type Peers interface {
	// Addresses returns the inner addresses of all other known processes.
	Addresses() []string
	// Exchange tells a peer our digest, with the document when it is wanted
	// there, and returns the peer's digest, with its document if that is newer.
	Exchange(ctx context.Context, address string, mine Digest, document []byte) (Digest, []byte, error)
}

// Agent keeps a Keeper up to date.
type Agent struct {
	keeper *Keeper
	kv     platform.KV
	peers  Peers
	log    *logs.Logger

	mu  sync.Mutex
	rng *rand.Rand
}

// NewAgent joins a keeper to the key-value service and to peers. The seed
// decides which peers are asked.
func NewAgent(k *Keeper, kv platform.KV, peers Peers, seed uint64) *Agent {
	return &Agent{keeper: k, kv: kv, peers: peers, log: logs.For(logs.LayerFleet), rng: rand.New(rand.NewPCG(seed, 0))}
}

// Run works until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.watch(ctx) })
	wg.Go(func() { a.spread(ctx) })
	wg.Go(func() { a.compare(ctx) })
	wg.Wait()
}

// watch follows the key-value service. In an outage it asks ever less often:
// whoever finds the service back first tells the others.
func (a *Agent) watch(ctx context.Context) {
	var version uint64
	retry := watchRetry
	for ctx.Err() == nil {
		v, err := a.kv.Watch(ctx, DocumentKey, version, watchTime)
		if err != nil {
			a.pause(ctx, retry)
			retry = min(2*retry, watchRetryMax)
			continue
		}
		version, retry = v.Version, watchRetry
		a.take(v.Data)
	}
}

// take offers a document and records the comparison.
func (a *Agent) take(data []byte) {
	if _, err := a.keeper.Offer(data); err != nil {
		a.log.Warn("document refused", err)
		return
	}
	a.keeper.Confirm(time.Now())
}

// pause waits for about d.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	a.mu.Lock()
	jitter := time.Duration(a.rng.Int64N(int64(d) / 2))
	a.mu.Unlock()
	select {
	case <-time.After(3*d/4 + jitter):
	case <-ctx.Done():
	}
}

// spread tells some peers at once about each new document.
func (a *Agent) spread(ctx context.Context) {
	for {
		changed := a.keeper.Changed()
		select {
		case <-changed:
			a.Push(ctx, fanOut)
		case <-ctx.Done():
			return
		}
	}
}

// Push exchanges with up to n random peers at the same time and returns how
// many answered.
func (a *Agent) Push(ctx context.Context, n int) int {
	targets := a.pick(n)
	done := make(chan bool, len(targets))
	for _, address := range targets {
		go func() { done <- a.Exchange(ctx, address) == nil }()
	}
	answered := 0
	for range targets {
		if <-done {
			answered++
		}
	}
	return answered
}

// compare exchanges with a random peer now and then. At the start it asks
// several, so that a process that begins in an outage learns the newest
// document that any of them has.
func (a *Agent) compare(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if _, known := a.keeper.Digest(); !known {
			n = startPeers
		}
		a.Push(ctx, n)
		if _, known := a.keeper.Digest(); !known {
			a.pause(ctx, exchangeEvery/4)
			continue
		}
		a.pause(ctx, exchangeEvery)
	}
}

func (a *Agent) pick(n int) []string {
	all := append([]string(nil), a.peers.Addresses()...)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// Exchange compares documents with one peer; whoever is behind gets the other's.
func (a *Agent) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	mine, _ := a.keeper.Digest()
	theirs, document, err := a.peers.Exchange(ctx, address, mine, nil)
	if err != nil {
		return err
	}
	if document != nil {
		a.take(document)
		return nil
	}
	a.keeper.Confirm(time.Now())
	if mine.Revision <= theirs.Revision {
		return nil
	}
	_, _, err = a.peers.Exchange(ctx, address, mine, a.keeper.Encoded())
	return err
}

// Answer is the other side of Exchange: it takes over what a peer sent and
// returns what the peer lacks.
func (a *Agent) Answer(theirs Digest, document []byte) (Digest, []byte) {
	if document != nil {
		a.take(document)
	}
	mine, known := a.keeper.Digest()
	if known && mine.Revision > theirs.Revision {
		return mine, a.keeper.Encoded()
	}
	if known && mine == theirs {
		a.keeper.Confirm(time.Now())
	}
	return mine, nil
}
