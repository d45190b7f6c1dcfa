package bench

import (
	"slices"
	"time"
)

// ClassResult is what became of one class.
type ClassResult struct {
	Offered  int
	Attained int
	Refused  int
	Aborted  int
}

// Start is one start at an agent.
type Start struct {
	At    time.Time
	Class string
	// BackloggedClasses names the classes that had work queued, the started one included.
	BackloggedClasses map[string]bool
}

// AttainmentRate returns the attained fraction of the offered requests.
func (c ClassResult) AttainmentRate() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Offered)
}

// Result of one run.
type Result struct {
	Classes map[string]*ClassResult
	// GoodTokens is the number of tokens of requests that met their targets.
	GoodTokens int
	// GeneratedTokens and Wasted count tokens.
	GeneratedTokens int
	WastedTokens    int
	// Dispatched counts copies handed to engines.
	Dispatched int
	// Inversions counts requests that no agent would have, while an agent that
	// was not asked held lower-tier work in its queue.
	Inversions int
	// Starts of each agent in their order, if Options.Trace is set.
	Starts           map[string][]Start
	measuredDuration time.Duration
}

func newResult(o Options) *Result {
	r := &Result{Classes: map[string]*ClassResult{}, Starts: map[string][]Start{}, measuredDuration: o.Duration - o.Warmup}
	for _, m := range classLoads() {
		r.Classes[m.class.Name] = &ClassResult{}
	}
	return r
}

// Goodput returns the tokens each second of requests that met their targets.
func (r *Result) Goodput() float64 { return float64(r.GoodTokens) / r.measuredDuration.Seconds() }

// WastedFraction returns the wasted fraction of all generated tokens.
func (r *Result) WastedFraction() float64 {
	return float64(r.WastedTokens) / float64(max(1, r.GeneratedTokens))
}

// recordCompletion records a request that got its whole answer.
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
	// The pace target is 1.5 times the engines' own pace.
	if first.Sub(x.arrived) <= target && perToken <= timePerToken*3/2 {
		r.Classes[x.load.class.Name].Attained++
		r.GoodTokens += x.outputTokens
	}
}

// ClassNames returns the classes, highest tier first.
func ClassNames() []string {
	var out []string
	for _, m := range classLoads() {
		out = append(out, m.class.Name)
	}
	return out
}

// MinMedianMax returns the smallest, the median and the largest of some values.
func MinMedianMax(values []float64) (low, median, high float64) {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}
