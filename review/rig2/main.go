package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*rig) bool{
	"versions": playVersions,
	"in-place": playInPlace,
	"cold":     playCold,
	"junk":     playJunk,
}

// main plays a case: rig2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		unable("usage: rig2 CASE RECORD")
	}
	root, err := os.Getwd()
	if err != nil {
		unable("no working folder: %v", err)
	}
	r := newRig(root, newRecord(), os.Getenv("TROUBLE") != "0")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		unable("stopped")
	}()
	broken := cases[os.Args[1]](r)
	r.close()
	r.save(os.Args[2])
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
