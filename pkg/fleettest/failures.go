package fleettest

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Crash ends a process as kill -9 does: nothing more comes from it, its
// connections break, and its runner goes on with what it had.
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

// Lose ends an instance with all on it: the process, its runner and its entry.
func (f *Fleet) Lose(name string) {
	f.Crash(name)
	if e := f.Engines[name]; e != nil {
		e.Close()
	}
	f.List.Remove(name)
}

// LoseDomain ends all instances of a failure domain.
func (f *Fleet) LoseDomain(domain string) {
	for _, p := range f.Processes() {
		if p.Entry.Domain == domain {
			f.Lose(p.Entry.Name)
		}
	}
}

// Restart brings a crashed sidecar or gateway back under its address.
func (f *Fleet) Restart(in platform.Instance) *Process {
	if in.Role == platform.RoleGateway {
		return f.StartGateway(in)
	}
	return f.StartSidecar(in)
}

// Close ends everything, so that the bubble can end.
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

// Drain carries out the planned stop of a process: it ends when no work is
// left. A deadline other than zero is when its instance ends.
func (f *Fleet) Drain(name string, deadline time.Time) {
	p := f.Process(name)
	ctx := context.Background()
	if p.Sidecar != nil {
		p.Sidecar.Drain(ctx, deadline)
	} else {
		p.Gateway.Drain(ctx)
	}
	f.end(p)
}

// end removes a process that has nothing left to do.
func (f *Fleet) end(p *Process) {
	f.mu.Lock()
	delete(f.processes, p.Entry.Name)
	f.past = append(f.past, p)
	f.mu.Unlock()
	p.cancel()
	f.Net.Reset(p.Entry.Name)
	f.List.Remove(p.Entry.Name)
}
