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

// access admits requests by API key and workspace limit. Gateways of this package, which use
// sidecars, do not report the spending of workspaces to each other, so each enforces an equal share
// of every limit.
type access struct {
	quota *quota.Ledger

	mu sync.Mutex
	// document is the document from which directory was built.
	document  *fleet.Document
	directory *workspace.Directory
	err       error
}

// limitWindow is the time window over which limits are enforced. Overshoot and Slack of the
// allowance stay 0, so no spending beyond the limit is allowed.
const limitWindow = 8 * time.Second

func newAccess() *access {
	return &access{quota: quota.New(quota.Allowance{Window: limitWindow}, quota.DefaultShares())}
}

// workspaces returns the workspace directory of a document, or nil if the document has none.
func (a *access) workspaces(d *fleet.Document, view *fleet.View, self string) (*workspace.Directory, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.quota.SetMembers(otherGateways(view, self), limitWindow, now)
	if a.document == d {
		return a.directory, a.err
	}
	a.document = d
	a.directory, a.err = d.Directory()
	if a.err == nil {
		a.quota.Configure(a.directory.All(), now)
	}
	return a.directory, a.err
}

// otherGateways returns the names of the gateways other than this one that are not leaving.
func otherGateways(view *fleet.View, self string) []string {
	var names []string
	for _, m := range view.Members {
		if m.Role == platform.RoleGateway && !m.Leaving && m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}

// Workspaces returns the current workspaces, or nil if the configuration requires no API keys. It
// fails with *workspace.ErrWorkspace.
func (g *Gateway) Workspaces() (*workspace.Directory, error) {
	return g.access.workspaces(g.Keeper.Document(), g.View(), g.Self.Name)
}

// Usage returns the recent spending of at most limit workspaces at this gateway.
func (g *Gateway) Usage(limit int) []quota.Status { return g.access.quota.Status(limit, time.Now()) }

// charge deducts the request's maximum cost from the limit of its workspace. It fails with
// *workspace.ErrWorkspace, *workspace.ErrCredential or *quota.ErrQuota.
func (g *Gateway) charge(req *Request, promptTokens, maxTokens int) error {
	directory, err := g.Workspaces()
	if err != nil || directory == nil {
		return err
	}
	w := directory.ByName(req.Workspace)
	if w == nil {
		return &workspace.ErrCredential{Why: workspace.Unknown}
	}
	cost := w.Limit.Cost(promptTokens, maxTokens)
	if err := g.access.quota.Admit(w, cost, time.Now()); err != nil {
		return err
	}
	req.charged, req.cost = w, cost
	return nil
}

// refund returns the cost charged for a request that has not run.
func (g *Gateway) refund(req *Request, outcome request.Outcome) {
	if req.charged != nil && outcome == request.NotRun {
		g.access.quota.Refund(req.charged, req.cost, time.Now())
		req.charged = nil
	}
}
