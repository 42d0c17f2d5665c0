package ingress

import (
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quarantine"
)

const (
	// soundEvents is the number of events in a response to a prompt from which on the parts of the prompt are
	// sound. A part that crashes runners does so as the response begins.
	soundEvents = 4
	// ticksPerDecision is the number of dispatch intervals between two decisions on parts of prompts.
	ticksPerDecision = 10
)

// checkParts returns *quarantine.ErrPartsQuarantined if the prompt holds parts that crash runners.
func (x *exchange) checkParts() error {
	table := x.g.options.Suspicion.Parts
	if table.Empty() {
		return nil
	}
	before := x.probing
	var err error
	x.probing, err = table.Check(x.call.SharedParts, before, time.Now())
	if x.probing != before {
		x.logStep("parts_probed", decisionlog.F("set", x.probing), decisionlog.F("parts", x.call.SharedParts))
	}
	return err
}

// checkRepeat returns *quarantine.ErrSuspectedParts if the request, which broke off at a runner, must not be
// sent to another one.
func (x *exchange) checkRepeat() error {
	table := x.g.options.Suspicion.Parts
	if table == nil || table.Empty() {
		return nil
	}
	return table.CheckRepeat(x.call.SharedParts)
}

// suspectedParts reports whether an error is *quarantine.ErrSuspectedParts.
func suspectedParts(err error) bool {
	var suspected *quarantine.ErrSuspectedParts
	return errors.As(err, &suspected)
}

// recordSound records that a runner wrote events to the prompt.
func (x *exchange) recordSound() {
	if table := x.g.options.Suspicion.Parts; table != nil && !table.Empty() {
		x.g.reportParts(table.RecordSound(x.call.SharedParts, time.Now()))
	}
}

// crashedOnParts records that a runner crashed before it wrote an event to a prompt.
func (g *Ingress) crashedOnParts(c quarantine.Crash) {
	g.reportParts(g.options.Suspicion.Parts.RecordCrash(c))
	g.decideParts(time.Now())
}

// decideParts quarantines the parts of prompts that crash runners according to the evidence.
func (g *Ingress) decideParts(now time.Time) {
	table := g.options.Suspicion.Parts
	if table == nil || table.Empty() {
		return
	}
	blames := table.Decide(now)
	for _, b := range blames {
		g.partsQuarantined(b.Parts, "found", decisionlog.F("crashes", b.Crashes), decisionlog.F("first", now.Sub(b.Since)))
	}
	g.reportParts(quarantine.Evidence{Blames: blames})
}

// reportParts sends evidence to the other gateways, unless it is empty.
func (g *Ingress) reportParts(e quarantine.Evidence) {
	if len(e.Crashes)+len(e.Sound)+len(e.Blames) > 0 {
		g.options.Suspicion.ReportParts(e)
	}
	if len(e.Sound) > 0 {
		g.options.Log.Write(decisionlog.KindState, "parts_sound", decisionlog.F("parts", soundParts(e.Sound)))
	}
}

func soundParts(list []quarantine.Sound) quarantine.Parts {
	out := make(quarantine.Parts, 0, len(list))
	for _, s := range list {
		out = append(out, s.Part)
	}
	return out
}

// ReceivePartEvidence applies a peer's evidence about parts of prompts.
func (g *Ingress) ReceivePartEvidence(e quarantine.Evidence) {
	table := g.options.Suspicion.Parts
	if table == nil {
		return
	}
	now := time.Now()
	for _, b := range table.Receive(e, now) {
		g.partsQuarantined(b.Parts, "told")
	}
	if len(e.Crashes) > 0 {
		g.decideParts(now)
	}
}

// ReadPartQuarantine applies a quarantine of parts of prompts that was read from the store.
func (g *Ingress) ReadPartQuarantine(parts quarantine.Parts) {
	if table := g.options.Suspicion.Parts; table != nil && table.RecordPublished(parts, time.Now()) {
		g.partsQuarantined(parts, "read")
	}
}

// EndPartQuarantine records that a quarantine of parts was removed from the store.
func (g *Ingress) EndPartQuarantine(id quarantine.SetID) {
	if table := g.options.Suspicion.Parts; table != nil {
		table.RecordRemoved(id, time.Now())
	}
}

// QuarantinedParts returns the quarantined sets of parts.
func (g *Ingress) QuarantinedParts() []quarantine.Blame {
	if table := g.options.Suspicion.Parts; table != nil {
		return table.Quarantined(time.Now())
	}
	return nil
}

// LiftPartQuarantine ends the quarantine of a set of parts at all gateways. It fails with
// *quarantine.ErrUnknownSet.
func (g *Ingress) LiftPartQuarantine(id quarantine.SetID) error {
	table := g.options.Suspicion.Parts
	if table == nil {
		return &quarantine.ErrUnknownSet{Set: id}
	}
	e, err := table.Lift(id, time.Now())
	if err != nil {
		return err
	}
	g.options.Log.Write(decisionlog.KindState, "parts_quarantine_lifted", decisionlog.F("set", id))
	g.reportParts(e)
	return nil
}

// partsQuarantined logs and counts a new quarantine.
func (g *Ingress) partsQuarantined(parts quarantine.Parts, how string, more ...decisionlog.Field) {
	g.metrics.partQuarantines.Inc()
	g.options.Log.Write(decisionlog.KindState, "parts_quarantined", append([]decisionlog.Field{
		decisionlog.F("set", parts.ID()), decisionlog.F("parts", parts), decisionlog.F("how", how)}, more...)...)
}

// quarantineLeft returns the remaining time of the quarantine that an error reports, and false if it reports
// none.
func quarantineLeft(err error) (time.Duration, bool) {
	var request *quarantine.ErrQuarantined
	var parts *quarantine.ErrPartsQuarantined
	switch {
	case errors.As(err, &request):
		return request.Left, true
	case errors.As(err, &parts):
		return parts.Left, true
	}
	return 0, false
}
