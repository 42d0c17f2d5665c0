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

// ingressDemo are the flags of `hopwelld demo ingress`.
type ingressDemo struct {
	options ingressdemo.Options
	// address is the view's; every is the time between two views on the terminal, 0
	// for none.
	address, log string
	every        time.Duration
	// faults is the time between two random faults, 0 for none, and length how long
	// the demo runs, 0 for until it is interrupted.
	faults, length time.Duration
}

func newIngressDemo() *cobra.Command {
	f := ingressDemo{options: ingressdemo.DefaultOptions()}
	cmd := &cobra.Command{
		Use:   "ingress",
		Short: "Run what the users run: ingresses, engines, load and faults",
		Long: "Run ingresses before stand-ins of the platform's store, its model engines and its\n" +
			"plain runners in one process on loopback, with clients that ask all the time. The\n" +
			"state is printed every few seconds and served as text; faults are made to happen\n" +
			"by POST /faults/FAULT?target=NAME&for=5s at the same address, or at random.",
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
	flags.Float64Var(&f.options.Rate, "rate", f.options.Rate, "requests that begin in a second")
	flags.BoolVar(&f.options.Workspaces, "workspaces", true, "have the clients belong to three workspaces, one of which sends more than its limit")
	flags.Uint64Var(&f.options.Seed, "seed", f.options.Seed, "seed of the load and of the random faults")
	flags.StringVar(&f.address, "view", "127.0.0.1:0", "address of the view and of the faults on request")
	flags.DurationVar(&f.every, "every", 2*time.Second, "time between two views on the terminal, 0 for none")
	flags.DurationVar(&f.faults, "faults", 0, "time between two random faults, 0 for none")
	flags.DurationVar(&f.length, "for", 0, "how long to run, 0 for until interrupted")
	flags.StringVar(&f.log, "log-file", "", "file for the decision logs of all ingresses, for `hopwell why` and `hopwell losses`")
	return cmd
}

// run runs the demo until the context or its time ends.
func (f *ingressDemo) run(ctx context.Context, out io.Writer) error {
	if f.log != "" {
		file, err := os.Create(f.log)
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
	server, err := process.ListenHTTP(f.address, d.Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	if f.length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.length)
		defer cancel()
	}
	url := "http://" + server.Addr()
	fmt.Fprintf(out, "the view   curl %s\nfaults     %v\n           curl -X POST '%s/faults/%s?target=engine-2&for=5s'\n\n", url, ingressdemo.Faults, url, ingressdemo.Kill)
	f.watch(ctx, d, out)
	d.WriteView(out)
	return nil
}

// watch prints the view, and strikes at random, until the context ends.
func (f *ingressDemo) watch(ctx context.Context, d *ingressdemo.Demo, out io.Writer) {
	if f.faults > 0 {
		go d.StrikeAtRandom(ctx, f.faults, func(fault ingressdemo.Fault, target string) {
			fmt.Fprintf(out, "fault: %s %s\n\n", fault, target)
		})
	}
	var look <-chan time.Time
	if f.every > 0 {
		tick := time.NewTicker(f.every)
		defer tick.Stop()
		look = tick.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-look:
			d.WriteView(out)
			fmt.Fprintln(out)
		}
	}
}
