package process

import "time"

const (
	// planCostFactor is the least ratio of the time between two plans to the time that a plan takes: a
	// plan for thousands of engines takes a small instance a good part of a second, in which it serves
	// nobody.
	planCostFactor = 30
	// maxPlanInterval bounds the time between two plans: a stage that lost its engines must not wait
	// longer.
	maxPlanInterval = 3 * time.Second
)

// planPacing spaces plans so that they take a small share of the time.
type planPacing struct {
	next time.Time
}

// due reports whether a plan may be made now.
func (p *planPacing) due(now time.Time) bool { return !now.Before(p.next) }

// record records a plan that began at a time and took so long.
func (p *planPacing) record(began time.Time, took time.Duration) {
	p.next = began.Add(min(planCostFactor*took, maxPlanInterval))
}
