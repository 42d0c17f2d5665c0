// Command hopwell is the operators' command: it changes labels and selectors and
// tells what the fleet does and why.
package main

import (
	"os"

	"github.com/hopwell/hopwell/cmd/hopwell/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
