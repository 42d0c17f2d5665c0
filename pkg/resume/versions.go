package resume

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Versions tracks which software versions serve each service. It is safe for concurrent use.
type Versions struct {
	mu       sync.Mutex
	services map[string]*serviceVersions
}

type serviceVersions struct {
	// seen is when each version was last observed.
	seen map[string]time.Time
	// mixedUntil is the time until which the store shows that several versions serve or served.
	mixedUntil time.Time
	// lifetime is the longest Lifetime of a stream.
	lifetime time.Duration
}

// NewVersions returns a tracker that has observed nothing.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// service returns the state of a service, and creates it if needed. The caller holds the lock.
func (v *Versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{seen: map[string]time.Time{}, lifetime: minLifetime}
		v.services[name] = s
	}
	return s
}

// Observe records that a runner of a version serves. It reports whether streams of the service may
// now have several versions, while they had one before.
func (v *Versions) Observe(service, version string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	s.forget(now)
	before := len(s.seen)
	s.seen[version] = now
	return before == 1 && len(s.seen) > 1
}

// ObserveLifetime records how long the origin of a stream is kept: for so long a version that no
// longer serves may still be the origin of streams.
func (v *Versions) ObserveLifetime(service string, lifetime time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	s.lifetime = max(s.lifetime, lifetime)
}

// MarkMixed records that, according to the store, several versions serve or served a service. It holds
// for the longest Lifetime of a stream, since this gateway does not know those of earlier streams.
func (v *Versions) MarkMixed(service string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(service).mixedUntil = now.Add(maxLifetime)
}

// forget removes the versions that were last observed longer ago than a stream lasts.
func (s *serviceVersions) forget(now time.Time) {
	maps.DeleteFunc(s.seen, func(_ string, at time.Time) bool { return now.Sub(at) > s.lifetime })
}

// recent returns the versions that streams may have.
func (s *serviceVersions) recent(now time.Time) []string {
	s.forget(now)
	return slices.Sorted(maps.Keys(s.seen))
}

// Mixed reports whether streams of a service may have several versions, so that their origins must
// be announced.
func (v *Versions) Mixed(service string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	return s != nil && (len(s.recent(now)) > 1 || now.Before(s.mixedUntil))
}

// Lifetime returns the longest time for which an origin of the service is kept.
func (v *Versions) Lifetime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(service).lifetime
}

// Only returns the single version that streams of a service can have, empty if there may be several.
func (v *Versions) Only(service string, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil || now.Before(s.mixedUntil) {
		return ""
	}
	recent := s.recent(now)
	if len(recent) != 1 {
		return ""
	}
	return recent[0]
}

// Recent returns the versions that streams of a service may have.
func (v *Versions) Recent(service string, now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.services[service]; s != nil {
		return s.recent(now)
	}
	return nil
}
