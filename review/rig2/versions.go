package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

const (
	versionClients = 40
	versionEvents  = 40
	eventPause     = 100 * time.Millisecond
)

// versionStream is what one client has received of one stream, over its tries.
type versionStream struct {
	name   string
	origin string
	last   string
	events int
	// byVersion counts the events by the software version that wrote them.
	byVersion map[string]int
	whole     bool
}

// heartbeat is the time after which runners write their entries (heartbeatMs).
const heartbeat = 1200 * time.Millisecond

// cutTime is how long the gateway is cut off.
const cutTime = 5 * time.Second

// streamConfig returns a configuration with a resumable stream route to a service of engines.
func streamConfig() map[string]any {
	return operatorConfig(1, []any{route("fuzzy", "/fuzzy/", "stream", "llm", map[string]any{"resumable": true, "gapTargetMs": 300})},
		[]any{map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
			"slots": 64, "kvCapacity": 40000, "tokenKvBytes": 35136, "stride": 12, "kvHoldS": 0.5, "reconfigS": 1.0, "holdMs": 2000.0}}})
}

// addEngine starts an engine of a software version, and writes its entry.
func (r *rig) addEngine(id, stage, version string) *standin.Runner {
	e := standin.NewRunner(id, "llm", "zone-a", stage).SetVersion(version)
	e.Events, e.Pause, e.Memory, e.ChangeTime = versionEvents, eventPause, 40000, time.Second
	return r.Add(e)
}

// playVersions: during a release, one gateway is cut off from the store and from the other one; the other one is
// killed, and its clients go on at the first.
func playVersions(r *rig) bool {
	r.Configure(streamConfig())
	for i := range 2 {
		r.addEngine(fmt.Sprintf("p%d", i), "prefill", "v1")
	}
	for i := range 3 {
		r.addEngine(fmt.Sprintf("d%d", i), "decode", "v1")
	}
	lost := r.newGateway("front-zone-a-1", "zone-a", r.Address)
	cutOff := r.newGateway("front-zone-b-1", "zone-b", "")
	l := newLink(r.Address, cutOff.peers, lost.peers)
	cutOff.store = l.store
	r.start(lost)
	r.start(cutOff)
	r.awaitReady()
	time.Sleep(5 * time.Second)
	if r.trouble {
		l.cut.Store(true)
		time.AfterFunc(cutTime, func() { l.cut.Store(false) })
		r.line("%s is cut off from the store and from %s", cutOff.name, lost.name)
	}
	for i := range 2 {
		r.addEngine(fmt.Sprintf("n%d", i), "decode", "v2")
	}
	r.line("two engines of version v2 start")
	time.Sleep(400 * time.Millisecond)
	return r.playStreams(lost, cutOff, 500*time.Millisecond, func() {
		lost.signal(syscall.SIGKILL)
		r.line("SIGKILL to %s", lost.name)
	})
}

// playStreams has clients begin streams at one gateway, strikes after a while unless the case is played without its
// disruption, has the clients go on at another gateway, and reports whether more than two streams hold events of two
// versions.
func (r *rig) playStreams(first, second *gateway, strikeAfter time.Duration, strike func()) bool {
	streams := make([]*versionStream, versionClients)
	var clients sync.WaitGroup
	for i := range streams {
		s := &versionStream{name: fmt.Sprintf("s%d", i), byVersion: map[string]int{}}
		streams[i] = s
		clients.Go(func() {
			if !r.try(s, first, 0) {
				r.try(s, second, 1)
			}
		})
	}
	time.Sleep(strikeAfter)
	if r.trouble {
		strike()
	}
	clients.Wait()
	mixed, whole := 0, 0
	for _, s := range streams {
		r.line("stream %s: events by version %s, whole %t", s.name, compact(s.byVersion), s.whole)
		if len(s.byVersion) > 1 {
			mixed++
		}
		if s.whole {
			whole++
		}
	}
	r.line("%d streams, %d whole, %d with events of two versions (allowed: 2)", len(streams), whole, mixed)
	if !r.trouble && whole < len(streams) {
		r.close()
		unable("%d of %d streams are not whole without the disruption", len(streams)-whole, len(streams))
	}
	return mixed > 2
}

// try makes one try of a client at a stream, and reports whether the stream is whole after it.
func (r *rig) try(s *versionStream, g *gateway, n int) bool {
	id := fmt.Sprintf("%s-%d", s.name, n)
	q, _ := http.NewRequest(http.MethodPost, "http://"+g.callers+"/fuzzy/x", strings.NewReader("prompt of "+s.name))
	q.Host = routeHost
	for k, v := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "13000", "X-Model": "m", "X-Token-Count": "600,480", "X-Prompt-Prefix": "a1:200," + fmt.Sprintf("%x:400", s.name)} {
		q.Header.Set(k, v)
	}
	if s.last != "" {
		q.Header.Set("Last-Event-Id", s.last)
		q.Header.Set("Resumes", s.origin)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	sent := time.Now()
	res, err := (&http.Client{Transport: transport, Timeout: 13 * time.Second}).Do(q)
	if err != nil {
		r.line("%s at %s after %s: %v", id, g.name, s.last, err)
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		r.line("%s at %s after %q: status %d", id, g.name, s.last, res.StatusCode)
		return false
	}
	first := true
	err = readEvents(res.Body, func(event, data string) {
		if s.origin == "" {
			s.origin = id
		}
		if first {
			r.line("%s at %s after %q: first event after %d ms: %s", id, g.name, s.last, time.Since(sent).Milliseconds(), data)
			first = false
		}
		_, version, _ := strings.Cut(data, standin.VersionMark)
		s.byVersion[version]++
		s.last = event
		s.events++
	})
	s.whole = err == nil && s.events >= versionEvents
	if err != nil {
		r.line("%s at %s broke off after event %s: %v", id, g.name, s.last, err)
	}
	return s.whole
}

// playInPlace: two engines start again under their ids at another version; before their entries say so, their gateway is
// killed, and its clients go on at another one.
func playInPlace(r *rig) bool {
	r.Configure(streamConfig())
	var upgraded []*standin.Runner
	for i := range 2 {
		r.addEngine(fmt.Sprintf("p%d", i), "prefill", "v1")
	}
	for i := range 4 {
		e := r.addEngine(fmt.Sprintf("d%d", i), "decode", "v1")
		if i < 2 {
			upgraded = append(upgraded, e)
		}
	}
	lost := r.newGateway("front-zone-a-1", "zone-a", r.Address)
	other := r.newGateway("front-zone-b-1", "zone-b", r.Address)
	r.start(lost)
	r.start(other)
	r.awaitReady()
	time.Sleep(5 * time.Second)
	for _, e := range upgraded {
		e.Upgrade("v2", heartbeat)
	}
	r.line("two engines start again under their ids at version v2; their entries follow after a heartbeat")
	time.Sleep(100 * time.Millisecond)
	return r.playStreams(lost, other, 500*time.Millisecond, func() {
		lost.signal(syscall.SIGKILL)
		r.line("SIGKILL to %s", lost.name)
	})
}
