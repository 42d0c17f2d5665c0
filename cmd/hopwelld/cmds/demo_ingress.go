package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/ingressdemo"
	"github.com/hopwell/hopwell/pkg/process"
)

// ingressDemo holds the flags of `hopwelld demo ingress`.
type ingressDemo struct {
	options ingressdemo.Options
	// viewAddress serves the state of the demo and accepts faults. logFile receives the
	// decision logs. viewInterval is the time between two printouts of the state on the
	// terminal, 0 for none.
	viewAddress, logFile string
	viewInterval         time.Duration
	// faultInterval is the time between two random faults, 0 for none. duration is the
	// time after which the demo ends, 0 to run until interrupted.
	faultInterval, duration time.Duration
}

func newIngressDemo() *cobra.Command {
	f := ingressDemo{options: ingressdemo.DefaultOptions()}
	cmd := &cobra.Command{
		Use:   "ingress",
		Short: "Run a demo of ingresses and fake runners with load and faults",
		Long: "Run ingresses in front of fakes of the platform's store, of model engines and of\n" +
			"plain runners in one process on loopback, with clients that send requests all the\n" +
			"time. The state is printed every few seconds and served as text at the address of\n" +
			"--view. With --faults, faults are injected at random.\nPOST /faults/FAULT?target=NAME&for=5s at that address injects one.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return f.run(ctx, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&f.options.Gateways, "gateways", f.options.Gateways, "number of ingresses")
	flags.IntVar(&f.options.Engines, "engines", f.options.Engines, "number of model engines")
	flags.IntVar(&f.options.Plain, "plain", f.options.Plain, "number of plain runners")
	flags.Float64Var(&f.options.Rate, "rate", f.options.Rate, "requests that the clients send per second")
	flags.BoolVar(&f.options.Workspaces, "workspaces", true, "assign the clients to three workspaces, one of which sends more than its limit")
	flags.Uint64Var(&f.options.Seed, "seed", f.options.Seed, "seed of the load and of the random faults")
	flags.StringVar(&f.viewAddress, "view", "127.0.0.1:0", "address that serves the state and accepts faults")
	flags.DurationVar(&f.viewInterval, "every", 2*time.Second, "time between two printouts of the state on the terminal, 0 for none")
	flags.DurationVar(&f.faultInterval, "faults", 0, "time between two random faults, 0 for none")
	flags.DurationVar(&f.duration, "for", 0, "time after which the demo ends, 0 to run until interrupted")
	flags.StringVar(&f.logFile, "log-file", "", "file for the decision logs of all ingresses, for `hopwell why` and `hopwell losses`")
	return cmd
}

// run runs the demo until the context ends or its duration is over.
func (f *ingressDemo) run(ctx context.Context, out io.Writer) error {
	if f.logFile != "" {
		file, err := os.Create(f.logFile)
		if err != nil {
			return err
		}
		defer file.Close()
		f.options.Log = file
	}
	d, err := ingressdemo.Start(ctx, f.options)
	if err != nil {
		return err
	}
	defer d.Close()
	server, err := process.ListenHTTP(f.viewAddress, d.Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	if f.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.duration)
		defer cancel()
	}
	url := "http://" + server.Addr()
	fmt.Fprintf(out, "state      curl %s\nfaults     %v\n           curl -X POST '%s/faults/%s?target=engine-2&for=5s'\n\n", url, ingressdemo.Faults, url, ingressdemo.Kill)
	f.watch(ctx, d, out)
	d.WriteView(out)
	return nil
}

// watch prints the state and injects random faults until the context ends.
func (f *ingressDemo) watch(ctx context.Context, d *ingressdemo.Demo, out io.Writer) {
	if f.faultInterval > 0 {
		go d.InjectRandomFaults(ctx, f.faultInterval, func(fault ingressdemo.Fault, target string) {
			fmt.Fprintf(out, "fault: %s %s\n\n", fault, target)
		})
	}
	var ticks <-chan time.Time
	if f.viewInterval > 0 {
		tick := time.NewTicker(f.viewInterval)
		defer tick.Stop()
		ticks = tick.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			d.WriteView(out)
			fmt.Fprintln(out)
		}
	}
}
