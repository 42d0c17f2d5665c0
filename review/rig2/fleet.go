// Command rig2 plays the scripted cases of the second review: it starts hopwell's processes with the command of
// the deploy file, before stand-ins of the platform's store, of runners and of clients.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

// routeHost is the host of all routes.
const routeHost = "case.example"

// gateway is one process of the role ingress.
type gateway struct {
	name, zone, store               string
	callers, health, metrics, peers string
	settings, log                   string
	// site holds what the settings repeat of the users' sheet.
	site site

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// rig holds the processes and stand-ins of a case.
type rig struct {
	*standin.Fleet
	*record
	root, dir string
	// trouble is false if the case is played without its disruption.
	trouble  bool
	site     site
	gateways []*gateway
}

func newRig(root string, rec *record, trouble bool) *rig {
	// The site of most cases; a case may set another one.
	dir, err := os.MkdirTemp("", "hopwell-case-")
	if err != nil {
		unable("no folder: %v", err)
	}
	return &rig{Fleet: standin.NewFleet(), record: rec, root: root, dir: dir, trouble: trouble, site: slwHopwell}
}

func listenLocal() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("no free port: %v", err)
	}
	return l
}

// freePorts returns addresses whose ports are free.
func freePorts(n int) []string {
	var out []string
	for range n {
		l := listenLocal()
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// site holds the figures of a users' sheet that the settings repeat. coldOvershoot is 0 if the sheet has none.
type site struct {
	region                                  string
	budgetSlack                             int
	configMs, drainMs, evacuateMs, memoryMB int
	coldOvershoot                           float64
	coldSlack                               int
}

// The sites of the cases.
var (
	slwHopwell  = site{region: "bkk", budgetSlack: 58, configMs: 2000, drainMs: 2000, memoryMB: 134}
	tcsPreviews = site{region: "ap-east", budgetSlack: 94, configMs: 3000, drainMs: 3000, evacuateMs: 5000, memoryMB: 112, coldOvershoot: 1.5, coldSlack: 5}
)

// settingsText fills deploy/ingress.yaml as the platform does.
func (g *gateway) settingsText() string {
	more := ""
	if g.site.evacuateMs > 0 {
		more += fmt.Sprintf("  evacuate_within: %dms\n", g.site.evacuateMs)
	}
	if g.site.coldOvershoot > 0 {
		more += fmt.Sprintf("cold_runners:\n  overshoot: %g\n  slack: %d\n", g.site.coldOvershoot, g.site.coldSlack)
	}
	return fmt.Sprintf(`instance:
  name: %s
  domain: %s
  region: %s
store: %s
seeds: []
listen:
  callers: %s
  health: %s
  metrics: %s
  peers: %s
retry_budget:
  share: 0.2
  slack: %d
  window: 10s
lease: 3000ms
limits:
  memory_mb: %d
drain:
  longest: 8s
workspaces:
  fail_closed: false
regions: { zone-a: %s, zone-b: %s, zone-c: %s }
changes:
  config_within: %dms
  drain_within: %dms
%s`, g.name, g.zone, g.site.region, g.store, g.callers, g.health, g.metrics, g.peers, g.site.budgetSlack, g.site.memoryMB,
		g.site.region, g.site.region, g.site.region, g.site.configMs, g.site.drainMs, more)
}

// newGateway returns a gateway that has not started yet.
func (r *rig) newGateway(name, zone, store string) *gateway {
	p := freePorts(4)
	g := &gateway{name: name, zone: zone, store: store, site: r.site, callers: p[0], health: p[1], metrics: p[2], peers: p[3]}
	g.settings, g.log = filepath.Join(r.dir, name+".yaml"), filepath.Join(r.dir, name+".log")
	r.gateways = append(r.gateways, g)
	return g
}

// start writes the settings of a gateway and starts its process.
func (r *rig) start(g *gateway) {
	if err := os.WriteFile(g.settings, []byte(g.settingsText()), 0o600); err != nil {
		unable("settings: %v", err)
	}
	out, err := os.OpenFile(g.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	defer out.Close()
	cmd := exec.Command("target/hopwelld", "ingress", "--config-env", "HOPWELL_NODE_FILE")
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, out, out
	cmd.Env = append(os.Environ(), "HOPWELL_NODE_FILE="+g.settings)
	if err := cmd.Start(); err != nil {
		unable("hopwelld does not start: %v", err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// signal sends a signal to the process of a gateway, and returns a channel that is closed at its end.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = g.cmd.Process.Signal(s)
	return g.ended
}

// ready reports whether the health page of a gateway answers 200.
func (g *gateway) ready() bool {
	c := &http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + g.health + "/api/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (r *rig) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, g := range r.gateways {
		for !g.ready() {
			if time.Now().After(end) {
				r.close()
				unable("gateway %s does not get ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends all processes and stand-ins. With KEEP set, the logs stay.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.signal(syscall.SIGCONT)
		<-g.signal(syscall.SIGKILL)
	}
	r.Fleet.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// route returns an operator's route.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 14000,
		"targetLatencyMs": 900, "priority": 1, "service": service, "maxAttempts": 2, "sticky": false}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// operatorConfig returns an operator's configuration.
func operatorConfig(version int, routes, services []any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// record holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   bytes.Buffer
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) save(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(file, r.out.Bytes(), 0o644); err != nil {
		unable("record: %v", err)
	}
}

// unable ends the program with the status for a case that can't run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	os.Exit(2)
}
