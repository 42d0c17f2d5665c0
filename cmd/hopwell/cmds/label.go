package cmds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/fleet"
)

func newLabel(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "label", Short: "Show and change the labels of instances"}
	cmd.AddCommand(newLabelSet(o), newLabelUnset(o), newLabelList(o))
	return cmd
}

func newLabelSet(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:     "set INSTANCE[,INSTANCE...] KEY=VALUE...",
		Short:   "Set labels",
		Example: "  hopwell label set runner-7 pool=decode --dry-run\n  hopwell label set runner-7 leaving=true --wait 5s",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			labels := fleet.Labels{}
			for _, a := range args[1:] {
				k, v, ok := strings.Cut(a, "=")
				if !ok || v == "" {
					return &errInput{What: a, Expected: "KEY=VALUE"}
				}
				labels[k] = v
			}
			return f.run(cmd, labelChange(args[0], labels))
		},
	}
	f.add(cmd)
	return cmd
}

func newLabelUnset(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:   "unset INSTANCE[,INSTANCE...] KEY...",
		Short: "Remove labels",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			labels := fleet.Labels{}
			for _, k := range args[1:] {
				labels[k] = ""
			}
			return f.run(cmd, labelChange(args[0], labels))
		},
	}
	f.add(cmd)
	return cmd
}

// labelChange returns a change that sets the same labels on several instances, whose
// names are separated by commas. An empty value removes a label.
func labelChange(instances string, labels fleet.Labels) *fleet.Change {
	c := &fleet.Change{SetLabels: map[string]fleet.Labels{}}
	for _, name := range strings.Split(instances, ",") {
		c.SetLabels[name] = maps.Clone(labels)
	}
	return c
}

func newLabelList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the instances with their labels and work",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := anyStatus(cmd, o)
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), s.Members, func(w io.Writer) { writeLabels(w, s.Members) })
		},
	}
}

func writeLabels(w io.Writer, members []admin.Member) {
	for _, m := range members {
		var pairs []string
		for _, k := range slices.Sorted(maps.Keys(m.Labels)) {
			pairs = append(pairs, k+"="+m.Labels[k])
		}
		fmt.Fprintf(w, "%-20s %s work=%s\n", m.Name, strings.Join(pairs, " "), strings.Join(m.Work, ","))
	}
}
