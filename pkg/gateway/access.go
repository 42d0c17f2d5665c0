package gateway

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// access decides by keys and limits who is served. Gateways with sidecars do not tell each other
// what workspaces spend: each has its equal part of a limit.
type access struct {
	quota *quota.Ledger

	mu sync.Mutex
	// of is the document that the directory was made of.
	of        *fleet.Document
	directory *workspace.Directory
	err       error
}

// limitWindow is the time over which limits are judged. Nothing beyond them is allowed.
const limitWindow = 8 * time.Second

func newAccess() *access {
	return &access{quota: quota.New(quota.Allowance{Window: limitWindow}, quota.DefaultShares())}
}

// workspaces returns the workspaces of a document, nil if it has none.
func (a *access) workspaces(d *fleet.Document, view *fleet.View, self string) (*workspace.Directory, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.quota.SetMembers(otherGateways(view, self), limitWindow, now)
	if a.of == d {
		return a.directory, a.err
	}
	a.of = d
	a.directory, a.err = d.Directory()
	if a.err == nil {
		a.quota.Configure(a.directory.All(), now)
	}
	return a.directory, a.err
}

// otherGateways returns the names of the gateways besides the own one.
func otherGateways(view *fleet.View, self string) []string {
	var names []string
	for _, m := range view.Members {
		if m.Role == platform.RoleGateway && !m.Leaving && m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}

// Workspaces returns the workspaces in force, nil where nobody is asked for a key. It fails with
// *workspace.ErrWorkspace.
func (g *Gateway) Workspaces() (*workspace.Directory, error) {
	return g.access.workspaces(g.Keeper.Document(), g.View(), g.Self.Name)
}

// Usage returns what this gateway spent for workspaces lately, at most a number of them.
func (g *Gateway) Usage(most int) []quota.Status { return g.access.quota.Status(most, time.Now()) }

// charge takes what a request may use from its workspace's limit. It fails with *quota.ErrQuota.
func (g *Gateway) charge(req *Request, prompt, answer int) error {
	directory, err := g.Workspaces()
	if err != nil || directory == nil {
		return err
	}
	w := directory.ByName(req.Workspace)
	if w == nil {
		return &workspace.ErrCredential{Why: workspace.Unknown}
	}
	cost := w.Limit.Cost(prompt, answer)
	if err := g.access.quota.Admit(w, cost, time.Now()); err != nil {
		return err
	}
	req.charged, req.cost = w, cost
	return nil
}

// giveBack returns what was taken for a request that has not run.
func (g *Gateway) giveBack(req *Request, outcome request.Outcome) {
	if req.charged != nil && outcome == request.NotRun {
		g.access.quota.Refund(req.charged, req.cost, time.Now())
		req.charged = nil
	}
}
