// Package cmds implements the commands of hopwell.
package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/clidocs"
	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/opclient"
)

// Exit codes, which scripts rely on, the default platform URL and the output formats.
const (
	exitOK       = 0
	exitFailed   = 1
	exitInput    = 2
	exitRefused  = 3
	exitUnknown  = 4
	envPlatform  = "HOPWELL_PLATFORM"
	defaultURL   = "http://127.0.0.1:7400"
	formatText   = "text"
	formatJSON   = "json"
	formatChrome = "chrome"
)

// options are the flags that all commands share.
type options struct {
	platform string
	admin    []string
	format   string
}

// client returns a client for the fleet that the flags select.
func (o *options) client() *opclient.Client { return opclient.New(o.platform, o.admin) }

// New returns the command tree.
func New() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:   "hopwell",
		Short: "Operate a hopwell fleet",
		Long: "hopwell changes the configuration of a fleet, shows its state and explains its\ndecisions.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 bad input, 3 refused (a conflict, or a kind of\nrequests would have no runner), 4 unknown whether the change took effect.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringVar(&o.platform, "platform", platformURL(), "base URL of the platform, which serves the instance list ($"+envPlatform+")")
	f.StringSliceVar(&o.admin, "admin", nil, "admin addresses of the processes to use instead of the instance list")
	f.StringVarP(&o.format, "output", "o", formatText, "output format: text or json; chrome for timeline, svg for losses")
	root.AddCommand(newLabel(&o), newSelector(&o), newWorkspace(&o), newDomain(&o), newStatus(&o), newExplain(&o), newTimeline(&o), newWhy(&o), newLosses(&o), newDrain(&o), newCheck())
	root.AddCommand(clidocs.New(root))
	return root
}

// platformURL returns the default of --platform. The documented default does not
// depend on the environment.
func platformURL() string {
	if v := os.Getenv(envPlatform); v != "" {
		return v
	}
	return defaultURL
}

// errInput reports an invalid argument.
type errInput struct {
	What, Expected string
}

// Error implements error.
func (e *errInput) Error() string {
	return fmt.Sprintf("invalid argument: %s expected=%q", e.What, e.Expected)
}

// Main runs a command line and returns its exit code.
func Main(args []string) int {
	root := New()
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var response *opclient.ErrAnswer
	var input *errInput
	var settings *config.ErrSettings
	var file *config.ErrFile
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &input), errors.As(err, &settings), errors.As(err, &file):
		return exitInput
	case errors.As(err, &response):
		return responseExitCode(response)
	}
	return exitFailed
}

func responseExitCode(e *opclient.ErrAnswer) int {
	switch {
	case e.Status == http.StatusConflict:
		return exitRefused
	case e.Status == http.StatusBadRequest:
		return exitInput
	case e.Kind == "gossip.ErrUnsettled":
		return exitUnknown
	}
	return exitFailed
}

// show writes v as JSON, or calls text to write it in text format.
func (o *options) show(w io.Writer, v any, text func(io.Writer)) error {
	switch o.format {
	case formatJSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case formatText:
		text(w)
		return nil
	}
	return &errInput{What: "output=" + o.format, Expected: "text or json"}
}
