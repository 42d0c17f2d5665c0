package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/opclient"
)

// anyStatus returns the first gateway's view of the fleet, or else any process's.
func anyStatus(cmd *cobra.Command, o *options) (*admin.Status, error) {
	answers, err := o.client().Status(cmd.Context())
	if err != nil {
		return nil, err
	}
	var last error
	for _, a := range answers {
		if a.Err == nil {
			return &a.Value, nil
		}
		last = a.Err
	}
	return nil, &opclient.ErrNoProcess{Asked: len(answers), Err: last}
}

// processStatus is one line of `hopwell status`.
type processStatus struct {
	Instance string        `json:"instance"`
	Role     string        `json:"role"`
	Domain   string        `json:"domain"`
	State    string        `json:"state"`
	Revision uint64        `json:"revision"`
	Work     []string      `json:"work,omitempty"`
	Load     *admin.Member `json:"-"`
	Error    string        `json:"error,omitempty"`
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show all processes: role, load, drains, configuration, what is unhealthy",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			answers, err := o.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			lines := summarize(answers)
			return o.show(cmd.OutOrStdout(), lines, func(w io.Writer) { writeStatus(w, lines) })
		},
	}
}

// summarize joins each process's own word with what a gateway knows of it.
func summarize(answers []opclient.Answer[admin.Status]) []processStatus {
	known := map[string]*admin.Member{}
	var newest uint64
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		newest = max(newest, a.Value.Revision)
		for i := range a.Value.Members {
			m := &a.Value.Members[i]
			if known[m.Name] == nil || m.Load != nil {
				known[m.Name] = m
			}
		}
	}
	out := make([]processStatus, 0, len(answers))
	for _, a := range answers {
		s := processStatus{Instance: a.Process.Name, Role: a.Process.Role, Domain: a.Process.Domain, Revision: a.Value.Revision}
		s.Load = known[s.Instance]
		s.State = state(&a, s.Load, newest)
		if s.Load != nil {
			s.Work = s.Load.Work
		}
		if a.Err != nil {
			s.Error = a.Err.Error()
		}
		out = append(out, s)
	}
	return out
}

// state names what an operator should know first.
func state(a *opclient.Answer[admin.Status], m *admin.Member, newest uint64) string {
	switch {
	case a.Err != nil:
		return "silent"
	case m != nil && m.Leaving:
		return "leaving"
	case m != nil && m.Evacuated:
		return "evacuated"
	case !a.Value.Ready:
		return "not_ready"
	case a.Value.Revision < newest:
		return "behind"
	case m != nil && m.Load != nil && m.Load.Suspect:
		return "suspect"
	}
	return "ok"
}

func writeStatus(w io.Writer, lines []processStatus) {
	fmt.Fprintf(w, "%-20s %-8s %-10s %-9s %8s %-24s %s\n", "INSTANCE", "ROLE", "DOMAIN", "STATE", "REVISION", "LOAD", "WORK")
	for _, s := range lines {
		fmt.Fprintf(w, "%-20s %-8s %-10s %-9s %8d %-24s %s\n", s.Instance, s.Role, s.Domain, s.State, s.Revision, loadText(s.Load), strings.Join(s.Work, ","))
	}
}

func loadText(m *admin.Member) string {
	if m == nil || m.Load == nil {
		return "-"
	}
	return fmt.Sprintf("streams=%d/%d queue=%.0f", m.Load.Running+m.Load.Reserved, m.Load.Batch, m.Load.QueuedTokens)
}
