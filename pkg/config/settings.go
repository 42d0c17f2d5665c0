// Package config holds the settings of hopwell's processes: YAML files, read
// strictly. Whatever is wrong is reported with file, line, column, field and
// what was expected.
package config

import (
	"github.com/hopwell/hopwell/pkg/fleet"
)

// Instance says who and where a process is. It comes from settings only.
type Instance struct {
	Name   string            `yaml:"name"`
	Domain string            `yaml:"domain"`
	Region string            `yaml:"region"`
	Labels map[string]string `yaml:"labels"`
}

// Listen gives the addresses that a process listens on.
type Listen struct {
	// Callers is the gateway's public address.
	Callers string `yaml:"callers"`
	// Inner and Admin belong on the operators' network only.
	Inner string `yaml:"inner"`
	Admin string `yaml:"admin"`
}

// Limits bounds what callers may ask of a gateway.
type Limits struct {
	OpenRequests             int `yaml:"open_requests"`
	OpenRequestsPerWorkspace int `yaml:"open_requests_per_workspace"`
	PromptTokens             int `yaml:"prompt_tokens"`
}

// Drain gives the times of a planned stop.
type Drain struct {
	// BalancerWait is how long the balancer may take to see the failing health
	// page.
	BalancerWait fleet.Duration `yaml:"balancer_wait"`
	// Longest bounds the wait for running work.
	Longest fleet.Duration `yaml:"longest"`
}

// Gateway is the settings file of `hopwelld gateway`.
type Gateway struct {
	Instance Instance       `yaml:"instance"`
	Platform string         `yaml:"platform"`
	Listen   Listen         `yaml:"listen"`
	Policy   string         `yaml:"policy"`
	Lease    fleet.Duration `yaml:"lease"`
	Limits   Limits         `yaml:"limits"`
	Drain    Drain          `yaml:"drain"`
	Log      string         `yaml:"log"`
}

// Guesses are a sidecar's first values for what it learns later.
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
	Engine    string  `yaml:"engine"`
	Service   string  `yaml:"service"`
	Slots     int     `yaml:"slots"`
	Admission string  `yaml:"admission"`
	Guesses   Guesses `yaml:"guesses"`
	Drain     Drain   `yaml:"drain"`
	Log       string  `yaml:"log"`
}
