package ingress

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// askedRunners returns set results of the check whether a runner is still there.
type askedRunners struct {
	RunnerClient
	current           bool
	alive, accessible error
}

func (c *askedRunners) Alive(context.Context, *runners.State) (bool, error) {
	return c.current, c.alive
}
func (c *askedRunners) Reachable(context.Context, *runners.State) error { return c.accessible }

// Guards against a truncated response that counts as complete because its runner has restarted before the check.
func TestProcessAtAddressConfirmsOnlyRecentData(t *testing.T) {
	const unknownTime = -1
	silent, unidentified, refused := &ErrSilent{Runner: "a"}, &ErrUnidentified{Runner: "a"}, errors.New("refused")
	for name, c := range map[string]struct {
		asked    askedRunners
		since    time.Duration
		complete bool
	}{
		"the same, at once":                   {askedRunners{current: true}, 0, true},
		"the same, later":                     {askedRunners{current: true}, 5 * time.Second, true},
		"gone":                                {askedRunners{}, 0, false},
		"silent, reachable":                   {askedRunners{alive: silent}, 0, true},
		"silent, not reachable":               {askedRunners{alive: silent, accessible: refused}, 0, false},
		"silent, reachable after a start":     {askedRunners{alive: silent}, runnerStartTime + time.Millisecond, false},
		"unidentified":                        {askedRunners{alive: unidentified, accessible: refused}, 0, true},
		"unidentified, perhaps after a start": {askedRunners{alive: unidentified}, runnerStartTime + time.Millisecond, false},
		"silent, time of data not known":      {askedRunners{alive: silent}, unknownTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := New(Options{Log: newLog(t), Runners: &c.asked})
			in.Directory.Put(runners.Runner{ID: "a", Service: "s"}, time.Now())
			x := newPlainExchange(t.Context(), in, routetable.Unsafe)
			lastData := func() (time.Time, error) {
				if c.since == unknownTime {
					return time.Time{}, errors.New("no time")
				}
				return boottime.Now().Add(-c.since), nil
			}
			err := x.confirmComplete(in.Directory.Find("a"), &Response{CloseDelimited: true, LastData: lastData})
			if c.complete {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var unknown *ErrEndUnknown
			g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
			g.Expect(x.confirmComplete(in.Directory.Find("a"), &Response{})).To(Succeed(), "a length or chunks show the end")
		})
	}
}
