package peers

import (
	"math"
	"time"

	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// maxSuspicions limits the reports in one datagram, at up to 150 bytes each, maxCrashes and maxBlamed the
	// crashes and the sets of parts, at up to 550 bytes each, and maxSoundParts the sound parts, at 15 bytes
	// each.
	maxSuspicions = 64
	maxCrashes    = 16
	maxBlamed     = 16
	maxSoundParts = 500
)

// SendSuspicion informs other gateways at once of a request whose calls to runners broke off: all
// of them if the request is quarantined, otherwise those that its digest selects. So calls that
// broke off at different gateways are counted by the same gateways whatever the number of gateways.
// Each report repeats all that this gateway recorded of the request, which makes up for a lost
// datagram.
func (x *Exchange) SendSuspicion(r quarantine.Report, now time.Time) {
	encoded := encodeSuspicion(r, now)
	to := x.Names()
	if r.Left == 0 {
		to = x.subset.Load().GatewaysForKey(r.Digest.String())
	}
	for _, name := range x.aliveAmong(to) {
		x.outbox.add(name, func(s *wirepb.GatewayState) { s.Suspicions = append(s.Suspicions, encoded) })
	}
}

// SendPartEvidence informs all gateways at once of evidence about parts of prompts: the requests with a part
// run at any gateway, and so does the next request with it.
func (x *Exchange) SendPartEvidence(e quarantine.Evidence, now time.Time) {
	encoded := encodePartEvidence(e, now)
	for _, name := range x.aliveAmong(x.Names()) {
		x.outbox.add(name, func(s *wirepb.GatewayState) {
			if s.PartEvidence == nil {
				s.PartEvidence = &wirepb.PartEvidence{}
			}
			s.PartEvidence.Crashes = append(s.PartEvidence.Crashes, encoded.Crashes...)
			s.PartEvidence.Sound = append(s.PartEvidence.Sound, encoded.Sound...)
			s.PartEvidence.Blamed = append(s.PartEvidence.Blamed, encoded.Blamed...)
		})
	}
}

// First reports whether this gateway ranks first for a key among those that are alive.
func (x *Exchange) First(key string) bool { return x.subset.Load().First(key, 1)[0] == x.options.Name }

// ageMs returns the age of a time in milliseconds.
func ageMs(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

func encodePartEvidence(e quarantine.Evidence, now time.Time) *wirepb.PartEvidence {
	out := &wirepb.PartEvidence{}
	for _, c := range e.Crashes {
		out.Crashes = append(out.Crashes, &wirepb.RunnerCrash{Runner: c.Runner, Request: c.Request, Parts: encodeParts(c.Parts), AgeMs: ageMs(c.At, now)})
	}
	for _, s := range e.Sound {
		out.Sound = append(out.Sound, &wirepb.SoundPart{Part: uint64(s.Part), AgeMs: ageMs(s.At, now)})
	}
	for _, b := range e.Blames {
		out.Blamed = append(out.Blamed, &wirepb.BlamedParts{Parts: encodeParts(b.Parts), SinceMs: ageMs(b.Since, now), LeftMs: uint32(b.Left.Milliseconds())})
	}
	return out
}

func encodeParts(parts quarantine.Parts) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

// decodePartEvidence returns the evidence of a message. It drops crashes and sets with more parts than a
// gateway considers.
func decodePartEvidence(e *wirepb.PartEvidence, now time.Time) quarantine.Evidence {
	var out quarantine.Evidence
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	for _, c := range e.Crashes {
		if len(c.Parts) <= quarantine.MaxParts {
			out.Crashes = append(out.Crashes, quarantine.Crash{Runner: c.Runner, Request: c.Request, Parts: decodeParts(c.Parts), At: at(c.AgeMs)})
		}
	}
	for _, s := range e.Sound {
		out.Sound = append(out.Sound, quarantine.Sound{Part: quarantine.Part(s.Part), At: at(s.AgeMs)})
	}
	for _, b := range e.Blamed {
		if len(b.Parts) <= quarantine.MaxParts {
			out.Blames = append(out.Blames, quarantine.Blame{Parts: decodeParts(b.Parts), Since: at(b.SinceMs), Left: time.Duration(b.LeftMs) * time.Millisecond})
		}
	}
	return out
}

func decodeParts(list []uint64) quarantine.Parts {
	out := make(quarantine.Parts, 0, len(list))
	for _, p := range list {
		out = append(out, quarantine.Part(p))
	}
	return out
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
