package process

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/progress"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// statePath is where a gateway serves its copy of the store. The query contains paramEras if
	// the client decodes revisions with an era. Older builds don't decode the era. If they loaded
	// such a revision, they would reject every later read of the store.
	statePath = "/state"
	paramEras = "eras"
	// stateReadTimeout bounds the time without data while a state is received, stateRetryInterval is
	// the time between two rounds of requests.
	stateReadTimeout   = 300 * time.Millisecond
	stateRetryInterval = 200 * time.Millisecond
	// maxPeersAsked is how many gateways are asked per round, besides the gateways that the
	// settings name (seeds): if all gateways start at once, none has a state, and each would ask
	// all others.
	maxPeersAsked = 4
	// maxStateTransfers is how many gateways may receive the state at a time: more would share this
	// gateway's link with its clients.
	maxStateTransfers = 2
	// stateWriteTimeout is how long a receiving gateway may read nothing, since its transfer keeps
	// others waiting.
	stateWriteTimeout = 3 * time.Second
	// maxStateHead bounds the head of the response with a state, in bytes.
	maxStateHead = 16 << 10
	// maxStateValues bounds the values in a state, counted by their commas. A state of a thousand runners
	// and as many gateways has some ten thousand.
	maxStateValues = 1 << 16
	// maxStateAge is the maximum age of a state. If 100 of 730 runners are replaced a day, some 0.7
	// of them are replaced in this time: it is then about as likely as not that a runner of the
	// state was removed.
	maxStateAge = 10 * time.Minute
)

// sharedState is a gateway's copy of the store, for gateways that start while the store does not
// respond.
type sharedState struct {
	// At is the store revision of the items, AgeMs how long the store has not responded, in
	// milliseconds, 0 while it does.
	At    store.Revision `json:"at"`
	AgeMs int64          `json:"age_ms"`
	Items []store.Item   `json:"items"`
	// Config is the configuration in force if the items do not hold it, as after a restore of the
	// store, and nil otherwise.
	Config *store.Item `json:"config,omitempty"`
	// Leaving are the incarnations of runners that announced their departure in responses.
	Leaving []string `json:"leaving,omitempty"`
	// AssuredUs is how many microseconds before the time of sending the store certainly had no
	// change after At; 0 if unknown.
	AssuredUs int64 `json:"assured_us,omitempty"`
	// confirmed is that time by the receiver's clock.
	confirmed time.Time
}

// ErrState reports that a gateway's state can't be used.
type ErrState struct {
	Address string
	Why     string
	Err     error
}

// Error implements error.
func (e *ErrState) Error() string {
	return fmt.Sprintf("no state from a gateway: address=%s why=%q cause=%v", e.Address, e.Why, e.Err)
}

// Unwrap returns the cause.
func (e *ErrState) Unwrap() error { return e.Err }

// serveState serves this gateway's copy of the store, to maxStateTransfers gateways at a time.
func (p *Ingress) serveState(w http.ResponseWriter, r *http.Request) {
	defer p.stateTransfers.Add(-1)
	if p.stateTransfers.Add(1) > maxStateTransfers || !p.feed.storeCopy.loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := httpd.Admit(r); err != nil {
		p.log.Write(decisionlog.KindProcess, "state_not_sent", decisionlog.F("error", err))
		return
	}
	s, _ := p.feed.storeCopy.export(time.Now())
	if s.At.Era() > 0 && !r.URL.Query().Has(paramEras) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Config = p.feed.newerConfig()
	s.Leaving = p.Ingress.Directory.Notices.Leaving(maxStateAge, time.Now())
	if confirmed := p.feed.history.Confirmed(); !confirmed.IsZero() {
		s.AssuredUs = boottime.Since(confirmed).Microseconds() + 1
	}
	if err := writeState(httpd.NewStallWriter(w, stateWriteTimeout), r, s); err != nil {
		p.log.Write(decisionlog.KindProcess, "state_not_sent", decisionlog.F("error", err))
	}
}

// writeState writes a state, compressed for clients that accept gzip. That reduces it to a tenth:
// gateways may have links on which the whole state takes a second.
func writeState(w http.ResponseWriter, r *http.Request, s sharedState) error {
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return json.NewEncoder(w).Encode(s)
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return err
	}
	return z.Close()
}

