package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/fleet"
)

func newDomain(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "domain", Short: "Evacuate and restore failure domains"}
	cmd.AddCommand(newDomainList(o), newDomainEvacuate(o), newDomainRestore(o))
	return cmd
}

func newDomainEvacuate(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:     "evacuate DOMAIN...",
		Short:   "Stop sending new work to the runners of failure domains",
		Long:    "Stop sending new work to the runners of failure domains. Requests in progress finish\non their runners. Runners that start there later receive no work either, until\n`hopwell domain restore`.",
		Example: "  hopwell domain evacuate hall-a --dry-run\n  hopwell domain evacuate hall-a --wait 5s",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.run(cmd, &fleet.Change{Evacuate: args})
		},
	}
	f.add(cmd)
	return cmd
}

func newDomainRestore(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:   "restore DOMAIN...",
		Short: "Send new work to evacuated failure domains again",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.run(cmd, &fleet.Change{Restore: args})
		},
	}
	f.add(cmd)
	return cmd
}

func newDomainList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the evacuated failure domains",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := o.client().Document(cmd.Context())
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), doc.Evacuated, func(w io.Writer) {
				for _, name := range doc.Evacuated {
					fmt.Fprintln(w, name)
				}
			})
		},
	}
}
