package cmds

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/platform"
)

func newDrain(o *options) *cobra.Command {
	var deadline time.Duration
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Start a planned stop of an instance's process, which cuts off no request",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.client().Drain(cmd.Context(), args[0], deadline); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "draining %s\n", args[0])
			return err
		},
	}
	cmd.Flags().DurationVar(&deadline, "deadline", 0, "time until the instance is stopped (default no deadline); streams that would not finish by then move to another runner")
	return cmd
}

func newCheck() *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long:  "Check a settings file of a gateway, a sidecar or an ingress, or a template of one.\nAn error is reported with line, column, field and the expected value, and the exit\ncode is 2.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			if platform.IsTemplate(string(data)) {
				text, err := platform.FillExample(string(data))
				if err != nil {
					return &errInput{What: err.Error(), Expected: "a template field that the platform fills in"}
				}
				data = []byte(text)
			}
			if role == "" {
				role = config.Kind(data)
			}
			switch role {
			case "gateway":
				_, err = config.ParseGateway(args[0], data)
			case "sidecar":
				_, err = config.ParseSidecar(args[0], data)
			case "ingress":
				_, err = config.ParseIngress(args[0], data)
			default:
				err = &errInput{What: "role=" + role, Expected: "gateway, sidecar or ingress"}
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid, role=%s\n", args[0], role)
			return err
		},
	}
	cmd.Flags().StringVar(&role, "role", "", "gateway, sidecar or ingress (default derived from the keys of the file)")
	return cmd
}
