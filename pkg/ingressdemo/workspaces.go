package ingressdemo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/platform/standin"
)

// demoWorkspace is a workspace of the demo with its share of the requests.
type demoWorkspace struct {
	name  string
	share float64
	// limit is the rate limit in tokens per second, and also the burst size in tokens.
	limit float64
}

// demoWorkspaces are the workspaces of the demo. The last one sends more than twice its
// limit of 4,000 tokens per second: 12 requests per second, of which 0.6 are generation
// requests with some 2,400 tokens each, times its share of 0.5 are 8,600 tokens per second.
var demoWorkspaces = []demoWorkspace{{"counter", 0.3, 60000}, {"phone-desk", 0.2, 60000}, {"night-batch", 0.5, 4000}}

// plainRequestTokens is the number of tokens charged for a request to the plain service.
const plainRequestTokens = 50

// key returns the API key of the workspace.
func (t *demoWorkspace) key() string { return "demo-key-" + t.name }

// workspaces returns the stand-ins' configuration of the workspaces.
func workspaces() []standin.Workspace {
	var out []standin.Workspace
	for _, t := range demoWorkspaces {
		out = append(out, standin.Workspace{Name: t.name, Keys: []string{t.key()}, Rate: t.limit, Burst: t.limit, PlainTokens: plainRequestTokens})
	}
	return out
}

// pickWorkspace picks a random workspace, weighted by share, for the next request.
func pickWorkspace(random *rand.Rand) *demoWorkspace {
	draw := random.Float64()
	for i := range demoWorkspaces {
		if draw -= demoWorkspaces[i].share; draw < 0 {
			return &demoWorkspaces[i]
		}
	}
	return &demoWorkspaces[len(demoWorkspaces)-1]
}

// authorize sets the Authorization header to the API key of the request's workspace.
func (c *clientRequest) authorize(r *http.Request) {
	if c.workspace != nil {
		r.Header.Set("Authorization", "Bearer "+c.workspace.key())
	}
}

// writeWorkspaces writes the usage of each workspace: the tokens spent at all gateways
// together, and the tokens left according to one of the gateways.
func (d *Demo) writeWorkspaces(w io.Writer) {
	if !d.options.Workspaces {
		return
	}
	spent, left := map[string]int64{}, map[string]quota.Status{}
	d.mu.Lock()
	for _, g := range d.gateways {
		if g == nil {
			continue
		}
		for _, s := range g.Ingress.Usage(len(demoWorkspaces)) {
			spent[s.Workspace] += s.Spent
			left[s.Workspace] = s
		}
	}
	d.mu.Unlock()
	fmt.Fprintln(w, "WORKSPACE\tLIMIT A SECOND\tSPENT\tLEFT\t")
	for _, t := range demoWorkspaces {
		s := left[t.name]
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f of %.0f\t\n", t.name, t.limit, spent[t.name], s.Level, s.Size)
	}
	fmt.Fprintln(w)
}
