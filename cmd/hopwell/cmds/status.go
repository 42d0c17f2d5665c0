package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/opclient"
)

// anyStatus returns the status of the first process, in the order of the results, that
// responded. Gateways are the first in this order.
func anyStatus(cmd *cobra.Command, o *options) (*admin.Status, error) {
	results, err := o.client().Status(cmd.Context())
	if err != nil {
		return nil, err
	}
	var last error
	for _, r := range results {
		if r.Err == nil {
			return &r.Value, nil
		}
		last = r.Err
	}
	return nil, &opclient.ErrNoProcess{Asked: len(results), Err: last}
}

// processStatus is one row of `hopwell status`.
type processStatus struct {
	Instance string        `json:"instance"`
	Role     string        `json:"role"`
	Domain   string        `json:"domain"`
	State    string        `json:"state"`
	Revision uint64        `json:"revision"`
	Work     []string      `json:"work,omitempty"`
	Member   *admin.Member `json:"-"`
	Error    string        `json:"error,omitempty"`
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show role, failure domain, state, revision, load and selectors of all processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := o.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			lines := summarize(results)
			return o.show(cmd.OutOrStdout(), lines, func(w io.Writer) { writeStatus(w, lines) })
		},
	}
}

// summarize combines the status that each process reports of itself with its entry in
// the member lists of all processes. It prefers entries with a load, which only gateways
// report.
func summarize(results []opclient.Result[admin.Status]) []processStatus {
	members := map[string]*admin.Member{}
	var newest uint64
	for _, r := range results {
		if r.Err != nil {
			continue
		}
		newest = max(newest, r.Value.Revision)
		for i := range r.Value.Members {
			m := &r.Value.Members[i]
			if members[m.Name] == nil || m.Load != nil {
				members[m.Name] = m
			}
		}
	}
	out := make([]processStatus, 0, len(results))
	for _, r := range results {
		s := processStatus{Instance: r.Process.Name, Role: r.Process.Role, Domain: r.Process.Domain, Revision: r.Value.Revision}
		s.Member = members[s.Instance]
		s.State = processState(&r, s.Member, newest)
		if s.Member != nil {
			s.Work = s.Member.Work
		}
		if r.Err != nil {
			s.Error = r.Err.Error()
		}
		out = append(out, s)
	}
	return out
}

// processState returns the condition of a process that matters most to an operator.
func processState(r *opclient.Result[admin.Status], m *admin.Member, newest uint64) string {
	switch {
	case r.Err != nil:
		return "silent"
	case m != nil && m.Leaving:
		return "leaving"
	case m != nil && m.Evacuated:
		return "evacuated"
	case !r.Value.Ready:
		return "not_ready"
	case r.Value.Revision < newest:
		return "behind"
	case m != nil && m.Load != nil && m.Load.Suspect:
		return "suspect"
	}
	return "ok"
}

func writeStatus(w io.Writer, lines []processStatus) {
	fmt.Fprintf(w, "%-20s %-8s %-10s %-9s %8s %-24s %s\n", "INSTANCE", "ROLE", "DOMAIN", "STATE", "REVISION", "LOAD", "WORK")
	for _, s := range lines {
		fmt.Fprintf(w, "%-20s %-8s %-10s %-9s %8d %-24s %s\n", s.Instance, s.Role, s.Domain, s.State, s.Revision, loadText(s.Member), strings.Join(s.Work, ","))
	}
}

func loadText(m *admin.Member) string {
	if m == nil || m.Load == nil {
		return "-"
	}
	return fmt.Sprintf("streams=%d/%d queue=%.0f", m.Load.Running+m.Load.Reserved, m.Load.Batch, m.Load.QueuedTokens)
}
