// Command stand3 runs one case of the third review: it starts the project's program as the
// deploy file does, on stand-ins of the platform, its replicas and its clients, and checks one
// rule. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

var cases = map[string]func(*world) (broken bool, err error){
	"drill":  runDrill,
	"upload": runUpload,
	"model":  runModel,
	"twice":  runTwice,
	"copies": runCopies,
}

func main() {
	// The kernel ends the started programs when the thread that started them exits.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case")
	program := flag.String("program", "", "path of the program")
	dir := flag.String("dir", "", "directory for settings and logs")
	record := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	flag.Parse()
	os.Exit(runCase(*name, *program, *dir, *record, *trouble))
}

func runCase(name, program, dir, record string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	w, err := newWorld(program, dir, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := f(w)
	if err != nil {
		w.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	if broken {
		w.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.note("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
