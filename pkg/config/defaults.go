package config

import _ "embed"

// GatewayDefault, SidecarDefault and IngressDefault are annotated settings files
// with the defaults, as `hopwelld config` prints them. Defaults are read from them, so
// that what is printed is what holds.
var (
	//go:embed gateway.yaml
	GatewayDefault string
	//go:embed sidecar.yaml
	SidecarDefault string
	//go:embed ingress.yaml
	IngressDefault string
)
