package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/process"
)

// settingsLook is the time between two looks at the settings file.
const settingsLook = 2 * time.Second

func newIngress() *cobra.Command {
	var file, variable string
	cmd := &cobra.Command{
		Use:   "ingress",
		Short: "Run an ingress before engines that admit by themselves",
		Long:  "Run an ingress: it serves operators' routes before runners that admit by\nthemselves, without sidecars. SIGTERM starts a planned stop, SIGHUP reads the\nsettings again; they are also read when the file has changed.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if variable != "" {
				file = os.Getenv(variable)
			}
			// From the first moment on: a signal that nobody takes ends the process.
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			c, err := config.LoadIngress(file)
			if err != nil {
				return err
			}
			p, err := process.StartIngress(c, os.Stdout)
			if err != nil {
				return err
			}
			serveIngress(p, file, signals)
			return nil
		},
	}
	cmd.Flags().StringVarP(&file, "config", "c", "", "settings file (see `hopwelld config`)")
	cmd.Flags().StringVar(&variable, "config-env", "", "environment variable that holds the settings file's path")
	cmd.MarkFlagsOneRequired("config", "config-env")
	cmd.MarkFlagsMutuallyExclusive("config", "config-env")
	return cmd
}

// serveIngress waits for signals and for changes of the settings file until the
// planned stop is over.
func serveIngress(p *process.Ingress, file string, signals <-chan os.Signal) {
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	seen := stamp(file)
	stopping := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				seen = stamp(file)
				_ = p.Reload(file)
			case stopping:
				return
			default:
				stopping = true
				go p.Stop()
			}
		case <-look.C:
			if now := stamp(file); now != seen {
				seen = now
				_ = p.Reload(file)
			}
		case <-p.Stopped():
			return
		}
	}
}

// stamp tells one state of a file from another; it is empty if there is none.
func stamp(file string) string {
	i, err := os.Stat(file)
	if err != nil {
		return ""
	}
	return fmt.Sprint(i.ModTime().UnixNano(), i.Size())
}
