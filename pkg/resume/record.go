package resume

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// maxRecorded bounds the versions in a record.
const maxRecorded = 64

// Record lists the software versions that streams of a service may have. It is kept in the store, so that
// gateways which start know of versions that served before, also after all gateways were lost.
type Record struct {
	Versions []string
	// Lifetime is the longest Lifetime of a stream of the service, rounded up.
	Lifetime time.Duration
}

// recordBody is the form of a Record in the store.
type recordBody struct {
	Versions   []string `json:"versions"`
	LifetimeMs int64    `json:"lifetime_ms"`
}

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	return slices.Equal(r.Versions, other.Versions) && r.Lifetime == other.Lifetime
}

// ErrRecord reports that a record can't be decoded.
type ErrRecord struct {
	Why string
	Err error
}

// Error implements error.
func (e *ErrRecord) Error() string {
	return fmt.Sprintf("invalid record of software versions: why=%q cause=%v", e.Why, e.Err)
}

// Unwrap returns the cause.
func (e *ErrRecord) Unwrap() error { return e.Err }

// ParseRecord decodes a record. It fails with *ErrRecord.
func ParseRecord(value []byte) (Record, error) {
	var body recordBody
	if err := json.Unmarshal(value, &body); err != nil {
		return Record{}, &ErrRecord{Why: "not JSON", Err: err}
	}
	if n := len(body.Versions); n == 0 || n > maxRecorded {
		return Record{}, &ErrRecord{Why: fmt.Sprintf("%d versions, 1 to %d allowed", n, maxRecorded)}
	}
	if body.LifetimeMs < minLifetime.Milliseconds() || body.LifetimeMs > maxLifetime.Milliseconds() {
		return Record{}, &ErrRecord{Why: fmt.Sprintf("lifetime of %d ms, %s to %s allowed", body.LifetimeMs, minLifetime, maxLifetime)}
	}
	slices.Sort(body.Versions)
	return Record{Versions: slices.Compact(body.Versions), Lifetime: time.Duration(body.LifetimeMs) * time.Millisecond}, nil
}

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(recordBody{Versions: r.Versions, LifetimeMs: r.Lifetime.Milliseconds()})
}
