package process

import (
	"io"
	"log"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

// openStore returns a client of the store at an address. The client logs changes of the store's
// era, and unknown headers in its responses.
func (f *feed) openStore(address string, m memoryPlan) *platform.Store {
	s, l := platform.NewStore(address), f.log
	s.MaxResponse, s.MaxItems, s.Refuse, s.Trim = m.message, m.storeItems, f.refuseItem, f.trimItems
	s.EraChanged = func(before, now uint64) {
		l.Write(decisionlog.KindState, "store_era", decisionlog.F("before", before), decisionlog.F("now", now))
	}
	s.UnknownHeader = func(name string) {
		l.Write(decisionlog.KindState, "store_header_unknown", decisionlog.F("header", name))
	}
	return s
}

// logLimit logs a change of a runner's rate limit.
func logLimit(l *decisionlog.Log, c runnerlimit.Change) {
	fields := []decisionlog.Field{decisionlog.F("runner", c.Runner), decisionlog.F("per_second", c.PerSecond), decisionlog.F("told_by", c.From)}
	if c.What == runnerlimit.Ends {
		fields = append(fields, decisionlog.F("after", c.For), decisionlog.F("sent", c.Sent), decisionlog.F("withheld", c.Withheld))
	}
	l.Write(decisionlog.KindState, "limit_"+c.What, fields...)
}

// logNotice logs what a runner reported in response headers, to this gateway or to another one. The
// value of the key answers is the number of responses that asked for the pause.
func logNotice(l *decisionlog.Log, c notice.Change) {
	runner := decisionlog.F("runner", c.Runner)
	switch c.What {
	case notice.Leaving:
		l.Write(decisionlog.KindState, "runner_leaving_told", runner, decisionlog.F("told_by", c.From))
	case notice.PauseBegins, notice.PauseEnds:
		l.Write(decisionlog.KindState, "runner_"+c.What, runner, decisionlog.F("for", c.For), decisionlog.F("answers", c.Asked))
	default:
		l.Write(decisionlog.KindState, "runner_notice_unknown", runner, decisionlog.F("header", c.Header))
	}
}

// logEvacuation logs that the evacuation of a failure domain begins or ends.
func (f *feed) logEvacuation(domain string, evacuated bool, at store.Revision) {
	event := "domain_restored"
	if evacuated {
		event = "domain_evacuated"
	}
	f.log.Write(decisionlog.KindState, event, decisionlog.F("domain", domain), decisionlog.F("at", at))
}

// discardLogger returns a logger that discards the HTTP server's messages about single connections,
// which are ordinary events.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
