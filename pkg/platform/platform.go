// Package platform says what hopwell needs of the platform: a small key-value
// service with compare-and-swap and watches, an instance list, and a weight
// store. The interfaces are met by HTTP clients here and by the stand-ins of
// package fake.
package platform

import (
	"context"
	"time"
)

// MaxValue is the largest value that the key-value service holds, in bytes.
const MaxValue = 1 << 20

// Value is one stored value.
type Value struct {
	// Version grows with each write of the key and is 0 for a missing key.
	Version uint64
	// Data is at most MaxValue bytes.
	Data []byte
}

// KV is the platform's key-value service. Every call, a waiting watch too,
// counts against its rates of about 100 writes and 2,000 reads a second.
//
// A call may fail with *ErrUnavailable, in which case a write may or may not
// have taken effect.
type KV interface {
	// Get reads a key. A missing key is a Value with Version 0.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes data if the key's version is still the given one (0: if the
	// key is missing) and returns the new version. It fails with *ErrConflict
	// when the version is another one. With a ttl above 0 the value is under a
	// lease of that time and then disappears.
	Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error)
	// Watch waits until the key's version is above after, at most for wait, and
	// returns the value as it then is.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// Roles of a process in the instance list.
const (
	RoleGateway = "gateway"
	RoleSidecar = "sidecar"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	// Name is unique among live instances.
	Name string `json:"name"`
	// Role is that of the process on it: RoleGateway or RoleSidecar.
	Role string `json:"role"`
	// Domain is its failure domain, Region the region of that.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Inner is the address of the process's inner port, Admin that of its
	// admin port.
	Inner string `json:"inner"`
	Admin string `json:"admin"`
	// Labels are those that the platform gave it at its start.
	Labels map[string]string `json:"labels,omitempty"`
	// Leaving is set once the owner has reclaimed it; Deadline is when it ends.
	Leaving  bool      `json:"leaving,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
}

// List is the platform's instance list. It lags behind.
type List interface {
	// Instances returns all live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Weights is the platform's weight store. It is rate-limited.
type Weights interface {
	// Fetch makes a model's weights ready for loading. It fails with
	// *ErrThrottled when asked too often.
	Fetch(ctx context.Context, model, version, adapter string) error
}
