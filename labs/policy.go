package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cactustide/bench"
)

// warmup is the simulated time before requests are counted.
const warmup = 30 * time.Second

// newPolicy returns the command that compares the scheduling policy with the naive
// baseline in simulated time.
func newPolicy() command {
	parser := newSubcommand("policy", "compares the policy with a naive baseline in simulated time")
	seeds := 5
	duration := 2 * time.Minute
	var loads []float64
	var policies []string
	parser.Int(&seeds, "n", "seeds", "number of seeds")
	parser.Duration(&duration, "d", "duration", "simulated time of a run")
	parser.Float64Slice(&loads, "l", "load", "offered load as a multiple of capacity; may be repeated")
	parser.StringSlice(&policies, "p", "policy", "naive, early or late; may be repeated")
	return command{parser: parser, run: func() error {
		if len(loads) == 0 {
			loads = []float64{0.7, 1, 2, 3}
		}
		if len(policies) == 0 {
			policies = []string{"naive", "early", "late"}
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprint(w, "load\tfault\tpolicy")
		for _, class := range bench.ClassNames() {
			fmt.Fprint(w, "\t", class, " %")
		}
		fmt.Fprintln(w, "\tgoodput tok/s\twasted %\tinversions")
		for _, load := range loads {
			for _, fault := range []string{"none", "straggler", "crash"} {
				for _, policy := range policies {
					printPolicy(w, load, fault, policy, seeds, duration)
				}
			}
		}
		return w.Flush()
	}}
}

func printPolicy(w *tabwriter.Writer, load float64, fault, policy string, seeds int, duration time.Duration) {
	rates := map[string][]float64{}
	var goodput, wasted []float64
	inversions := 0
	for seed := range seeds {
		o := bench.Options{
			Seed: uint64(seed), Load: load, Duration: duration + warmup, Warmup: warmup, Engines: 10, Slots: 16, QueueLimit: 256,
			Straggler: fault == "straggler", EngineCrash: fault == "crash", LateBinding: policy == "late",
		}
		run := bench.Run
		if policy == "naive" {
			run = bench.RunNaive
		}
		r := run(o)
		for class, c := range r.Classes {
			rates[class] = append(rates[class], 100*c.AttainmentRate())
		}
		goodput = append(goodput, r.Goodput())
		wasted = append(wasted, 100*r.WastedFraction())
		inversions += r.Inversions
	}
	fmt.Fprintf(w, "%.1f\t%s\t%s", load, fault, policy)
	for _, class := range bench.ClassNames() {
		fmt.Fprint(w, "\t", spread(rates[class], "%.1f"))
	}
	fmt.Fprintf(w, "\t%s\t%s\t%d\n", spread(goodput, "%.0f"), spread(wasted, "%.2f"), inversions)
}

// spread formats the median, with the smallest and the largest value in parentheses.
func spread(values []float64, format string) string {
	low, median, high := bench.MinMedianMax(values)
	return fmt.Sprintf(format+" ("+format+"–"+format+")", median, low, high)
}
