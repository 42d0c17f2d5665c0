package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/demo"
)

// demoStartTimeout limits the time until the demo is ready.
const demoStartTimeout = 30 * time.Second

func newDemo() *cobra.Command {
	var o demo.Options
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a demo fleet with fake runners on loopback",
		Long:  "Run fakes of the platform, of six model engines and of a plain service, with their\nsidecars and two gateways, in one process on loopback until interrupted.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
			defer cancel()
			d, err := demo.Start(startCtx, o)
			if err != nil {
				return err
			}
			defer d.Close()
			printEndpoints(cmd, d)
			<-ctx.Done()
			return nil
		},
	}
	cmd.AddCommand(newIngressDemo())
	cmd.Flags().StringVar(&o.Platform, "platform", "", "address of the fake platform (default a free port)")
	cmd.Flags().StringSliceVar(&o.Callers, "callers", nil, "addresses on which the gateways serve clients (default free ports)")
	cmd.Flags().StringSliceVar(&o.Admin, "admin", nil, "admin addresses of the gateways (default free ports)")
	return cmd
}

// printEndpoints prints the addresses of the fleet and example commands.
func printEndpoints(cmd *cobra.Command, d *demo.Demo) {
	out := cmd.OutOrStdout()
	for i, g := range d.Gateways {
		fmt.Fprintf(out, "gateway %d   callers http://%s   admin http://%s\n", i+1, g.Ports().Callers, g.Ports().Admin)
	}
	fmt.Fprintf(out, "platform    %s\n\n", d.PlatformURL)
	fmt.Fprintf(out, "curl -N http://%s/v1/completions -d '{\"model\":%q,\"prompt\":\"Welcome aboard\",\"max_tokens\":32,\"stream\":true}'\n", d.Gateways[0].Ports().Callers, demo.Model)
	fmt.Fprintf(out, "curl http://%s/services/%s/lookup?q=hull\n", d.Gateways[0].Ports().Callers, demo.Service)
	fmt.Fprintf(out, "hopwell --platform %s status\n", d.PlatformURL)
}
