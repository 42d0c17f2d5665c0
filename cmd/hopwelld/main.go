// Command hopwelld runs a hopwell process: a gateway, a sidecar, an ingress or a demo
// fleet.
package main

import (
	"os"

	"github.com/hopwell/hopwell/cmd/hopwelld/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
