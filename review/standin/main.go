// Command standin runs the cases of the review: it starts the system's entries as processes,
// with stand-ins of the store, the operator, the replicas and the clients, and checks one
// rule of the platform's pages from what these see.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"refused-but-run": refusedButRun,
	"config-memory":   configMemory,
	"chunked-memory":  chunkedMemory,
	"no-tenants":      noTenants,
	"crashed-lookup":  crashedLookup,
	"deadly-request":  deadlyRequest,
}

func main() { os.Exit(runCase()) }

// runCase runs the case that the command line names and returns its exit code.
func runCase() int {
	trouble := flag.String("trouble", "1", "0 runs the case without its disruption")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	f, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", flag.Arg(0))
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := f(rec, *trouble != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("rule broken")
		return exitBroken
	default:
		rec.say("rule held")
		return exitHeld
	}
}
