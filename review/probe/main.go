// Command probe plays the cases of the second review against processes of the project.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name; each file adds its own. A case reports whether the rule was
// broken.
var cases = map[string]func(s *site, trouble bool) (bool, error){}

func main() {
	// The kernel kills the entries when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: probe CASE FOLDER BINARY")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println("cannot write the record:", err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSite(rec, os.Args[3])
	if err != nil {
		rec.say("cannot start: %v", err)
		return exitNotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
