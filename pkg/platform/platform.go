// Package platform defines what hopwell needs from the platform: a small key-value
// service with compare-and-swap and watches, an instance list, and a weight
// store. The HTTP client in this package and the fakes in package fake implement
// the interfaces.
package platform

import (
	"context"
	"time"
)

// MaxValue limits one value in the key-value service, in bytes.
const MaxValue = 1 << 20

// Value is one stored value.
type Value struct {
	// Version increases with each write of the key and is 0 for a missing key.
	Version uint64
	// Data is at most MaxValue bytes.
	Data []byte
}

// KV is the platform's key-value service. Every call, including a watch that
// waits, counts against the service's rate limits of about 100 writes and 2,000
// reads per second.
//
// A call may fail with *ErrUnavailable, in which case a write may or may not
// have taken effect.
type KV interface {
	// Get reads a key. It returns a Value with Version 0 for a missing key.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes data if the key is still at the given version (0: if the key is
	// missing) and returns the new version. It fails with *ErrConflict if the key
	// is at another version. With a ttl above 0 the value is under a lease of that
	// time and is deleted when the lease expires.
	Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error)
	// Watch waits until the key's version is above the version after, for at most
	// wait, and returns the value at that time.
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
	// Role is the role of the process on the instance: RoleGateway or RoleSidecar.
	Role string `json:"role"`
	// Domain is the failure domain of the instance; Region contains that domain.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Inner is the address at which the process serves the inner protocol (package
	// wire), Admin that of its admin port.
	Inner string `json:"inner"`
	Admin string `json:"admin"`
	// Labels are set by the platform when the instance starts.
	Labels map[string]string `json:"labels,omitempty"`
	// Leaving is set once the provider reclaims the instance. The provider stops the
	// instance at Deadline.
	Leaving  bool      `json:"leaving,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
}

// List is the platform's instance list. It lags behind the instances' actual
// state.
type List interface {
	// Instances returns all live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Weights is the platform's weight store. It is rate-limited.
type Weights interface {
	// Fetch makes a model's weights available for loading on the caller's instance. It
	// fails with
	// *ErrThrottled if the rate limit is exceeded.
	Fetch(ctx context.Context, model, version, adapter string) error
}
