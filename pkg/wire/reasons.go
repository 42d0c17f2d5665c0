package wire

// Reasons of a refusal, which sidecars give and gateways act on.
const (
	// ReasonLeaving says that the instance gets no new work.
	ReasonLeaving = "leaving"
	// ReasonBehind says that the sidecar's configuration is older than the gateway's.
	ReasonBehind = "behind"
	// ReasonSelector says that no selector gives the runner this work.
	ReasonSelector = "selector"
	// ReasonLate says that the prefill would miss its deadline.
	ReasonLate = "late"
	// ReasonFull says that no stream fits.
	ReasonFull = "full"
	// ReasonStarting says that the sidecar has not yet had an answer from its engine.
	ReasonStarting = "starting"
	// ReasonBad says that the order makes no sense.
	ReasonBad = "bad"
)
