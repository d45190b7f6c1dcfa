package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cactustide/emul"
)

// newHeavy returns the command that compares engine selection policies under heavy
// loads.
func newHeavy() command {
	parser := newSubcommand("heavy", "compares engine selection policies under heavy loads, in simulated time")
	seeds := 3
	engines := 9
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	parser.Int(&engines, "e", "engines", "number of engines; the load grows with it")
	return command{parser: parser, run: func() error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprint(w, "load\tpolicy\ton time %")
		for _, c := range emul.Classes() {
			fmt.Fprintf(w, "\t%s %%\tp50 ms\tp99 ms", c.Name)
		}
		fmt.Fprintln(w, "\trecomputed tokens, thousands")
		for _, p := range emul.Patterns() {
			for _, policy := range emul.Policies() {
				printHeavy(w, p, policy, seeds, engines)
			}
		}
		return w.Flush()
	}}
}

func printHeavy(w *tabwriter.Writer, p emul.Pattern, policy emul.Policy, seeds, engines int) {
	var all float64
	recomputed := 0
	classes := map[string]float64{}
	times := map[string][2]time.Duration{}
	for seed := range seeds {
		o := emul.DefaultOptions(p, uint64(seed+1))
		o.Engines = engines
		r := emul.Run(o, policy)
		all += r.OnTimeOverall
		recomputed += r.RecomputedKTokens
		for class, share := range r.OnTime {
			classes[class] += share
			t := times[class]
			times[class] = [2]time.Duration{t[0] + r.Percentile(class, 0.5), t[1] + r.Percentile(class, 0.99)}
		}
	}
	n := float64(seeds)
	fmt.Fprintf(w, "%s\t%s\t%.1f", p, policy, 100*all/n)
	for _, c := range emul.Classes() {
		t := times[c.Name]
		fmt.Fprintf(w, "\t%.1f\t%d\t%d", 100*classes[c.Name]/n, t[0].Milliseconds()/int64(seeds), t[1].Milliseconds()/int64(seeds))
	}
	fmt.Fprintf(w, "\t%d\n", recomputed/seeds)
}
