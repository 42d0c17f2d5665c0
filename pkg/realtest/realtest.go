// Package realtest runs hopwell's programs as operating system processes that
// communicate over TCP, with fakes of the runners and the platform in the test's own
// process. It tests only what package fleettest can't: kill -9, SIGSTOP and SIGTERM.
package realtest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hopwell/hopwell/pkg/demo"
	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/opclient"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/process"
)

// Daemon is one hopwelld process.
type Daemon struct {
	Entry   platform.Instance
	Callers string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Fleet is a fleet of hopwelld processes with fake runners and a fake platform.
type Fleet struct {
	KV      *fake.KV
	List    *fake.List
	Engines map[string]*fake.Engine
	// Orders is the fake plain service.
	Orders  *fake.Service
	Daemons map[string]*Daemon
	Client  *opclient.Client

	dir, binary, platform string
	servers               []*httpd.Server
}

// Build compiles hopwelld into a directory.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "hopwelld")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/hopwell/hopwell/cmd/hopwelld").CombinedOutput()
	if err != nil {
		return "", &ErrBuild{Output: string(out), Err: err}
	}
	return binary, nil
}

// ErrBuild reports that hopwelld did not compile.
type ErrBuild struct {
	Output string
	Err    error
}

// Error implements error.
func (e *ErrBuild) Error() string {
	return fmt.Sprintf("build failed: cause=%v output=%s", e.Err, e.Output)
}

// Size describes a fleet: the number of processes of each kind, the engines and the
// initial configuration.
type Size struct {
	Gateways, Prefills, Decodes, Services int
	// Engine is the speed and the memory of every engine.
	Engine fake.Spec
	// Selectors is the initial configuration.
	Selectors []fleet.Selector
}

// Small returns a size with two gateways, two prefill engines, two decode engines and
// a plain service whose requests must not be repeated.
func Small() Size {
	list := demo.Selectors()
	list[2].NotRepeatable = true
	return Size{Gateways: 2, Prefills: 2, Decodes: 2, Services: 1, Engine: fake.DefaultSpec(), Selectors: list}
}

