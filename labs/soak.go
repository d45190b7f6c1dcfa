package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"cactustide/soak"
)

// newSoak returns the command that runs the real programs under random faults.
func newSoak() command {
	parser := newSubcommand("soak", "runs the real programs under random faults and checks the guarantees")
	seed := uint64(0)
	seeds := 1
	entries, upstreams, callers := 3, 4, 12
	faultDuration := 12 * time.Second
	binary := "bin/cactustide"
	parser.UInt64(&seed, "s", "seed", "first seed; 0 draws one")
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	parser.Int(&entries, "e", "entries", "number of entries")
	parser.Int(&upstreams, "u", "upstreams", "number of upstreams")
	parser.Int(&callers, "c", "callers", "number of callers")
	parser.Duration(&faultDuration, "d", "duration", "time with faults in a run")
	parser.String(&binary, "b", "binary", "path of the cactustide program")
	return command{parser: parser, run: func() error {
		if seed == 0 {
			seed = 1 + rand.Uint64N(1_000_000)
		}
		failed := 0
		faults := map[string]int{}
		for i := range seeds {
			runSeed := seed + uint64(i)
			dir := filepath.Join(os.TempDir(), "cactustide-soak-"+strconv.FormatUint(runSeed, 10))
			stopWatchdog := startWatchdog(runSeed, faultDuration+soakMargin)
			r, err := soak.Run(soak.Options{
				Seed: runSeed, Binary: binary, Dir: dir, FaultDuration: faultDuration, Entries: entries, Upstreams: upstreams, Callers: callers, Out: os.Stderr,
			})
			stopWatchdog()
			if err != nil {
				return err
			}
			for kind, n := range r.Faults {
				faults[kind] += n
			}
			fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed, %d probes, %d violations\n", runSeed, r.Requests, r.Served, r.Refused, r.Failed, r.Probes, len(r.Violations))
			if len(r.Violations) == 0 {
				_ = os.RemoveAll(dir) // The files are kept only if there were violations.
				continue
			}
			failed++
			for _, v := range r.Violations[:min(10, len(r.Violations))] {
				fmt.Println("  ", v)
			}
			fmt.Printf("   reproduce with: make soak SEED=%d; plan, history and logs: %s\n", runSeed, dir)
		}
		kinds := soak.FaultKinds()
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Printf("%s %d  ", kind, faults[kind])
		}
		fmt.Printf("\n%d seeds, %d with violations\n", seeds, failed)
		if failed > 0 {
			return errs.New("soak: %d of %d seeds had violations", failed, seeds)
		}
		return nil
	}}
}

// soakMargin is the time that a run may take beyond that with faults: the start, the
// recovery and the end.
const soakMargin = 3 * time.Minute

// startWatchdog ends the program if a run does not end in time. The kernel then kills the
// entries. It returns a function that stops it.
func startWatchdog(seed uint64, limit time.Duration) func() bool {
	timer := time.AfterFunc(limit, func() {
		fmt.Fprintf(os.Stderr, "soak: seed %d did not end within %v; its goroutines:\n", seed, limit)
		_ = pprof.Lookup("goroutine").WriteTo(os.Stderr, 1) // The program ends either way.
		os.Exit(1)
	})
	return timer.Stop
}
