package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

const (
	coldZones       = 3
	enginesPerZone  = 8
	coldGateways    = 4
	coldClients     = 60
	coldStart       = 3 * time.Second
	coldLength      = 80 * time.Second
	coldTimeout     = 4 * time.Second
	finalAnswerTime = 500 * time.Millisecond
)

// coldTally counts what clients saw.
type coldTally struct {
	sent, served, refused, failed, past, unanswered atomic.Int64
}

// playCold: the engines of one zone after the other go cold for coldStartS. The case ends early once enough requests
// stay without an answer.
func playCold(r *rig) bool {
	r.site = tcsPreviews
	r.Configure(operatorConfig(1, []any{route("cue", "/cue/", "stream", "llm", map[string]any{"resumable": true, "gapTargetMs": 300, "timeoutMs": coldTimeout.Milliseconds()})},
		[]any{map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 480, "coldPerS": 22, "engine": map[string]any{
			"slots": 64, "kvCapacity": 70000, "tokenKvBytes": 18432, "stride": 12, "kvHoldS": 0.5, "reconfigS": 1.0, "holdMs": 2000.0}}}))
	engines := map[int][]*standin.Runner{}
	for z := range coldZones {
		for i := range enginesPerZone {
			stage := "decode"
			if i < 2 {
				stage = "prefill"
			}
			e := standin.NewRunner(fmt.Sprintf("e%d-%d", z, i), "llm", zoneName(z), stage)
			e.Events, e.Pause, e.Memory, e.ChangeTime = 8, 20*time.Millisecond, 70000, time.Second
			engines[z] = append(engines[z], r.Add(e))
		}
	}
	for i := range coldGateways {
		g := r.newGateway(fmt.Sprintf("front-%s-%d", zoneName(i%coldZones), i/coldZones+1), zoneName(i%coldZones), r.Address)
		r.start(g)
	}
	r.awaitReady()
	time.Sleep(6 * time.Second) // contactMs is 4 s.
	var t coldTally
	ctx, stop := context.WithTimeout(context.Background(), coldLength)
	defer stop()
	var clients sync.WaitGroup
	for i := range coldClients {
		clients.Go(func() {
			g := r.gateways[i%len(r.gateways)]
			for n := 0; ctx.Err() == nil; n++ {
				if !r.askCold(&t, g, fmt.Sprintf("c%d-%d", i, n)) {
					return
				}
			}
		})
	}
	for seq := 2; ctx.Err() == nil && t.unanswered.Load() < 12; seq++ {
		zone := seq % coldZones
		if r.trouble {
			r.line("engines of %s go cold for %s", zoneName(zone), coldStart)
			for _, e := range engines[zone] {
				entry := e.Entry("ready")
				entry["coldLeftMs"], entry["seq"] = coldStart.Milliseconds(), seq
				r.Store.Put(standin.RunnerKey(e.ID), entry)
			}
		}
		time.Sleep(coldStart + time.Second)
		if r.trouble {
			for _, e := range engines[zone] {
				entry := e.Entry("ready")
				entry["seq"] = seq
				r.Store.Put(standin.RunnerKey(e.ID), entry)
			}
		}
	}
	stop()
	clients.Wait()
	for _, g := range r.gateways {
		r.line("%s: health page says ready: %t", g.name, g.ready())
		if t.unanswered.Load() > 0 {
			r.recordStacks(g)
		}
	}
	r.line("sent %d, served %d, refused %d, failed %d, past their route's timeoutMs %d, of these without an answer 0.5 s later %d",
		t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), t.past.Load(), t.unanswered.Load())
	if t.served.Load() == 0 {
		r.close()
		unable("nothing was served")
	}
	return t.unanswered.Load() >= 8 && 2*t.unanswered.Load() > t.past.Load()
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

// askCold sends one request and reports whether it was answered.
func (r *rig) askCold(t *coldTally, g *gateway, id string) bool {
	t.sent.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), coldTimeout+finalAnswerTime)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/cue/x", strings.NewReader("prompt of "+id))
	q.Host = routeHost
	for k, v := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "14000", "X-Model": "m", "X-Token-Count": "5200,96", "X-Prompt-Prefix": "a1:200," + fmt.Sprintf("%x:5000", id)} {
		q.Header.Set(k, v)
	}
	sent := time.Now()
	res, err := http.DefaultTransport.RoundTrip(q)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	took := time.Since(sent)
	if took >= coldTimeout {
		t.past.Add(1)
	}
	switch {
	case ctx.Err() != nil:
		t.unanswered.Add(1)
		r.line("%s at %s: no answer after %s", id, g.name, took.Round(time.Millisecond))
		return false
	case err != nil:
		t.failed.Add(1)
		r.line("%s at %s: %v after %s", id, g.name, err, took.Round(time.Millisecond))
		time.Sleep(50 * time.Millisecond)
	case res.StatusCode == http.StatusOK:
		t.served.Add(1)
	default:
		t.refused.Add(1)
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// recordStacks records the functions in which a process waits for a lock. It ends the process.
func (r *rig) recordStacks(g *gateway) {
	<-g.signal(syscall.SIGQUIT)
	text, err := os.ReadFile(g.log)
	if err != nil {
		return
	}
	seen := map[string]int{}
	for stack := range strings.SplitSeq(string(text), "\n\n") {
		head, rest, _ := strings.Cut(stack, "\n")
		if !strings.Contains(head, "[sync.Mutex.Lock") {
			continue
		}
		var calls []string
		for call := range strings.SplitSeq(rest, "\n") {
			if _, name, ok := strings.Cut(call, "github.com/hopwell/hopwell/"); ok && !strings.HasPrefix(call, "\t") {
				name, _, _ = strings.Cut(name, "({")
				name, _, _ = strings.Cut(name, "(0x")
				name, _, _ = strings.Cut(name, "(...")
				calls = append(calls, name)
			}
		}
		seen[strings.Join(calls[:min(len(calls), 7)], " < ")]++
	}
	for calls, n := range seen {
		r.line("%s: %d goroutines wait for a lock in %s", g.name, n, calls)
	}
}
