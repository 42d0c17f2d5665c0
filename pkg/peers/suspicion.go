package peers

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// SendSuspicion informs other gateways at once of a request whose calls to runners broke off: all
// of them if the request is quarantined, otherwise those that its digest selects. So calls that
// broke off at different gateways are counted by the same gateways whatever the number of gateways.
// Each report repeats all that this gateway recorded of the request, which makes up for a lost
// datagram.
func (x *Exchange) SendSuspicion(r quarantine.Report, now time.Time) {
	encoded := []*wirepb.Suspicion{encodeSuspicion(r, now)}
	chosen := x.subset.Load().GatewaysForKey(r.Digest.String())
	var out []datagram
	x.mu.Lock()
	for _, m := range x.members {
		if m.alive && (r.Left > 0 || slices.Contains(chosen, m.name)) {
			out = append(out, x.newDatagram(m, &wirepb.GatewayState{Suspicions: encoded}, now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

func encodeSuspicion(r quarantine.Report, now time.Time) *wirepb.Suspicion {
	out := &wirepb.Suspicion{Asked: r.Digest[:], LeftMs: uint32(r.Left.Milliseconds())}
	for _, b := range r.Breaks {
		age := max(0, now.Sub(b.At))
		out.BrokenAt = append(out.BrokenAt, &wirepb.BrokenAt{Runner: b.Runner, Early: b.Early, AgeMs: uint32(age.Milliseconds())})
	}
	return out
}

// decodeSuspicions returns the reports of a message. It drops those whose digest has the wrong length.
func decodeSuspicions(list []*wirepb.Suspicion, now time.Time) []quarantine.Report {
	var out []quarantine.Report
	for _, s := range list {
		r := quarantine.Report{Left: time.Duration(s.LeftMs) * time.Millisecond}
		if copy(r.Digest[:], s.Asked) != len(r.Digest) || len(s.Asked) != len(r.Digest) {
			continue
		}
		for _, b := range s.BrokenAt {
			at := now.Add(-time.Duration(b.AgeMs) * time.Millisecond)
			r.Breaks = append(r.Breaks, quarantine.Break{Runner: b.Runner, Early: b.Early, At: at})
		}
		out = append(out, r)
	}
	return out
}
