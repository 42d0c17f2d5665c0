// Package config parses the settings of hopwell's processes from YAML files. It
// parses strictly, and reports each error with file, line, column, field and the
// expected value.
package config

import (
	"github.com/hopwell/hopwell/pkg/fleet"
)

// Instance gives the name, location and labels of the instance that a process
// runs on. A process takes its own name, domain and region from its settings only,
// not from the platform's instance list.
type Instance struct {
	Name   string            `yaml:"name"`
	Domain string            `yaml:"domain"`
	Region string            `yaml:"region"`
	Labels map[string]string `yaml:"labels"`
}

// Listen gives the addresses that a process listens on.
type Listen struct {
	// Callers is the gateway's public address for clients.
	Callers string `yaml:"callers"`
	// Inner and Admin must be reachable from the operators' network only.
	Inner string `yaml:"inner"`
	Admin string `yaml:"admin"`
}

// Limits bounds the requests that a gateway accepts from clients: the open
// requests in total and per workspace, and the tokens in a prompt.
type Limits struct {
	OpenRequests             int `yaml:"open_requests"`
	OpenRequestsPerWorkspace int `yaml:"open_requests_per_workspace"`
	PromptTokens             int `yaml:"prompt_tokens"`
}

// Drain gives the time limits of a planned stop.
type Drain struct {
	// BalancerWait is how long the balancer may take to observe that the health
	// page fails.
	BalancerWait fleet.Duration `yaml:"balancer_wait"`
	// Longest is the maximum time to wait for running requests.
	Longest fleet.Duration `yaml:"longest"`
}

// Gateway is the settings file of `hopwelld gateway`.
type Gateway struct {
	Instance Instance `yaml:"instance"`
	Platform string   `yaml:"platform"`
	Listen   Listen   `yaml:"listen"`
	// Policy is the name of the routing policy of package route.
	Policy string `yaml:"policy"`
	// Lease is how long a runner holds memory for this gateway without a renewal.
	Lease  fleet.Duration `yaml:"lease"`
	Limits Limits         `yaml:"limits"`
	Drain  Drain          `yaml:"drain"`
	// Log lists the layers to log, separated by commas.
	Log string `yaml:"log"`
}

// Guesses are assumed values. A sidecar replaces all of them but LinkRate by
// measurements. PrefillRate is in tokens per second. The time of a decode step is
// StepBase plus StepSlope per stream. LinkRate is the rate in bytes per second at
// which KV caches leave the engine.
type Guesses struct {
	PrefillRate float64        `yaml:"prefill_rate"`
	StepBase    fleet.Duration `yaml:"step_base"`
	StepSlope   fleet.Duration `yaml:"step_slope"`
	LinkRate    float64        `yaml:"link_rate"`
}

// Sidecar is the settings file of `hopwelld sidecar`.
type Sidecar struct {
	Instance Instance `yaml:"instance"`
	Platform string   `yaml:"platform"`
	Listen   Listen   `yaml:"listen"`
	// Engine or Service is the runner's URL; exactly one is set.
	Engine  string `yaml:"engine"`
	Service string `yaml:"service"`
	// Slots is the maximum number of concurrent calls to a plain service.
	Slots int `yaml:"slots"`
	// Admission is "deadline" to admit only what can still meet its targets, or "fifo"
	// to admit everything.
	Admission string  `yaml:"admission"`
	Guesses   Guesses `yaml:"guesses"`
	Drain     Drain   `yaml:"drain"`
	// Log lists the layers to log, separated by commas.
	Log string `yaml:"log"`
}
