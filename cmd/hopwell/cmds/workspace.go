package cmds

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/workspace"
)

const (
	// keyBytes is the number of random bytes in a key (256 bits).
	keyBytes = 32
	// keyPrefix distinguishes the keys of hopwell from those of other systems.
	keyPrefix = "hw-"
	// fingerprintLength is the number of leading digits of a key's digest that identify
	// the key.
	fingerprintLength = 8
)

func newWorkspace(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "workspace",
		Short: "Show and change workspaces, their keys and limits",
		Long: "Workspaces share a fleet. As soon as one exists, every request to a route that is not\npublic needs the key of a workspace, as `Authorization: Bearer KEY`. `workspace key add`\n" +
			"creates a key and shows it once; only its digest is stored.",
	}
	key := &cobra.Command{Use: "key", Short: "Add and revoke keys"}
	key.AddCommand(newKeyAdd(o), newKeyRevoke(o))
	cmd.AddCommand(newWorkspaceList(o), newWorkspaceSet(o), newWorkspaceDelete(o), key, newWorkspaceUsage(o))
	return cmd
}

func newWorkspaceList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the workspaces with their limits and their keys' fingerprints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := o.client().Document(cmd.Context())
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), doc.Workspaces, func(w io.Writer) { writeWorkspaces(w, doc.Workspaces) })
		},
	}
}

func writeWorkspaces(w io.Writer, all []fleet.Workspace) {
	for i := range all {
		x := &all[i]
		priority := "-"
		if x.Priority != nil {
			priority = fmt.Sprint(*x.Priority)
		}
		var keys []string
		for _, k := range x.Keys {
			keys = append(keys, fingerprint(k))
		}
		fmt.Fprintf(w, "%-20s priority=%s unit=%s rate=%g burst=%g plain_tokens=%g keys=%s\n",
			x.Name, priority, x.Unit, x.Rate, x.Burst, x.PlainTokens, strings.Join(keys, ","))
	}
}

// fingerprint returns the leading digits of a key's digest.
func fingerprint(digest string) string { return digest[:min(fingerprintLength, len(digest))] }

func newWorkspaceSet(o *options) *cobra.Command {
	f := changeFlags{o: o}
	var set fleet.Workspace
	var unit string
	var priority int
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Add a workspace, or change its limit and priority",
		Long: "Add a workspace, or change those values of an existing one that are given by flags. Its keys\n" +
			"remain. If another operator changes the same workspace in the meantime, the command fails\nwith a conflict and changes nothing.",
		Example: "  hopwell workspace set lexicon --rate 60000 --burst 60000 --wait 5s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.editWorkspace(cmd, args[0], true, func(w *fleet.Workspace) error {
				changed := cmd.Flags().Changed
				if changed("unit") || w.Unit == "" {
					w.Unit = workspace.Unit(unit)
				}
				if changed("rate") {
					w.Rate = set.Rate
				}
				if changed("burst") {
					w.Burst = set.Burst
				}
				if changed("plain-tokens") {
					w.PlainTokens = set.PlainTokens
				}
				if changed("priority") {
					w.Priority = &priority
				}
				return nil
			})
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&unit, "unit", string(workspace.Tokens), "what the limit counts: tokens or requests")
	cmd.Flags().Float64Var(&set.Rate, "rate", 0, "units per second that the workspace may use at all gateways together; 0 for no limit")
	cmd.Flags().Float64Var(&set.Burst, "burst", 0, "units above the rate that it may use in a burst")
	cmd.Flags().Float64Var(&set.PlainTokens, "plain-tokens", 0, "tokens charged for a request that has no token count")
	cmd.Flags().IntVar(&priority, "priority", 0, "priority of its requests, 0 is the highest (default the priority of the selector that the request matches)")
	return cmd
}

func newWorkspaceDelete(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:   "delete NAME...",
		Short: "Delete workspaces with their keys",
		Long:  "Delete workspaces with their keys. After the last one is deleted, requests need no key.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.run(cmd, &fleet.Change{DeleteWorkspaces: args})
		},
	}
	f.add(cmd)
	return cmd
}

func newKeyAdd(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:   "add WORKSPACE",
		Short: "Create a key for a workspace and show it once",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := makeKey()
			if err != nil {
				return err
			}
			err = f.editWorkspace(cmd, args[0], false, func(w *fleet.Workspace) error {
				w.Keys = append(w.Keys, fleet.KeyText(key))
				return nil
			})
			if err == nil && !f.dryRun {
				fmt.Fprintln(cmd.OutOrStdout(), key)
			}
			return err
		},
	}
	f.add(cmd)
	return cmd
}

// makeKey returns a new random key.
func makeKey() (string, error) {
	data := make([]byte, keyBytes)
	if _, err := rand.Read(data); err != nil {
		return "", err
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(data), nil
}

func newKeyRevoke(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:     "revoke WORKSPACE FINGERPRINT",
		Short:   "Revoke a key of a workspace",
		Example: "  hopwell workspace key revoke lexicon a3edfe8c --wait 5s",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.editWorkspace(cmd, args[0], false, func(w *fleet.Workspace) error {
				before := len(w.Keys)
				w.Keys = slices.DeleteFunc(slices.Clone(w.Keys), func(k string) bool { return strings.HasPrefix(k, args[1]) })
				if before-len(w.Keys) != 1 || len(args[1]) < fingerprintLength {
					return &errInput{What: args[1], Expected: "the fingerprint of one key of the workspace, as `workspace list` shows it"}
				}
				return nil
			})
		},
	}
	f.add(cmd)
	return cmd
}

// editWorkspace changes one workspace, based on the newest configuration. If create is
// set, it adds a workspace that does not exist.
func (f *changeFlags) editWorkspace(cmd *cobra.Command, name string, create bool, edit func(w *fleet.Workspace) error) error {
	doc, err := f.o.client().Document(cmd.Context())
	if err != nil {
		return err
	}
	w, known := doc.Workspace(name)
	if !known && !create {
		return &fleet.ErrUnknownWorkspace{Name: name}
	}
	w.Name = name
	if err := edit(&w); err != nil {
		return err
	}
	if f.base == 0 {
		f.base = doc.Revision
	}
	return f.run(cmd, &fleet.Change{ApplyWorkspaces: []fleet.Workspace{w}})
}

func newWorkspaceUsage(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "usage",
		Short: "Show for each gateway the units used by recently active workspaces since the gateway started, and the units available",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			usage, err := o.client().Usage(cmd.Context())
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), usage, func(w io.Writer) { writeUsage(w, usage) })
		},
	}
}

func writeUsage(w io.Writer, usage []admin.Usage) {
	for _, u := range usage {
		fmt.Fprintf(w, "%-20s %-20s spent=%d left=%.0f of=%.0f rate=%g unit=%s\n", u.Gateway, u.Workspace, u.Spent, u.Level, u.Size, u.Limit.Rate, u.Limit.Unit)
	}
}
