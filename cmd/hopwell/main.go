// Command hopwell is the command line for operators: it changes the configuration of
// a fleet, shows its state and explains its decisions.
package main

import (
	"os"

	"github.com/hopwell/hopwell/cmd/hopwell/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
