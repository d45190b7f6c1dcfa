package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"cactustide/config"
)

// Options of one run.
type Options struct {
	Seed uint64
	// Load is offered work over capacity, both in slot time.
	Load     float64
	Duration time.Duration
	// Warmup is the part of Duration whose requests run but do not count.
	Warmup     time.Duration
	Engines    int
	Slots      int
	QueueLimit int
	// Straggler makes the first engine ten times slower.
	Straggler bool
	// EngineCrash takes the last engine down once, for a sixth of the run.
	EngineCrash bool
	// LateBinding binds requests by tickets at two agents instead of on arrival.
	LateBinding bool
	// BurstClass multiplies the arrivals of one class during the middle third.
	BurstClass  string
	BurstFactor float64
	// Trace records each start.
	Trace bool
}

// Times of the simulated engines and the network.
const (
	prefill  = 100 * time.Millisecond
	pace     = 20 * time.Millisecond
	slowdown = 10
	hop      = time.Millisecond // One way between an entry and an agent.
	syncTime = 500 * time.Millisecond
)

// maxTokens cuts the heavy tail of output lengths.
const maxTokens = 4000

// mix is one class's part of the load.
type mix struct {
	class config.Class
	// part of the offered slot time.
	part float64
	// mean output length.
	mean float64
}

// Classes are the classes of the load: those of the example document, with all
// work on engines.
func mixes() []mix {
	return []mix{
		{part: 0.10, mean: 30, class: config.Class{Name: "desk", Tier: 0, Target: 850 * time.Millisecond, Wait: 700 * time.Millisecond, Tokens: 30}},
		{part: 0.20, mean: 60, class: config.Class{Name: "question", Tier: 1, Target: 850 * time.Millisecond, Wait: 700 * time.Millisecond, Floor: 0.05, Tokens: 60}},
		{part: 0.20, mean: 60, class: config.Class{Name: "lookup", Tier: 2, Target: 2 * time.Second, Wait: 1800 * time.Millisecond, Floor: 0.05, Tokens: 60}},
		{part: 0.50, mean: 400, class: config.Class{Name: "brief", Tier: 5, Target: 30 * time.Second, Wait: 29 * time.Second, Floor: 0.02, Cap: 0.75, Tokens: 400}},
	}
}

// request is one simulated request.
type request struct {
	id      int
	mix     *mix
	partner string
	arrived time.Time
	length  int
	// done guards the outcome against later copies.
	done bool
	// tries counts copies sent.
	tries int
	avoid map[string]bool
	// bound says that one of two tickets has started.
	bound bool
	// warmup requests do not count.
	warmup bool
}

// service returns how long an engine of ordinary speed works on a length.
func service(length float64) time.Duration {
	return prefill + time.Duration(length*float64(pace))
}

// arrivals schedules all requests of a run. They depend on the seed alone, so
// that every policy gets the same ones.
func arrivals(c *clock, o Options, submit func(*request)) map[string]int {
	ids := 0
	counts := map[string]int{}
	capacity := float64(o.Engines * o.Slots)
	for i, m := range mixes() {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		rate := o.Load * capacity * m.part / service(m.mean).Seconds()
		for at := 0.0; ; {
			factor := 1.0
			third := o.Duration.Seconds() / 3
			if o.BurstClass == m.class.Name && at > third && at < 2*third {
				factor = o.BurstFactor
			}
			at += random.ExpFloat64() / (rate * factor)
			if at > o.Duration.Seconds() {
				break
			}
			ids++
			warmup := at < o.Warmup.Seconds()
			if !warmup {
				counts[m.class.Name]++
			}
			r := &request{id: ids, mix: &m, partner: []string{"eisklang", "gyeongnam"}[random.IntN(2)], length: heavyTail(random, m.mean), avoid: map[string]bool{}, warmup: warmup}
			c.after(time.Duration(at*float64(time.Second)), func() {
				r.arrived = c.now
				submit(r)
			})
		}
	}
	return counts
}

// heavyTail draws a length from a Pareto distribution with exponent 1.5, cut at
// maxTokens.
func heavyTail(random *rand.Rand, mean float64) int {
	const exponent = 1.5
	low := mean * (exponent - 1) / exponent
	return int(min(maxTokens, max(1, low/math.Pow(random.Float64(), 1/exponent))))
}
