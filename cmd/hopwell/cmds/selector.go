package cmds

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/fleet"
)

func newSelector(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "selector", Short: "Show and change selectors"}
	cmd.AddCommand(newSelectorApply(o), newSelectorDelete(o), newSelectorList(o))
	return cmd
}

func newSelectorApply(o *options) *cobra.Command {
	f := changeFlags{o: o}
	var file string
	cmd := &cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Add or replace the selectors listed in a YAML file",
		Long:    "Add or replace the selectors that a YAML file lists. \"-\" reads standard input.\n`hopwell selector list` prints such a file.",
		Example: "  hopwell selector list > selectors.yaml\n  hopwell selector apply -f selectors.yaml --dry-run",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := readSelectors(cmd, file)
			if err != nil {
				return err
			}
			return f.run(cmd, &fleet.Change{Apply: list})
		},
	}
	f.add(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML file with a list of selectors")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// readSelectors reads a list of selectors from a YAML file and refuses unknown keys.
func readSelectors(cmd *cobra.Command, file string) ([]fleet.Selector, error) {
	data, err := readFile(cmd, file)
	if err != nil {
		return nil, err
	}
	return config.ParseSelectors(file, data)
}

func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &config.ErrFile{File: file, Err: err}
	}
	return data, nil
}

func newSelectorDelete(o *options) *cobra.Command {
	f := changeFlags{o: o}
	cmd := &cobra.Command{
		Use:   "delete NAME...",
		Short: "Delete selectors",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.run(cmd, &fleet.Change{Delete: args})
		},
	}
	f.add(cmd)
	return cmd
}

func newSelectorList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Print the selectors in the format that apply reads",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := o.client().Document(cmd.Context())
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), doc.Selectors, func(w io.Writer) {
				fmt.Fprintf(w, "# revision %d\n", doc.Revision)
				var b bytes.Buffer
				_ = yaml.NewEncoder(&b).Encode(doc.Selectors)
				_, _ = w.Write(b.Bytes())
			})
		},
	}
}
