package cmds

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/opclient"
)

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	o      *options
	dryRun bool
	force  bool
	wait   time.Duration
	id     string
	base   uint64
}

// add registers the flags on a command.
func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "only show which instances would gain or lose which selectors")
	cmd.Flags().BoolVar(&f.force, "force", false, "allow a change that leaves a request kind without a runner")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "maximum time to wait until the change is in force in all processes (default no waiting)")
	cmd.Flags().StringVar(&f.id, "id", "", "ID of the change; a change whose ID was already applied has no further effect (default a new ID)")
	cmd.Flags().Uint64Var(&f.base, "base", 0, "revision that the change is based on (default the newest)")
}

// run sends a change and prints its effect. With --wait it then waits until the
// change is in force.
func (f *changeFlags) run(cmd *cobra.Command, c *fleet.Change) error {
	ctx, client := cmd.Context(), f.o.client()
	c.ID, c.Force, c.Base = f.id, f.force, f.base
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if c.Base == 0 {
		doc, err := client.Document(ctx)
		if err != nil {
			return err
		}
		c.Base = doc.Revision
	}
	reply, err := client.Change(ctx, c, f.dryRun)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if err := f.o.show(out, reply, func(w io.Writer) { writeChange(w, &reply) }); err != nil {
		return err
	}
	if f.wait == 0 || f.dryRun {
		return nil
	}
	return f.await(cmd, client, reply.Revision)
}

// await prints in how many processes the revision is in force, until it is in force in
// all processes that respond or the time of --wait is over.
func (f *changeFlags) await(cmd *cobra.Command, client *opclient.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), f.wait)
	defer cancel()
	last := ""
	return client.Await(ctx, revision, func(p opclient.Progress) {
		line := fmt.Sprintf("revision=%d in_force=%d of=%d silent=%s", revision, p.Total-len(p.Behind)-len(p.Silent), p.Total, strings.Join(p.Silent, ","))
		if line != last {
			fmt.Fprintln(cmd.ErrOrStderr(), line)
		}
		last = line
	})
}

func writeChange(w io.Writer, r *admin.ChangeReply) {
	word := "accepted"
	if r.DryRun {
		word = "would be accepted"
	}
	fmt.Fprintf(w, "%s as revision %d\n", word, r.Revision)
	writeWork(w, "gains", r.Gains)
	writeWork(w, "loses", r.Losses)
}

func writeWork(w io.Writer, verb string, m map[string][]string) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(w, "  %s %s %s\n", name, verb, strings.Join(m[name], ", "))
	}
}