// Start starts a fleet and waits until its initial configuration is in force.
func Start(ctx context.Context, binary, dir string, size Size) (*Fleet, error) {
	f := &Fleet{
		KV: fake.NewKV(), List: fake.NewList(), Engines: map[string]*fake.Engine{}, Orders: fake.NewService(0),
		Daemons: map[string]*Daemon{}, dir: dir, binary: binary,
	}
	p, err := f.serve(fake.PlatformHandler(f.KV, f.List, fake.NewWeights(20)))
	if err != nil {
		return nil, err
	}
	f.platform = p
	f.Client = opclient.New(p, nil)
	if err := f.startRunners(size); err != nil {
		return nil, err
	}
	for i := range size.Gateways {
		if err := f.Gateway(fmt.Sprintf("gateway-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return f, f.configure(ctx, size.Selectors)
}

// startRunners starts all fake runners and their sidecars.
func (f *Fleet) startRunners(size Size) error {
	fabric := fake.NewFabric()
	for i := range size.Prefills + size.Decodes {
		name := fmt.Sprintf("prefill-%d", i+1)
		if i >= size.Prefills {
			name = fmt.Sprintf("decode-%d", i-size.Prefills+1)
		}
		f.Engines[name] = fake.NewEngine(name, size.Engine, fabric)
		if err := f.startRunner(name, "engine", fake.EngineHandler(f.Engines[name])); err != nil {
			return err
		}
	}
	for i := range size.Services {
		if err := f.startRunner(fmt.Sprintf("service-%d", i+1), "service", f.Orders); err != nil {
			return err
		}
	}
	return nil
}

// startRunner serves one fake runner and starts its sidecar.
func (f *Fleet) startRunner(name, kind string, h http.Handler) error {
	url, err := f.serve(h)
	if err != nil {
		return err
	}
	return f.Sidecar(name, kind+": "+url)
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	s, err := process.ListenHTTP("127.0.0.1:0", h)
	if err != nil {
		return "", err
	}
	f.servers = append(f.servers, s)
	return "http://" + s.Addr(), nil
}

// configure applies the initial configuration and waits until it is in force.
func (f *Fleet) configure(ctx context.Context, list []fleet.Selector) error {
	reply, err := f.Client.Change(ctx, &fleet.Change{ID: "first", Apply: list}, false)
	if err != nil {
		return err
	}
	return f.Client.Await(ctx, reply.Revision, func(opclient.Progress) {})
}

// Sidecar starts a sidecar; runner is the settings line of its engine or service.
func (f *Fleet) Sidecar(name, runner string) error {
	return f.start(name, platform.RoleSidecar, 2, func(ports []string) string {
		return fmt.Sprintf("%s\nlisten: {inner: %q, admin: %q}\n%s\n", f.settingsHead(name), ports[0], ports[1], runner)
	})
}

// Gateway starts a gateway.
func (f *Fleet) Gateway(name string) error {
	return f.start(name, platform.RoleGateway, 3, func(ports []string) string {
		return fmt.Sprintf("%s\nlisten: {inner: %q, admin: %q, callers: %q}\ndrain: {balancer_wait: 0s}\nlimits: {open_requests: 20000, open_requests_per_workspace: 20000}\n", f.settingsHead(name), ports[0], ports[1], ports[2])
	})
}

// settingsHead returns the part of the settings that both roles share.
func (f *Fleet) settingsHead(name string) string {
	pool, _, _ := strings.Cut(name, "-")
	return fmt.Sprintf("instance: {name: %s, domain: d, region: r, labels: {pool: %s}}\nplatform: %s", name, pool, f.platform)
}

// start writes a settings file, starts the process and adds it to the instance
// list.
func (f *Fleet) start(name, role string, n int, settings func(ports []string) string) error {
	ports, err := demo.FreePorts(n)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings(ports)), 0o600); err != nil {
		return err
	}
	d := &Daemon{ended: make(chan struct{})}
	pool, _, _ := strings.Cut(name, "-")
	d.Entry = platform.Instance{Name: name, Role: role, Domain: "d", Region: "r", Inner: ports[0], Admin: ports[1], Labels: map[string]string{"pool": pool}}
	if n > 2 {
		d.Callers = ports[2]
	}
	d.cmd = exec.Command(f.binary, role, "--config", file)
	d.cmd.Stderr = os.Stderr
	if err := d.startAndWait(); err != nil {
		return err
	}
	f.Daemons[name] = d
	f.List.Put(d.Entry)
	return nil
}

// startAndWait starts the process and waits for the line that reports that it is
// ready.
func (d *Daemon) startAndWait() error {
	out, err := d.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		return err
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	return nil
}

// Signal sends a signal to a process that the fleet started.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	return f.Daemons[name].cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when a process has ended.
func (f *Fleet) Ended(name string) <-chan struct{} { return f.Daemons[name].ended }

// Held returns the KV cache memory in use on all engines, in bytes.
func (f *Fleet) Held() int64 {
	var sum int64
	for _, e := range f.Engines {
		sum += e.KVUsed()
	}
	return sum
}

// Close kills all processes that the fleet started, by their process IDs, and stops
// the fakes.
func (f *Fleet) Close() {
	for name, d := range f.Daemons {
		_ = f.Signal(name, syscall.SIGCONT)
		_ = f.Signal(name, syscall.SIGKILL)
		<-d.ended
	}
	for _, s := range f.servers {
		s.Close()
	}
	for _, e := range f.Engines {
		e.Close()
	}
}

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the processor time, RSS the resident memory in bytes, IO the number of
	// bytes read and written, files and sockets together.
	CPU time.Duration
	RSS int64
	IO  int64
}

// clockTick is the number of clock ticks per second: /proc reports processor times
// in ticks.
const clockTick = 100

// Usage reads the resource usage of a process from /proc.
func (f *Fleet) Usage(name string) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", f.Daemons[name].cmd.Process.Pid)
	var u Usage
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.CPU = time.Duration(user+system) * time.Second / clockTick
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.RSS = pages * int64(os.Getpagesize())
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	for _, line := range strings.Split(string(io), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		if key == "rchar" || key == "wchar" {
			n, _ := strconv.ParseInt(value, 10, 64)
			u.IO += n
		}
	}
	return u, nil
}
