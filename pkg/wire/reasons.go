package wire

// Reasons for refusing an attempt. Sidecars send them, gateways act on them.
const (
	// ReasonLeaving means that the instance is leaving and accepts no new work.
	ReasonLeaving = "leaving"
	// ReasonBehind means that the sidecar's configuration is older than the gateway's.
	ReasonBehind = "behind"
	// ReasonSelector means that no selector assigns this work to the runner.
	ReasonSelector = "selector"
	// ReasonLate means that the prefill would miss its deadline.
	ReasonLate = "late"
	// ReasonFull means that the runner has no capacity for another stream.
	ReasonFull = "full"
	// ReasonStarting means that the sidecar has not yet received a response from its
	// engine.
	ReasonStarting = "starting"
	// ReasonBad means that the request to open an attempt is invalid.
	ReasonBad = "bad"
)
