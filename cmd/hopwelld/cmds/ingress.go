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

// settingsPollInterval is the time between two checks of the settings file for changes.
const settingsPollInterval = 2 * time.Second

func newIngress() *cobra.Command {
	var file, variable string
	cmd := &cobra.Command{
		Use:   "ingress",
		Short: "Run an ingress in front of runners that control admission themselves",
		Long:  "Run an ingress, which serves the routes of the settings in front of runners that\ncontrol admission themselves and have no sidecars. SIGTERM starts a planned stop, a\nsecond SIGTERM stops the process at once. SIGHUP reloads the settings; they are also\nreloaded when the file changes.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if variable != "" {
				file = os.Getenv(variable)
			}
			// Signals are registered before the settings are loaded, since an unregistered signal
			// ends the process.
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

// serveIngress handles signals and changes of the settings file until the planned stop
// is over. A second stop signal ends the planned stop at once.
func serveIngress(p *process.Ingress, file string, signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastStamp := fileStamp(file)
	stopping := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				lastStamp = fileStamp(file)
				_ = p.Reload(file)
			case stopping:
				return
			default:
				stopping = true
				go p.Stop()
			}
		case <-poll.C:
			if now := fileStamp(file); now != lastStamp {
				lastStamp = now
				_ = p.Reload(file)
			}
		case <-p.Stopped():
			return
		}
	}
}

// fileStamp returns the modification time and size of a file, to detect changes. It is
// empty if the file can't be read.
func fileStamp(file string) string {
	i, err := os.Stat(file)
	if err != nil {
		return ""
	}
	return fmt.Sprint(i.ModTime().UnixNano(), i.Size())
}
