// Package resume decides at which software version a resumed stream may continue. What two versions
// of a runner's software write does not fit together, and runners don't check this, so a stream
// continues only at the version that brought its first event, its origin.
//
// Table holds the origins of streams, those that this gateway began and those that others announced.
// Versions tracks which versions serve: while a service has only one, origins need not be announced.
// Decide combines both with the replies of other gateways. The package does no I/O; callers pass in
// the time.
package resume

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLifetime and maxLifetime bound the time for which an origin is kept. Clients choose their
	// timeouts, so there is an upper bound.
	minLifetime = 15 * time.Second
	maxLifetime = 2 * time.Minute
	// lifetimeMargin is added to the client's timeout: requests wait in queues and on links.
	lifetimeMargin = 2 * time.Second
)

// Lifetime returns how long the origin of a stream is kept whose client waits for a timeout, over all
// of its attempts.
func Lifetime(timeout time.Duration) time.Duration {
	return min(max(timeout+lifetimeMargin, minLifetime), maxLifetime)
}

// Key identifies a stream. It is a digest, because clients choose the IDs of their requests.
type Key uint64

// KeyOf returns the key of the stream whose first event was brought by the request with an ID. A
// client can't name the streams of another workspace.
func KeyOf(service, workspace, id string) Key {
	h := sha256.New()
	for _, part := range []string{service, workspace, id} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Draw returns the number in [0, 1) that an ID determines, the same at all gateways.
func Draw(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// String returns the key as it is logged.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Origin is the software version that brought the first event of a stream.
type Origin struct {
	Key Key
	// Version is empty if it is not certain, see Table.Doubt.
	Version string
	// Runner is the digest of the incarnation at which the stream begins, see RunnerDigest. It is 0 once that
	// incarnation is confirmed.
	Runner uint64
	// Left is the time for which the origin is kept.
	Left time.Duration
}

// RunnerDigest returns the digest of an incarnation of a runner.
func RunnerDigest(id string) uint64 { return xxhash.Sum64String(id) }

// ErrUnknown reports that a stream can't be resumed because its version is not known.
type ErrUnknown struct {
	Service string
	Key     Key
	// Why is "not_named" if the client did not name the request, "contradictory" if several versions
	// are known for it, and "not_known" otherwise.
	Why string
	// Asked and Replied are the numbers of gateways that were asked and that replied.
	Asked, Replied int
}

// The values of ErrUnknown.Why.
const (
	NotNamed      = "not_named"
	Contradictory = "contradictory"
	NotKnown      = "not_known"
)

// Error implements error.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("software version of the stream is unknown: service=%s stream=%s why=%s asked=%d replied=%d", e.Service, e.Key, e.Why, e.Asked, e.Replied)
}

// ErrNoRunner reports that a stream can't be resumed because no engine of its version decodes.
type ErrNoRunner struct {
	Service, Version string
	// Registered is the number of engines of the version that are registered and not leaving, but do
	// not decode. 0 means that the version is gone.
	Registered int
}

// Error implements error.
func (e *ErrNoRunner) Error() string {
	return fmt.Sprintf("no engine decodes at the software version of the stream: service=%s software=%s registered=%d", e.Service, e.Version, e.Registered)
}
