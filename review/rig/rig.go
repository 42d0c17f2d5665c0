// Package rig starts hopwell's programs as separate processes for the cases under review/, with a stand-in
// of the platform's store and stand-in runners on loopback addresses, and records what each of them sees.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hopwell/hopwell/pkg/demo"
	"github.com/hopwell/hopwell/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host is the host of all routes.
const Host = "host.example"

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Record is the file that lists what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// Line appends a line with the time since the start of the case.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Rig is a store and the processes of a case.
type Rig struct {
	*Record
	Store *standin.Store
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	root, dir, storeAddress string
	mu                      sync.Mutex
	children                []*Process
}

// Process is a process that the case started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// New creates the record and the store. The working directory must be the root of the repository. record is the
// path of the record.
func New(record string) (*Rig, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hopwell-review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: &Record{file: file, began: time.Now()}, Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, r.Store) }()
	r.Line("case begins: trouble=%t", r.Trouble)
	return r, nil
}

// StoreAddress returns the address of the store.
func (r *Rig) StoreAddress() string { return r.storeAddress }

// Dir returns the temporary folder of the case.
func (r *Rig) Dir() string { return r.dir }

// Start starts a program of the repository. Its output goes to NAME.log in the temporary folder.
func (r *Rig) Start(name string, env []string, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(r.root, program), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		r.Line("%s ended: %s", name, cmd.ProcessState)
		close(p.done)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = append(r.children, p)
	return p, nil
}

// Pid returns the ID of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Gateway is one ingress process.
type Gateway struct {
	*Process
	Callers, Health string
}

// StartGateway starts an ingress with the command of deploy/system.toml and waits until it is ready. The settings
// are those of deploy/ingress.yaml with the figures of the site slw-hopwell.
func (r *Rig) StartGateway(name string) (*Gateway, error) {
	ports, err := demo.FreePorts(4)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`instance:
  name: %s
  domain: zone-a
  region: region-a
store: %s
listen:
  callers: %s
  health: %s
  metrics: %s
  peers: %s
retry_budget:
  share: 0.2
  slack: 58
  window: 10s
lease: 3000ms
limits:
  memory_mb: 134
drain:
  longest: 8s
workspaces:
  fail_closed: false
regions: { zone-a: region-a }
changes:
  config_within: 2000ms
  drain_within: 2000ms
`, name, r.storeAddress, ports[0], ports[1], ports[2], ports[3])
	file := filepath.Join(r.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := r.Start(name, []string{"HOPWELL_NODE_FILE=" + file}, "target/hopwelld", "ingress", "--config-env", "HOPWELL_NODE_FILE")
	if err != nil {
		return nil, err
	}
	g := &Gateway{Process: p, Callers: ports[0], Health: ports[1]}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if g.ready() {
			r.Line("%s is ready at %s", name, g.Callers)
			return g, nil
		}
	}
	return nil, fmt.Errorf("%s did not get ready", name)
}

func (g *Gateway) ready() bool {
	response, err := http.Get("http://" + g.Health + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes of the case and removes its temporary folder. KEEP=1 keeps the folder.
func (r *Rig) Close() {
	r.mu.Lock()
	children := r.children
	r.mu.Unlock()
	for _, p := range children {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("kept:", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// Finish records the verdict, ends the case and exits.
func (r *Rig) Finish(code int, format string, args ...any) {
	verdict := map[int]string{Held: "rule held", Broken: "RULE BROKEN", NotRun: "could not run"}[code]
	text := verdict + ": " + fmt.Sprintf(format, args...)
	r.Line("%s", text)
	r.Close()
	fmt.Println(text)
	os.Exit(code)
}

// Config returns the operators' configuration: one service of engines and one of plain runners, with the figures of
// the site slw-hopwell.
func Config(version int) map[string]any {
	route := func(name, kind, service string, timeout, target, attempts int, more map[string]any) map[string]any {
		out := map[string]any{"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": 1, "service": service, "maxAttempts": attempts, "sticky": service == "lexmodel"}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("glossary-lookup", "safe", "tmstore", 1200, 150, 2, nil),
			route("memory-export", "unsafe", "tmstore", 1200, 150, 1, nil),
			route("term-check", "stream", "lexmodel", 14000, 900, 1, map[string]any{"resumable": false, "gapTargetMs": 300}),
			route("fuzzy-suggest", "stream", "lexmodel", 14000, 900, 2, map[string]any{"resumable": true, "gapTargetMs": 300}),
		},
		"services": []any{
			map[string]any{"name": "tmstore", "healthPath": "/health", "maxConns": 110},
			map[string]any{"name": "lexmodel", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCapacity": 37745, "tokenKvBytes": 35136, "stride": 12, "kvHoldS": 0.5, "reconfigS": 6.0, "holdMs": 2000.0}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
