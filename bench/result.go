package bench

import (
	"slices"
	"time"
)

// ClassResult counts the outcomes of the requests of one class.
type ClassResult struct {
	Offered  int
	Attained int
	Refused  int
	Aborted  int
}

// Start is the start of a request at an agent.
type Start struct {
	At    time.Time
	Class string
	// BackloggedClasses are the classes with queued requests, and that of the started one.
	BackloggedClasses map[string]bool
}

// AttainmentRate returns the fraction of the offered requests that met their targets,
// 1 if none was offered.
func (c ClassResult) AttainmentRate() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Offered)
}

// Result is the outcome of one run.
type Result struct {
	Classes map[string]*ClassResult
	// GoodTokens is the number of tokens of requests that met their targets.
	GoodTokens int
	// GeneratedTokens counts all generated tokens, WastedTokens those of duplicate or
	// aborted copies.
	GeneratedTokens int
	WastedTokens    int
	// Dispatched counts the copies started at engines.
	Dispatched int
	// Inversions counts priority inversions: requests that were shed while an agent that
	// they were not offered to had lower-tier requests queued.
	Inversions int
	// Starts holds the starts by agent, in their order, if Options.Trace is set.
	Starts           map[string][]Start
	measuredDuration time.Duration
}

func newResult(o Options) *Result {
	r := &Result{Classes: map[string]*ClassResult{}, Starts: map[string][]Start{}, measuredDuration: o.Duration - o.Warmup}
	for _, load := range classLoads() {
		r.Classes[load.class.Name] = &ClassResult{}
	}
	return r
}

// Goodput returns the tokens per second of requests that met their targets.
func (r *Result) Goodput() float64 { return float64(r.GoodTokens) / r.measuredDuration.Seconds() }

// WastedFraction returns the wasted fraction of all generated tokens.
func (r *Result) WastedFraction() float64 {
	return float64(r.WastedTokens) / float64(max(1, r.GeneratedTokens))
}

// recordCompletion records a request whose response is complete.
func (r *Result) recordCompletion(x *request, first time.Time, perToken time.Duration) {
	if x.warmup {
		x.done = true
		return
	}
	r.GeneratedTokens += x.outputTokens
	if x.done {
		r.WastedTokens += x.outputTokens
		return
	}
	x.done = true
	target := x.load.class.Target
	// The target of the time per token is 1.5 times that of an engine without slowdown.
	if first.Sub(x.arrived) <= target && perToken <= timePerToken*3/2 {
		r.Classes[x.load.class.Name].Attained++
		r.GoodTokens += x.outputTokens
	}
}

// ClassNames returns the names of the classes, highest tier first.
func ClassNames() []string {
	var out []string
	for _, load := range classLoads() {
		out = append(out, load.class.Name)
	}
	return out
}

// MinMedianMax returns the smallest value, the median and the largest; values must not
// be empty.
func MinMedianMax(values []float64) (low, median, high float64) {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}
