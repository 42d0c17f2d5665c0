package process

import (
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

// news returns the events that no relay has brought, nor a later one of the same key.
// The caller holds the lock.
func (f *feed) news(events []store.Event) []store.Event {
	out := make([]store.Event, 0, len(events))
	for _, e := range events {
		if e.Revision > f.relayed[e.Key] {
			out = append(out, e)
		}
	}
	return out
}

// passedOn reports whether relays pass changes of a key on: runners and the
// configuration.
func passedOn(key string) bool {
	_, runner := platform.RunnerID(key)
	return runner || key == platform.ConfigKey
}

// receive takes changes of the store from a relay. The own watch brings them again
// later, as far as they were lost.
func (f *feed) receive(events []store.Event) {
	f.applying.Lock()
	defer f.applying.Unlock()
	at := f.copy.reached()
	if at == 0 {
		return
	}
	var applied int
	for _, e := range f.news(events) {
		if e.Revision <= at || !passedOn(e.Key) {
			continue
		}
		f.copy.apply([]store.Event{e}, at)
		f.event(e, at)
		f.relayed[e.Key] = e.Revision
		applied++
	}
	if applied > 0 {
		f.log.Write(decisionlog.KindState, "store_changes_relayed", decisionlog.F("changes", applied), decisionlog.F("at", at))
	}
}
