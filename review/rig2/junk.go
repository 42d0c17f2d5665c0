package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

const (
	// junkEntries entries of junkBytes are written. That is the largest value that the store takes (value_bytes).
	junkEntries  = 14
	junkBytes    = 1 << 20
	configWithin = 2 * time.Second
	pageBytes    = 1 << 20
)

// pagingStore serves the stand-in of the store with pages of 1 MB of values at most.
func pagingStore(s *standin.Store) string {
	l := listenLocal()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != "/api/kv-range" {
				s.ServeHTTP(w, q)
				return
			}
			out := httptest.NewRecorder()
			s.ServeHTTP(out, q)
			var page struct {
				Items []standin.Item `json:"items"`
				More  bool           `json:"more"`
				At    uint64         `json:"at"`
			}
			if out.Code != http.StatusOK || json.Unmarshal(out.Body.Bytes(), &page) != nil {
				w.WriteHeader(out.Code)
				_, _ = w.Write(out.Body.Bytes())
				return
			}
			size := 0
			for i, item := range page.Items {
				if size += len(item.Value); size > pageBytes && i > 0 {
					page.Items, page.More = page.Items[:i], true
					break
				}
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(page)
		}))
	}()
	return l.Addr().String()
}

// playJunk: another writer writes entries that can't be read; then the operator changes the routes.
func playJunk(r *rig) bool {
	app := []any{map[string]any{"name": "app", "healthPath": "/health", "maxConns": 110}}
	kept := route("kept", "/kept/", "safe", "app", map[string]any{"timeoutMs": 1200, "targetLatencyMs": 150})
	old := route("old", "/old/", "safe", "app", map[string]any{"timeoutMs": 1200, "targetLatencyMs": 150})
	added := route("new", "/new/", "safe", "app", map[string]any{"timeoutMs": 1200, "targetLatencyMs": 150})
	r.Configure(operatorConfig(1, []any{kept, old}, app))
	for i := range 3 {
		r.Add(standin.NewRunner(fmt.Sprintf("app-%d", i), "app", zoneName(i), ""))
	}
	store := pagingStore(r.Store)
	for i := range 3 {
		r.start(r.newGateway("front-"+zoneName(i)+"-1", zoneName(i), store))
	}
	r.awaitReady()
	time.Sleep(5 * time.Second)
	if r.trouble {
		value := string(bytes.Repeat([]byte{0xfe, '#'}, junkBytes/2))
		for i := range junkEntries {
			r.Store.Put(fmt.Sprintf("servers/x-%02d", i), value)
		}
		r.line("another writer has written %d entries of %d bytes", junkEntries, junkBytes)
	}
	time.Sleep(5 * time.Second)
	r.Configure(operatorConfig(2, []any{kept, added}, app))
	r.line("configuration 2 is acknowledged: route old is dropped, route new is added")
	time.Sleep(configWithin + 500*time.Millisecond)
	var mu sync.Mutex
	counts := map[string]int{}
	var clients sync.WaitGroup
	for _, g := range r.gateways {
		clients.Go(func() {
			for n := range 40 {
				for _, path := range []string{"/kept/x", "/old/x", "/new/x"} {
					id := fmt.Sprintf("%s%s-%d", g.name, strings.ReplaceAll(path, "/", "-"), n)
					status := askPlain(g, path, id)
					mu.Lock()
					counts[fmt.Sprintf("%s %d", path, status)]++
					mu.Unlock()
					if n%10 == 0 {
						r.line("%s: %d", id, status)
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	stale := counts["/old/x 200"] + counts["/new/x 404"]
	r.line("answers by path and status: %s", compact(counts))
	r.line("%d requests sent later than configMs after the acknowledgement were handled as only the older version allows", stale)
	if counts["/kept/x 200"] == 0 {
		r.close()
		unable("nothing was served")
	}
	return stale > 0
}

// askPlain sends a GET and returns its status, 0 for none.
func askPlain(g *gateway, path, id string) int {
	q, _ := http.NewRequest(http.MethodGet, "http://"+g.callers+path, nil)
	q.Host = routeHost
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "2500")
	c := &http.Client{Timeout: 3 * time.Second}
	res, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
