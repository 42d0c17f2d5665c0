package fleettest

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Crash ends a process as kill -9 does: it sends nothing more, its connections
// break, and its runner continues the work that it has.
func (f *Fleet) Crash(name string) {
	f.mu.Lock()
	p := f.processes[name]
	if p == nil {
		f.mu.Unlock()
		return
	}
	p.crashed.Store(true)
	p.Died = time.Now()
	delete(f.processes, name)
	f.past = append(f.past, p)
	f.mu.Unlock()
	p.cancel()
	f.Net.Reset(name)
}

// Lose removes an instance with its process, its runner and its list entry.
func (f *Fleet) Lose(name string) {
	f.Crash(name)
	if e := f.Engines[name]; e != nil {
		e.Close()
	}
	f.List.Remove(name)
}

// LoseDomain removes all instances of a failure domain.
func (f *Fleet) LoseDomain(domain string) {
	for _, p := range f.Processes() {
		if p.Entry.Domain == domain {
			f.Lose(p.Entry.Name)
		}
	}
}

// Restart starts a crashed sidecar or gateway again under the same address.
func (f *Fleet) Restart(in platform.Instance) *Process {
	if in.Role == platform.RoleGateway {
		return f.StartGateway(in)
	}
	return f.StartSidecar(in)
}

// Close stops all processes and engines, so that the synctest bubble can end.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		p.cancel()
		f.Net.Reset(p.Entry.Name)
	}
	for _, p := range f.Processes() {
		<-p.done
		_ = p.Node.Pool.Close()
	}
	for _, e := range f.Engines {
		e.Close()
	}
}

// Drain performs the planned stop of a process, which ends when no work is left.
// A non-zero deadline is the time when the process's instance ends.
func (f *Fleet) Drain(name string, deadline time.Time) {
	p := f.Process(name)
	ctx := context.Background()
	if p.Sidecar != nil {
		p.Sidecar.Drain(ctx, deadline)
	} else {
		p.Gateway.Drain(ctx)
	}
	f.removeDrained(p)
}

// removeDrained stops a drained process and removes its list entry.
func (f *Fleet) removeDrained(p *Process) {
	f.mu.Lock()
	delete(f.processes, p.Entry.Name)
	f.past = append(f.past, p)
	f.mu.Unlock()
	p.cancel()
	f.Net.Reset(p.Entry.Name)
	f.List.Remove(p.Entry.Name)
}
