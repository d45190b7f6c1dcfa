package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"cactustide/emul"
)

// newCrashes returns the command that compares rules for requests that crash upstreams.
func newCrashes() command {
	parser := newSubcommand("crashes", "compares rules for requests that crash upstreams in simulated time")
	seeds := 5
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	return command{parser: parser, run: func() error {
		if seeds <= 0 {
			return fmt.Errorf("seeds must be above zero")
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "arrangement\trule\tcrashes\tlate retries\tsound\trefused %\tlost")
		for _, a := range emul.CrashArrangements() {
			for _, rule := range []emul.CrashRule{emul.RuleIDs, emul.RuleProcesses} {
				var sum emul.CrashResult
				for seed := range seeds {
					o := a.Options
					o.Rule, o.Seed = rule, uint64(seed)
					r := emul.RunCrashes(o)
					sum.Crashes += r.Crashes
					sum.LateRetries += r.LateRetries
					sum.Sound += r.Sound
					sum.Refused += r.Refused
					sum.Lost += r.Lost
				}
				n := float64(seeds)
				refused := 100 * float64(sum.Refused) / float64(max(1, sum.Sound))
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\n", a.Name, rule, float64(sum.Crashes)/n, float64(sum.LateRetries)/n, float64(sum.Sound)/n, refused, float64(sum.Lost)/n)
			}
		}
		return w.Flush()
	}}
}
