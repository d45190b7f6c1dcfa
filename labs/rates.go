package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cactustide/emul"
)

// newRates returns the command that compares rules for upstreams that name a rate.
func newRates() command {
	parser := newSubcommand("rates", "compares rules for upstreams that name a rate in simulated time")
	seeds := 5
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	return command{parser: parser, run: func() error {
		if seeds <= 0 {
			return fmt.Errorf("seeds must be above zero")
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "entries\trate\tload\tfault\trule\texcess\tused\tused later\trefused\tbeside turn\tback s\tasks/s")
		for _, entries := range []int{4, 60, 300} {
			for _, rate := range []float64{0.4, 1, 3.3, 20, 200} {
				for _, load := range []emul.RateLoad{emul.LoadEven, emul.LoadSingle, emul.LoadSkewed} {
					for _, fault := range emul.RateFaults() {
						if load != emul.LoadEven && fault != emul.RateCalm {
							continue
						}
						for _, rule := range []emul.RateRule{emul.RuleSplit, emul.RuleTurns} {
							printRate(w, emul.RateOptions{Entries: entries, Rate: rate, Load: load, Fault: fault, Rule: rule}, seeds)
						}
					}
				}
			}
		}
		return w.Flush()
	}}
}

// printRate prints the largest excess and the mean of the other figures.
func printRate(w *tabwriter.Writer, o emul.RateOptions, seeds int) {
	var sum emul.RateResult
	for seed := range seeds {
		o.Seed = uint64(seed)
		r := emul.RunRate(o)
		sum.Excess = max(sum.Excess, r.Excess)
		sum.Used += r.Used
		sum.UsedLater += r.UsedLater
		sum.Refused += r.Refused
		sum.BesideTurn += r.BesideTurn
		sum.Back = max(sum.Back, r.Back)
		sum.Asks += r.Asks
	}
	n := float64(seeds)
	fmt.Fprintf(w, "%d\t%g\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t%.1f\t%.0f\n", o.Entries, o.Rate, o.Load, o.Fault, o.Rule, sum.Excess,
		sum.Used/n, sum.UsedLater/n, float64(sum.Refused)/n, sum.BesideTurn, sum.Back.Round(100*time.Millisecond).Seconds(), sum.Asks/n)
}
