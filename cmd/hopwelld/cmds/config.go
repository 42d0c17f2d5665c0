package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
)

func newConfig() *cobra.Command {
	return &cobra.Command{
		Use:       "config gateway|sidecar|ingress",
		Short:     "Print an annotated settings file with the defaults",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"gateway", "sidecar", "ingress"},
		RunE: func(cmd *cobra.Command, args []string) error {
			texts := map[string]string{"gateway": config.GatewayDefault, "sidecar": config.SidecarDefault, "ingress": config.IngressDefault}
			_, err := fmt.Fprint(cmd.OutOrStdout(), texts[args[0]])
			return err
		},
	}
}
