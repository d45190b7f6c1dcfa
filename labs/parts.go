package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"cactustide/emul"
)

// newParts returns the command that simulates parts of prompts that crash upstreams.
func newParts() command {
	parser := newSubcommand("parts", "simulates parts of prompts that crash upstreams")
	seeds := 10
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	return command{parser: parser, run: func() error {
		if seeds <= 0 {
			return fmt.Errorf("seeds must be above zero")
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "arrangement\tcrashes\tlate, most\tsound\tbegun %\trefused %\trefused before")
		for _, a := range emul.PartArrangements() {
			var sum emul.PartResult
			late := 0
			for seed := range seeds {
				o := a.Options
				o.Seed = uint64(seed)
				r := emul.RunParts(o)
				late = max(late, r.Late)
				sum.Crashes += r.Crashes
				sum.Sound += r.Sound
				sum.Begun += r.Begun
				sum.Refused += r.Refused
				sum.AllRefused += r.AllRefused
			}
			n, sound := float64(seeds), float64(max(1, sum.Sound))
			fmt.Fprintf(w, "%s\t%.1f\t%d\t%.0f\t%.1f\t%.1f\t%.1f\n", a.Name, float64(sum.Crashes)/n, late, float64(sum.Sound)/n,
				100*float64(sum.Begun)/sound, 100*float64(sum.Refused)/sound, float64(sum.AllRefused-sum.Refused)/n)
		}
		return w.Flush()
	}}
}
