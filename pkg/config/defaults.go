package config

import _ "embed"

// GatewayDefault, SidecarDefault and IngressDefault are annotated settings files with the
// defaults. `hopwelld config` prints them. The defaults are parsed from the same files, so
// that the printed defaults are always those in force.
var (
	//go:embed gateway.yaml
	GatewayDefault string
	//go:embed sidecar.yaml
	SidecarDefault string
	//go:embed ingress.yaml
	IngressDefault string
)
