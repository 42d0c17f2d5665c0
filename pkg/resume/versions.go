package resume

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// leaveTime is how long a runner may still serve after its entry has gone.
	leaveTime = 15 * time.Second
	// dropDelay is how much longer a version stays in the record than streams may have it: gateways see a
	// runner leave at different times, and one must not add again what another has removed.
	dropDelay = 5 * time.Second
	// maxSoleTime bounds the time for which a gateway may conclude that a stream began before a second version
	// came. For so long a gateway that was lost since then is still in the membership lists.
	maxSoleTime = time.Minute
	// settleTime is how long after a restore of the store its entries may lack runners that serve: they write
	// them again within some 2 s.
	settleTime = 3 * time.Second
	// recordWait is how long new streams do not begin at a version that is not in the record, if no runner of a
	// version in the record serves. Writing it takes some 0.3 s. A store that takes no writes must not keep
	// streams from the only engines for longer.
	recordWait = 2 * time.Second
)

// Versions tracks which software versions serve each service. It is safe for concurrent use.
type Versions struct {
	mu       sync.RWMutex
	services map[string]*serviceVersions
	// doubtedUntil is the time until which a record may lack versions at which streams have begun.
	doubtedUntil time.Time
	// settledAt is the time until which the store may lack entries of runners that serve.
	settledAt time.Time
	// behind is set while this process has not read the store itself, see SetBehind.
	behind bool
}

type serviceVersions struct {
	// seen is when each version was last observed.
	seen map[string]time.Time
	// recorded are the versions in the record of the store, with the time when this gateway first read
	// each of them there; nil before the first record.
	recorded map[string]time.Time
	// unrecorded are the observed versions that are not in the record, with the time since when.
	unrecorded map[string]time.Time
	// sole was the only version in the record until another was added. Streams that began before may be
	// resumed until soleUntil.
	sole      string
	soleUntil time.Time
	// mixedUntil is the time until which a gateway of an earlier build, which keeps no record, has
	// observed several versions.
	mixedUntil time.Time
	// lifetime is the longest Lifetime of a stream, rounded up to a multiple of minLifetime so that the
	// record rarely changes.
	lifetime time.Duration
}

// NewVersions returns a tracker that has observed nothing.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// service returns the state of a service, and creates it if needed. The caller holds the lock.
func (v *Versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{seen: map[string]time.Time{}, unrecorded: map[string]time.Time{}, lifetime: minLifetime}
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
	before := len(s.possible(now))
	s.seen[version] = now
	if _, known := s.unrecorded[version]; !known && !s.isRecorded(version) {
		s.unrecorded[version] = now
	}
	return before == 1 && len(s.possible(now)) > 1
}

// ReadRecord applies the record of a service in the store. It reports whether streams of the service may
// now have several versions, while they had one before.
func (v *Versions) ReadRecord(service string, r Record, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	before := len(s.possible(now))
	if sole := s.onlyRecorded(); sole != "" && len(r.Versions) > 1 && !v.behind {
		s.sole, s.soleUntil = sole, now.Add(min(max(s.lifetime, r.Lifetime), maxSoleTime))
	}
	recorded := make(map[string]time.Time, len(r.Versions))
	for _, version := range r.Versions {
		recorded[version] = now
		if since, known := s.recorded[version]; known {
			recorded[version] = since
		}
		delete(s.unrecorded, version)
	}
	s.recorded, s.lifetime = recorded, max(s.lifetime, r.Lifetime)
	return before == 1 && len(s.possible(now)) > 1
}

// isRecorded reports whether the record lists a version.
func (s *serviceVersions) isRecorded(version string) bool {
	_, ok := s.recorded[version]
	return ok
}

// onlyRecorded returns the single version in the record, empty if there are several or none.
func (s *serviceVersions) onlyRecorded() string {
	if len(s.recorded) != 1 {
		return ""
	}
	for version := range s.recorded {
		return version
	}
	return ""
}

