// Package cmds implements the commands of hopwelld.
package cmds

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/hopwell/hopwell/pkg/clidocs"
	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/logs"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// New returns the command tree.
func New() *cobra.Command {
	var layers string
	root := &cobra.Command{
		Use:           "hopwelld",
		Short:         "Run a process of hopwell",
		Long:          "hopwelld runs one process of hopwell, a router for language-model serving:\na gateway, the sidecar of a runner, an ingress in front of engines that control\nadmission themselves, or a demo fleet on loopback.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return logs.Enable(layers)
		},
	}
	root.PersistentFlags().StringVar(&layers, "log", "", "layers to log, separated by commas: gateway, sidecar, fleet, http, wire")
	root.AddCommand(newGateway(), newSidecar(), newIngress(), newDemo(), newConfig())
	root.AddCommand(clidocs.New(root))
	return root
}

// Main runs a command line and returns its exit code, which is 2 for invalid
// settings.
func Main(args []string) int {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	defer klog.Flush()
	root := New()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var settings *config.ErrSettings
	var file *config.ErrFile
	var layer *logs.ErrLayer
	if errors.As(err, &settings) || errors.As(err, &file) || errors.As(err, &layer) {
		return exitSettings
	}
	return exitFailed
}
