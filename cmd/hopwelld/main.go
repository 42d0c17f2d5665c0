// Command hopwelld is hopwell's process: a gateway, a sidecar, or a whole demo.
package main

import (
	"os"

	"github.com/hopwell/hopwell/cmd/hopwelld/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