// mayBegin reports whether new streams may begin at a version: it is in the record, or there is no record
// yet, or it was observed but could not be recorded in recordWait, and no version in the record has served meanwhile. While one
// serves, a gateway that starts could take the streams of the other for streams of that one.
func (s *serviceVersions) mayBegin(version string, now time.Time) bool {
	if s.recorded == nil || s.isRecorded(version) {
		return true
	}
	since, observed := s.unrecorded[version]
	if !observed {
		return false
	}
	for recorded := range s.recorded {
		if at, seen := s.seen[recorded]; seen && at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > recordWait
}

// MayBegin reports whether new resumable streams of a service may begin at a version now.
func (v *Versions) MayBegin(service, version string, now time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.services[service]
	return s == nil || s.mayBegin(version, now)
}

// DoubtRecords handles that the store may have lost changes of records.
func (v *Versions) DoubtRecords(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doubtedUntil, v.settledAt = now.Add(maxLifetime), now.Add(settleTime)
}

// SetBehind records whether all that this process knows of the store is an earlier copy of another gateway. The
// process before it may have begun streams at versions that the copy lacks.
func (v *Versions) SetBehind(behind bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behind = behind
}

// Unannounced returns the version of streams that began before another version was added to the record: the only
// one in it, or the one that was until then. It is empty if this gateway did not read the record before.
func (v *Versions) Unannounced(service string, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil || v.behind || now.Before(s.mixedUntil) || now.Before(v.doubtedUntil) {
		return ""
	}
	if sole := s.onlyRecorded(); sole != "" {
		return sole
	}
	if now.Before(s.soleUntil) {
		return s.sole
	}
	return ""
}

// Wanted returns the record that the store should hold for a service. It is empty as long as nothing is
// known of the service.
func (v *Versions) Wanted(service string, now time.Time) Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil {
		return Record{}
	}
	keep := func(at time.Time) bool { return now.Sub(at) <= s.retention()+dropDelay }
	maps.DeleteFunc(s.seen, func(_ string, at time.Time) bool { return !keep(at) })
	maps.DeleteFunc(s.unrecorded, func(version string, _ time.Time) bool { _, seen := s.seen[version]; return !seen })
	wanted := s.recent(now)
	for version, since := range s.recorded {
		if _, seen := s.seen[version]; seen || keep(since) {
			wanted = append(wanted, version)
		}
	}
	if len(wanted) == 0 {
		return Record{}
	}
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	return Record{Versions: wanted[:min(len(wanted), maxRecorded)], Lifetime: s.lifetime}
}

// ObserveLifetime records how long the origin of a stream is kept: for so long a version that no
// longer serves may still be the origin of streams.
func (v *Versions) ObserveLifetime(service string, lifetime time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	steps := (lifetime + minLifetime - 1) / minLifetime
	s.lifetime = max(s.lifetime, min(steps*minLifetime, maxLifetime))
}

// MarkMixed records that a gateway of an earlier build has observed several versions of a service. It
// holds for the longest Lifetime of a stream, since this gateway does not know those of earlier streams.
func (v *Versions) MarkMixed(service string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(service).mixedUntil = now.Add(maxLifetime)
}

// retention returns how long after its last observation streams may have a version.
func (s *serviceVersions) retention() time.Duration { return s.lifetime + leaveTime }

// recent returns the observed versions that streams may have.
func (s *serviceVersions) recent(now time.Time) []string {
	var out []string
	for version, at := range s.seen {
		if now.Sub(at) <= s.retention() {
			out = append(out, version)
		}
	}
	return out
}

// possible returns the versions that streams may have: the observed ones and those of the record.
func (s *serviceVersions) possible(now time.Time) []string {
	out := slices.AppendSeq(s.recent(now), maps.Keys(s.recorded))
	slices.Sort(out)
	return slices.Compact(out)
}

// Mixed reports whether streams of a service may have several versions, so that their origins must
// be announced.
func (v *Versions) Mixed(service string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	return s != nil && (len(s.possible(now)) > 1 || now.Before(s.mixedUntil))
}

// Only returns the single version that streams of a service can have, empty if there may be several. If
// there is no record, no gateway that keeps records has run for longer than its creation takes.
func (v *Versions) Only(service string, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil || now.Before(s.mixedUntil) || now.Before(v.settledAt) {
		return ""
	}
	possible := s.possible(now)
	if len(possible) != 1 {
		return ""
	}
	return possible[0]
}
