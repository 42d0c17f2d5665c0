package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/platform"
)

// DocumentKey is the key of the configuration document in the key-value service.
const DocumentKey = "hopwell/config"

// Timeouts, intervals and fan-out of the distribution. A watch of 20 s in each of
// 1,150 processes costs the key-value service 58 reads per second.
const (
	watchTimeout     = 20 * time.Second
	watchRetry       = time.Second
	watchRetryMax    = 8 * time.Second
	exchangeInterval = time.Second
	callTimeout      = 700 * time.Millisecond
	fanOut           = 3
	bootstrapPeers   = 5
)

// Peers sends calls to the other processes of the fleet.
type Peers interface {
	// Addresses returns the inner addresses of all other known processes.
	Addresses() []string
	// Exchange sends our digest to a peer, and our document unless it is nil. It
	// returns the peer's digest, and the peer's document if that is newer.
	Exchange(ctx context.Context, address string, mine Digest, document []byte) (Digest, []byte, error)
}

// Agent keeps the document of a Keeper up to date.
type Agent struct {
	keeper *Keeper
	kv     platform.KV
	peers  Peers
	log    *logs.Logger

	mu  sync.Mutex
	rng *rand.Rand
}

// NewAgent returns an agent that updates the keeper from the key-value service
// and from peers. The seed is for the random choice of peers and the jitter.
func NewAgent(k *Keeper, kv platform.KV, peers Peers, seed uint64) *Agent {
	return &Agent{keeper: k, kv: kv, peers: peers, log: logs.For(logs.LayerFleet), rng: rand.New(rand.NewPCG(seed, 0))}
}

// Run runs the agent until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.watch(ctx) })
	wg.Go(func() { a.pushChanges(ctx) })
	wg.Go(func() { a.exchangePeriodically(ctx) })
	wg.Wait()
}

// watch watches the document in the key-value service, with exponential backoff
// during an outage. A long backoff does not delay changes much, since the first
// process that reaches the service again pushes a new document to its peers.
func (a *Agent) watch(ctx context.Context) {
	var version uint64
	retry := watchRetry
	for ctx.Err() == nil {
		v, err := a.kv.Watch(ctx, DocumentKey, version, watchTimeout)
		if err != nil {
			a.sleep(ctx, retry)
			retry = min(2*retry, watchRetryMax)
			continue
		}
		version, retry = v.Version, watchRetry
		a.offer(v.Data)
	}
}

// offer offers a document to the keeper. Unless the offer fails, it then records the
// time as that of the last comparison.
func (a *Agent) offer(data []byte) {
	if _, err := a.keeper.Offer(data); err != nil {
		a.log.Warn("document refused", err)
		return
	}
	a.keeper.Confirm(time.Now())
}

// sleep waits for d with a jitter of ±25 %, or until the context ends.
func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	a.mu.Lock()
	jitter := time.Duration(a.rng.Int64N(int64(d) / 2))
	a.mu.Unlock()
	select {
	case <-time.After(3*d/4 + jitter):
	case <-ctx.Done():
	}
}

// pushChanges pushes each newly adopted document to fanOut peers at once.
func (a *Agent) pushChanges(ctx context.Context) {
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

// Push calls Exchange for up to n random peers concurrently and returns the number
// of successful exchanges.
func (a *Agent) Push(ctx context.Context, n int) int {
	targets := a.randomPeers(n)
	done := make(chan bool, len(targets))
	for _, address := range targets {
		go func() { done <- a.Exchange(ctx, address) == nil }()
	}
	succeeded := 0
	for range targets {
		if <-done {
			succeeded++
		}
	}
	return succeeded
}

// exchangePeriodically exchanges with one random peer about every
// exchangeInterval. Until the process has a document, it exchanges with
// bootstrapPeers peers four times as often. A process that starts during an outage
// thus gets the newest document of the peers that it reached.
func (a *Agent) exchangePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if _, hasDocument := a.keeper.Digest(); !hasDocument {
			n = bootstrapPeers
		}
		a.Push(ctx, n)
		if _, hasDocument := a.keeper.Digest(); !hasDocument {
			a.sleep(ctx, exchangeInterval/4)
			continue
		}
		a.sleep(ctx, exchangeInterval)
	}
}

func (a *Agent) randomPeers(n int) []string {
	all := append([]string(nil), a.peers.Addresses()...)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// Exchange compares revisions with one peer. The side with the older document
// receives the newer one. It makes up to two calls to the peer: the first sends our
// digest, the second sends our document if that is newer.
func (a *Agent) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	mine, _ := a.keeper.Digest()
	theirs, document, err := a.peers.Exchange(ctx, address, mine, nil)
	if err != nil {
		return err
	}
	if document != nil {
		a.offer(document)
		return nil
	}
	a.keeper.Confirm(time.Now())
	if mine.Revision <= theirs.Revision {
		return nil
	}
	_, _, err = a.peers.Exchange(ctx, address, mine, a.keeper.Encoded())
	return err
}

// Answer handles an Exchange that a peer started: it offers the peer's document to
// the keeper and returns our document if the peer's is older.
func (a *Agent) Answer(theirs Digest, document []byte) (Digest, []byte) {
	if document != nil {
		a.offer(document)
	}
	mine, hasDocument := a.keeper.Digest()
	if hasDocument && mine.Revision > theirs.Revision {
		return mine, a.keeper.Encoded()
	}
	if hasDocument && mine == theirs {
		a.keeper.Confirm(time.Now())
	}
	return mine, nil
}
