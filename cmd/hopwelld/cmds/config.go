package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
)

func newConfig() *cobra.Command {
	return &cobra.Command{
		Use:       "config gateway|sidecar",
		Short:     "Print an annotated settings file with the defaults",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"gateway", "sidecar"},
		RunE: func(cmd *cobra.Command, args []string) error {
			text := config.GatewayDefault
			if args[0] == "sidecar" {
				text = config.SidecarDefault
			}
			_, err := fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
}
