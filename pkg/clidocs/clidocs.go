// Package clidocs generates the reference pages of the command-line tools from their
// command definitions.
package clidocs

import (
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// dirMode is the mode of the directory that Write creates.
const dirMode = 0o755

// Write writes one Markdown page for each command to a directory, which it creates
// if needed.
func Write(root *cobra.Command, dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	root.DisableAutoGenTag = true
	return doc.GenMarkdownTree(root, dir)
}

// New returns the hidden command that writes the pages of a command tree.
func New(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:    "docs DIR",
		Short:  "Write the reference pages of all commands",
		Args:   cobra.ExactArgs(1),
		Hidden: true,
		RunE:   func(_ *cobra.Command, args []string) error { return Write(root, args[0]) },
	}
}