// fetchFromPeers fetches the state of other gateways while the store does not respond and the copy
// is empty. A later read of the store replaces it. If the store may have been restored shortly
// before, it fetches the configuration from gateways that have a newer one.
func (p *Ingress) fetchFromPeers(ctx context.Context) {
	client := stateClient()
	tick := time.NewTicker(stateRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			switch {
			case p.Ingress.Table() == nil:
				if p.feed.storeCopy.emptyAndUnreachable() {
					p.fetchStateFromPeers(ctx, client)
				}
			case !p.feed.mayBeStale(now):
				return
			case p.peers.NewestVersion() > p.Ingress.Version():
				p.fetchConfigFromPeers(ctx, client)
			}
		}
	}
}

// fetchConfigFromPeers fetches a newer configuration from another gateway.
func (p *Ingress) fetchConfigFromPeers(ctx context.Context, client *http.Client) {
	for _, address := range sample(p.peers.Addresses(), maxPeersAsked) {
		s, err := fetchState(ctx, client, address, p.memory.message)
		if err != nil {
			p.log.Write(decisionlog.KindProcess, "state_not_learned", decisionlog.F("error", err))
			continue
		}
		if p.feed.loadPeerConfig(s) {
			return
		}
	}
}

// stateClient returns the HTTP client for requests to other gateways.
func stateClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxStateHead, DisableKeepAlives: true}}
}

// fetchStateFromPeers fetches the state of the first gateway that has one. It asks those with the
// newest configuration, some others, and the seeds.
func (p *Ingress) fetchStateFromPeers(ctx context.Context, client *http.Client) {
	for _, address := range append(sample(p.peers.Addresses(), maxPeersAsked), p.seeds()...) {
		s, err := fetchState(ctx, client, address, p.memory.message)
		if err != nil {
			p.log.Write(decisionlog.KindProcess, "state_not_learned", decisionlog.F("error", err))
			continue
		}
		p.log.Write(decisionlog.KindState, "state_learned", decisionlog.F("gateway", address), decisionlog.F("at", s.At),
			decisionlog.F("age", time.Duration(s.AgeMs)*time.Millisecond), decisionlog.F("items", len(s.Items)))
		p.feed.loadPeerState(s)
		p.Ingress.Directory.Notices.Receive(address, s.Leaving, time.Now())
		return
	}
}

// sample returns n items of a list: the first half of them in order, the rest at random.
func sample(list []string, n int) []string {
	if len(list) <= n {
		return list
	}
	rest := list[n/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return list[:n]
}

// seeds returns the addresses of the gateways that the settings name: their hosts with this gateway's
// port, since all gateways listen on the same one.
func (p *Ingress) seeds() []string {
	_, port, err := net.SplitHostPort(p.ports.Peers)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range p.settings.Load().Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && net.JoinHostPort(host, port) != p.ports.Peers {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// decodeState decodes a state of at most limit bytes. It fails with *memory.ErrTooLarge beyond that, or if
// the state has too many values.
func decodeState(in io.Reader, limit int64, s *sharedState) error {
	data, err := memory.Read(in, "state of a gateway", limit, &memory.Usage{}, 0, 1)
	if err != nil {
		return err
	}
	if err := memory.CheckValues("state of a gateway", data, maxStateValues); err != nil {
		return err
	}
	return json.Unmarshal(data, s)
}

// fetchState requests the state of one gateway, which has at most limit bytes. A state older than
// maxStateAge is rejected.
func fetchState(ctx context.Context, client *http.Client, address string, limit int64) (sharedState, error) {
	var s sharedState
	ctx, cancel := progress.WithIdleTimeout(ctx, stateReadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath+"?"+paramEras, nil)
	if err != nil {
		return s, &ErrState{Address: address, Why: "bad address", Err: err}
	}
	sentAt := boottime.Now()
	res, err := client.Do(req)
	if err != nil {
		return s, &ErrState{Address: address, Why: "no response", Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, &ErrState{Address: address, Why: "it sent no state: " + res.Status}
	}
	if err := decodeState(progress.Reader(ctx, res.Body), limit, &s); err != nil {
		return s, &ErrState{Address: address, Why: "not readable", Err: err}
	}
	if s.AgeMs < 0 || s.AgeMs > maxStateAge.Milliseconds() {
		return s, &ErrState{Address: address, Why: fmt.Sprintf("age of %d ms, %s allowed", s.AgeMs, maxStateAge)}
	}
	if s.AssuredUs > 0 && s.AssuredUs <= maxStateAge.Microseconds() {
		s.confirmed = sentAt.Add(-time.Duration(s.AssuredUs) * time.Microsecond)
	}
	return s, nil
}
