package resume

// Reply is another gateway's reply about a stream.
type Reply struct {
	Key Key
	// Known is set if the gateway has the origin of the stream. Version is then its version, empty if
	// that is not certain.
	Known   bool
	Version string
	// Only is the single version of the service, empty if the gateway knows of several. Gateways of earlier builds
	// decide by it when the store is away.
	Only string
	// Unannounced is Versions.Unannounced at the gateway.
	Unannounced string
}

// Evidence is what a gateway knows of a stream whose client resumes it.
type Evidence struct {
	Service string
	Key     Key
	// Named is set if the client named the request that brought the first event.
	Named bool
	// Known is set if the gateway has the origin of the stream. Version is then its version, empty if
	// that is not certain.
	Known   bool
	Version string
	// Only is the single version of the service, empty if the gateway knows of several. Fresh is set if
	// the gateway's copy of the store has all changes made before the client resumed the stream. A
	// version appears in the store before a stream begins at it, so no other version can be the origin.
	Only  string
	Fresh bool
	// Unannounced is the version of streams that began before another one came, as far as this gateway knows;
	// empty if it does not. See Versions.Unannounced.
	Unannounced string
	// AskedAll is set if all other gateways were asked, not only those that keep the origin.
	AskedAll bool
	// Asked is the number of other gateways that were asked, All that of all if AskedAll is set, also those that
	// have fallen silent. Replies are the replies.
	Asked, All int
	Replies    []Reply
}

// Decide returns the version at which a stream may continue. It fails with *ErrUnknown.
func Decide(e Evidence) (string, error) {
	version, known := e.Version, e.Known
	unannounced := 0
	for _, r := range e.Replies {
		if r.Known && (!known || r.Version == version) {
			version, known = r.Version, true
		} else if r.Known {
			return "", e.unknown(Contradictory)
		}
		if r.Unannounced != "" && r.Unannounced == e.Unannounced {
			unannounced++
		}
	}
	switch {
	case known && version == "":
		return "", e.unknown(Contradictory)
	case known:
		return version, nil
	case e.Only != "" && e.Fresh:
		return e.Only, nil
	case !e.Named:
		return "", e.unknown(NotNamed)
	case e.Unannounced != "" && e.Fresh && e.AskedAll && unannounced == e.All:
		// All gateways have run since before the other version came, and none of them began the stream. So a
		// gateway did that ended before.
		return e.Unannounced, nil
	}
	return "", e.unknown(NotKnown)
}

// NeedsReplies reports whether other gateways must be asked before a decision.
func (e *Evidence) NeedsReplies() bool {
	return !e.Known && e.Named && !(e.Only != "" && e.Fresh)
}

func (e *Evidence) unknown(why string) error {
	return &ErrUnknown{Service: e.Service, Key: e.Key, Why: why, Asked: e.Asked, Replied: len(e.Replies)}
}
