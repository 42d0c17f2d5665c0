// Package realtest runs hopwell's processes as real ones, over TCP, before
// stand-ins that live in the test's own process. Only what package fleettest
// can't show is tested this way: kill -9, SIGSTOP and SIGTERM.
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

// Daemon is one running hopwelld.
type Daemon struct {
	Entry   platform.Instance
	Callers string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Fleet is a fleet of real processes before stand-ins.
type Fleet struct {
	KV      *fake.KV
	List    *fake.List
	Engines map[string]*fake.Engine
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

// Size is what a fleet consists of.
type Size struct {
	Gateways, Prefills, Decodes, Services int
	// Engine is the speed and size of all engines.
	Engine fake.Spec
	// Selectors is the first configuration.
	Selectors []fleet.Selector
}

// Small is two gateways, two runners in each role and a plain service whose
// calls must not be repeated.
func Small() Size {
	list := demo.Selectors()
	list[2].NotRepeatable = true
	return Size{Gateways: 2, Prefills: 2, Decodes: 2, Services: 1, Engine: fake.DefaultSpec(), Selectors: list}
}

// Start brings up a fleet.
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
	if err := f.runners(size); err != nil {
		return nil, err
	}
	for i := range size.Gateways {
		if err := f.Gateway(fmt.Sprintf("gateway-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return f, f.configure(ctx, size.Selectors)
}

// runners starts the stand-in runners and their sidecars.
func (f *Fleet) runners(size Size) error {
	fabric := fake.NewFabric()
	for i := range size.Prefills + size.Decodes {
		name := fmt.Sprintf("prefill-%d", i+1)
		if i >= size.Prefills {
			name = fmt.Sprintf("decode-%d", i-size.Prefills+1)
		}
		f.Engines[name] = fake.NewEngine(name, size.Engine, fabric)
		if err := f.runner(name, "engine", fake.EngineHandler(f.Engines[name])); err != nil {
			return err
		}
	}
	for i := range size.Services {
		if err := f.runner(fmt.Sprintf("service-%d", i+1), "service", f.Orders); err != nil {
			return err
		}
	}
	return nil
}

// runner serves a stand-in and starts its sidecar.
func (f *Fleet) runner(name, kind string, h http.Handler) error {
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

// configure makes the first configuration and waits until it is in force.
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
		return fmt.Sprintf("%s\nlisten: {inner: %q, admin: %q}\n%s\n", f.head(name), ports[0], ports[1], runner)
	})
}

// Gateway starts a gateway.
func (f *Fleet) Gateway(name string) error {
	return f.start(name, platform.RoleGateway, 3, func(ports []string) string {
		return fmt.Sprintf("%s\nlisten: {inner: %q, admin: %q, callers: %q}\ndrain: {balancer_wait: 0s}\nlimits: {open_requests: 20000, open_requests_per_workspace: 20000}\n", f.head(name), ports[0], ports[1], ports[2])
	})
}

// head is what the settings of both roles begin with.
func (f *Fleet) head(name string) string {
	pool, _, _ := strings.Cut(name, "-")
	return fmt.Sprintf("instance: {name: %s, domain: d, region: r, labels: {pool: %s}}\nplatform: %s", name, pool, f.platform)
}

// start writes a settings file, starts the process and lists it.
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
	if err := d.await(); err != nil {
		return err
	}
	f.Daemons[name] = d
	f.List.Put(d.Entry)
	return nil
}

// await starts the process and waits for its line that it is ready.
func (d *Daemon) await() error {
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

// Ended is closed when a process has ended.
func (f *Fleet) Ended(name string) <-chan struct{} { return f.Daemons[name].ended }

// Held sums the memory that all engines hold.
func (f *Fleet) Held() int64 {
	var sum int64
	for _, e := range f.Engines {
		sum += e.KVUsed()
	}
	return sum
}

// Close ends all processes that the fleet started, by their IDs.
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

// Usage is what a process used so far.
type Usage struct {
	// CPU is its processor time, RSS its memory in bytes, IO the bytes that it
	// read and wrote, files and sockets together.
	CPU time.Duration
	RSS int64
	IO  int64
}

// clockTick is the unit of processor times in /proc, in hertz.
const clockTick = 100

// Usage reads what a process used from /proc.
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
