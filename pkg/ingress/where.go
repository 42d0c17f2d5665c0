package ingress

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// notServableRetryAfter is the Retry-After of a request that no runner may serve now. Operators
// change the allowed regions, or end an evacuation, within minutes rather than seconds, so a shorter
// one would only cause useless retries.
const notServableRetryAfter = 3 * time.Second

// ErrNoRegion reports that the regions to which a request is bound contain no runner.
type ErrNoRegion struct {
	Service string
	// Regions holds the allowed regions of the route and those of the workspace, each as a
	// comma-separated list. A runner must be in all lists.
	Regions []string
}

// Error implements error.
func (e *ErrNoRegion) Error() string {
	return fmt.Sprintf("no runner in the allowed regions: service=%s regions=%q", e.Service, e.Regions)
}

// ErrEvacuated reports that all runners of a service are in evacuated failure domains.
type ErrEvacuated struct {
	Service string
	Domains []string
}

// Error implements error.
func (e *ErrEvacuated) Error() string {
	return fmt.Sprintf("all runners are in evacuated domains: service=%s domains=%s", e.Service, strings.Join(e.Domains, ","))
}

// regionLists returns the lists of regions that restrict the request: those of its route and its
// workspace, from the table at its arrival and from the one in force now.
func (x *exchange) regionLists() [][]string {
	var out [][]string
	add := func(regions []string) {
		if len(regions) > 0 {
			out = append(out, regions)
		}
	}
	add(x.route.Regions)
	if x.workspace != nil {
		add(x.workspace.Regions)
	}
	if newest := x.g.table.Load(); newest.Config.Version != x.version {
		x.addNewest(newest, add)
	}
	return out
}

// addNewest adds the lists of regions by which a newer table restricts the request.
func (x *exchange) addNewest(t *routetable.Table, add func([]string)) {
	if r := t.Match(x.call.Host, x.call.Path); r != nil {
		add(r.Regions)
	}
	if x.workspace == nil || t.Workspaces == nil {
		return
	}
	if w := t.Workspaces.ByKey(x.key); w != nil {
		add(w.Regions)
	}
}

// allows reports whether the request may be served in a failure domain. A failure domain whose
// region is not known is excluded if any list restricts the request.
func (x *exchange) allows(domain string) bool {
	region := x.g.options.Regions[domain]
	for _, regions := range x.regionLists() {
		if !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// domainFilter returns allows, or nil if the request is not restricted, so that the choice of a
// runner skips the check.
func (x *exchange) domainFilter() func(domain string) bool {
	if len(x.regionLists()) == 0 {
		return nil
	}
	return x.allows
}

// runnerFilter returns which runners may serve the request, or nil if it is not restricted.
func (x *exchange) runnerFilter() func(*runners.State) bool {
	j := enginepool.Job{Allows: x.domainFilter(), Version: x.software, AllowsVersion: x.versionFilter()}
	if j.Allows == nil && j.Version == "" && j.AllowsVersion == nil {
		return nil
	}
	return j.Accepts
}

// checkServable fails with *ErrNoRegion or *ErrEvacuated if no runner may serve the request,
// however long it waits.
func (x *exchange) checkServable() error {
	all := x.g.Directory.All(x.service)
	allowed, left := 0, 0
	evacuated := x.g.Directory.Evacuated()
	for _, r := range all {
		if !x.allows(r.Domain) {
			continue
		}
		allowed++
		if !slices.Contains(evacuated, r.Domain) {
			left++
			break
		}
	}
	switch {
	case len(all) == 0 || left > 0:
		return nil
	case allowed == 0:
		e := &ErrNoRegion{Service: x.service}
		for _, regions := range x.regionLists() {
			e.Regions = append(e.Regions, strings.Join(regions, ","))
		}
		return e
	}
	return &ErrEvacuated{Service: x.service, Domains: evacuated}
}
