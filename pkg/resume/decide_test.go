package resume

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a stream that continues at a guessed version, and against refusing one whose version is certain.
func TestStreamContinuesOnlyAtCertainVersion(t *testing.T) {
	known, uncertain := Reply{Known: true, Version: "v1"}, Reply{Known: true}
	before := Reply{Unannounced: "v1"}
	only, none := Reply{Only: "v1"}, Reply{}
	for name, c := range map[string]struct {
		e       Evidence
		version string
		why     string
	}{
		"own origin":                               {Evidence{Named: true, Known: true, Version: "v1", Only: "v2", Fresh: true}, "v1", ""},
		"own origin that is not certain":           {Evidence{Named: true, Known: true, Only: "v2", Fresh: true}, "", Contradictory},
		"one version, up to date":                  {Evidence{Named: true, Only: "v1", Fresh: true}, "v1", ""},
		"one version, client names nothing":        {Evidence{Only: "v1", Fresh: true}, "v1", ""},
		"one version, cut off":                     {Evidence{Named: true, Only: "v1"}, "", NotKnown},
		"one version, nobody replies":              {Evidence{Named: true, Only: "v1", Asked: 4}, "", NotKnown},
		"one version, all reply the same, cut off": {Evidence{Named: true, Only: "v1", Asked: 2, Replies: []Reply{only, only}}, "", NotKnown},
		"one version, another gateway has two":     {Evidence{Named: true, Only: "v1", Asked: 3, Replies: []Reply{only, only, none}}, "", NotKnown},
		"one version, another is known elsewhere":  {Evidence{Named: true, Only: "v2", Asked: 2, Replies: []Reply{{Only: "v2"}, known}}, "v1", ""},
		"two versions, one gateway knows":          {Evidence{Named: true, Asked: 4, Replies: []Reply{none, known}}, "v1", ""},
		"two versions, nobody knows":               {Evidence{Named: true, Asked: 4, Replies: []Reply{none, none, none, none}}, "", NotKnown},
		"two versions, client names nothing":       {Evidence{}, "", NotNamed},
		"unannounced, all gateways ran before":     {Evidence{Named: true, Unannounced: "v1", Fresh: true, AskedAll: true, All: 2, Asked: 2, Replies: []Reply{before, before}}, "v1", ""},
		"unannounced, no other gateway":            {Evidence{Named: true, Unannounced: "v1", Fresh: true, AskedAll: true}, "v1", ""},
		"unannounced, a gateway is silent":         {Evidence{Named: true, Unannounced: "v1", Fresh: true, AskedAll: true, All: 3, Asked: 2, Replies: []Reply{before, before}}, "", NotKnown},
		"unannounced, a gateway started since":     {Evidence{Named: true, Unannounced: "v1", Fresh: true, AskedAll: true, All: 2, Asked: 2, Replies: []Reply{before, none}}, "", NotKnown},
		"unannounced, only the keepers asked":      {Evidence{Named: true, Unannounced: "v1", Fresh: true, Asked: 1, Replies: []Reply{before}}, "", NotKnown},
		"unannounced, another version elsewhere":   {Evidence{Named: true, Unannounced: "v2", Fresh: true, AskedAll: true, All: 1, Asked: 1, Replies: []Reply{before}}, "", NotKnown},
		"unannounced, another gateway knows":       {Evidence{Named: true, Unannounced: "v2", Fresh: true, AskedAll: true, All: 1, Asked: 1, Replies: []Reply{known}}, "v1", ""},
		"unannounced, cut off":                     {Evidence{Named: true, Unannounced: "v1", AskedAll: true}, "", NotKnown},
		"unannounced, client names nothing":        {Evidence{Unannounced: "v1", Fresh: true, AskedAll: true}, "", NotNamed},
		"gateways contradict each other":           {Evidence{Named: true, Asked: 2, Replies: []Reply{known, {Known: true, Version: "v2"}}}, "", Contradictory},
		"a gateway is not certain":                 {Evidence{Named: true, Asked: 2, Replies: []Reply{uncertain, none}}, "", Contradictory},
		"a gateway is not certain, another is":     {Evidence{Named: true, Asked: 2, Replies: []Reply{known, uncertain}}, "", Contradictory},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			version, err := Decide(c.e)
			g.Expect(version).To(Equal(c.version))
			if c.why == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(&ErrUnknown{Why: c.why, Asked: c.e.Asked, Replied: len(c.e.Replies)}))
		})
	}
}

// Guards against asking other gateways about each resumed stream while a service has one version.
func TestOtherGatewaysAreAskedOnlyWhenNeeded(t *testing.T) {
	g := NewWithT(t)
	for e, want := range map[*Evidence]bool{
		{Named: true, Known: true}:             false,
		{Named: true, Only: "v1", Fresh: true}: false,
		{Named: true, Only: "v1"}:              true,
		{Only: "v1"}:                           false,
		{Named: true}:                          true,
		{}:                                     false,
	} {
		g.Expect(e.NeedsReplies()).To(Equal(want), "%+v", e)
	}
}
