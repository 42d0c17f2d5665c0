package cmds

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/process"
)

func newGateway() *cobra.Command {
	return newRole("gateway", "Run a gateway",
		"Run a gateway, which receives requests from clients and chooses runners for them.\nSIGTERM starts a planned stop, which cuts off no request; a second SIGTERM stops the\nprocess at once.",
		func(file string) (*process.Process, error) {
			c, err := config.LoadGateway(file)
			if err != nil {
				return nil, err
			}
			if err := logs.Enable(c.Log); err != nil {
				return nil, err
			}
			return process.StartGateway(c, process.FromURL(c.Platform))
		})
}

func newSidecar() *cobra.Command {
	return newRole("sidecar", "Run the sidecar of a runner",
		"Run the sidecar of a model engine or a plain service, which decides on admission and\nreleases resources whose leases are no longer renewed. SIGTERM starts a planned stop,\nwhich cuts off no request; a second SIGTERM stops the process at once.",
		func(file string) (*process.Process, error) {
			c, err := config.LoadSidecar(file)
			if err != nil {
				return nil, err
			}
			if err := logs.Enable(c.Log); err != nil {
				return nil, err
			}
			return process.StartSidecar(c, process.FromURL(c.Platform))
		})
}

// newRole returns the command that runs a process of a role with a settings file.
func newRole(use, short, long string, start func(file string) (*process.Process, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := start(file)
			if err != nil {
				return err
			}
			return serve(cmd.OutOrStdout(), p)
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}

func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "config", "c", "", "settings file (see `hopwelld config`)")
	_ = cmd.MarkFlagRequired("config")
}

// serve waits for a signal, then for the end of the planned stop or a second signal.
func serve(out io.Writer, p *process.Process) error {
	ports := p.Ports()
	fmt.Fprintf(out, "ready callers=%s inner=%s admin=%s\n", ports.Callers, ports.Inner, ports.Admin)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		go p.Stop(time.Time{})
	case <-p.Stopped():
		return nil
	}
	select {
	case <-signals:
	case <-p.Stopped():
	}
	return nil
}
