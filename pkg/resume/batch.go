package resume

import (
	"encoding/json"
	"fmt"
	"time"
)

// maxBatch bounds the origins in one batch.
const maxBatch = 512

// Batch lists origins of streams as they are kept in the store, so that they outlive all gateways. It
// holds only what a gateway that starts needs. The batch goes with its lease, which lasts for as long as
// the origins are kept.
type Batch struct {
	// LifetimeMs is how long the origins are kept, in milliseconds.
	LifetimeMs int64 `json:"lifetime_ms"`
	// Streams are the keys by version. The version is empty if it is not certain.
	Streams map[string][]Key `json:"streams"`
}

// NewBatch returns the batch of some origins.
func NewBatch(list []Origin) Batch {
	b := Batch{Streams: map[string][]Key{}}
	for _, o := range list {
		b.Streams[o.Version] = append(b.Streams[o.Version], o.Key)
		b.LifetimeMs = max(b.LifetimeMs, o.Left.Milliseconds())
	}
	return b
}

// ParseBatch decodes a batch. It fails with *ErrRecord.
func ParseBatch(value []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(value, &b); err != nil {
		return Batch{}, &ErrRecord{Why: "not JSON", Err: err}
	}
	n := 0
	for _, keys := range b.Streams {
		n += len(keys)
	}
	if n > maxBatch {
		return Batch{}, &ErrRecord{Why: fmt.Sprintf("%d origins, %d allowed", n, maxBatch)}
	}
	if b.LifetimeMs < 0 || b.LifetimeMs > maxLifetime.Milliseconds() {
		return Batch{}, &ErrRecord{Why: fmt.Sprintf("lifetime of %d ms, %s allowed", b.LifetimeMs, maxLifetime)}
	}
	return b, nil
}

// Encode returns the value of the batch in the store.
func (b Batch) Encode() ([]byte, error) { return json.Marshal(b) }

// Origins returns the origins of the batch. How long ago it was written is not known, so they are kept for
// their whole lifetime.
func (b Batch) Origins() []Origin {
	var out []Origin
	for version, keys := range b.Streams {
		for _, k := range keys {
			out = append(out, Origin{Key: k, Version: version, Left: time.Duration(b.LifetimeMs) * time.Millisecond})
		}
	}
	return out
}
