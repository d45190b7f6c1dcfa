package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"cactustide/config"
)

// Options are the settings of one run.
type Options struct {
	Seed uint64
	// Load is the offered load as a multiple of capacity, both in slot time.
	Load     float64
	Duration time.Duration
	// Warmup is the first part of Duration, whose requests run but are not counted.
	Warmup     time.Duration
	Engines    int
	Slots      int
	QueueLimit int
	// Straggler makes the first engine slower by stragglerSlowdown.
	Straggler bool
	// EngineCrash takes the last engine down halfway, for a sixth of the run.
	EngineCrash bool
	// LateBinding places reservations at two agents and starts the request at the first
	// that has a free slot, instead of binding it to an agent on arrival.
	LateBinding bool
	// BurstClass is the class whose arrival rate is multiplied by BurstFactor during the
	// middle third of the run; none if empty.
	BurstClass  string
	BurstFactor float64
	// Trace records each start in Result.Starts.
	Trace bool
}

// Latencies of the simulated engines and the network.
const (
	prefillTime       = 100 * time.Millisecond
	timePerToken      = 20 * time.Millisecond
	stragglerSlowdown = 10
	oneWayDelay       = time.Millisecond // Between an entry and an agent.
	syncInterval      = 500 * time.Millisecond
)

// maxOutputTokens truncates the heavy tail of output lengths.
const maxOutputTokens = 4000

// classLoad is the load of one class.
type classLoad struct {
	class config.Class
	// fraction of the offered slot time.
	fraction float64
	// meanTokens is the mean output length.
	meanTokens float64
}

// classLoads returns the classes of the load: those of the example document, with all
// requests served by engines.
func classLoads() []classLoad {
	return []classLoad{
		{fraction: 0.10, meanTokens: 30, class: config.Class{Name: "desk", Tier: 0, Target: 850 * time.Millisecond, Wait: 700 * time.Millisecond, Tokens: 30}},
		{fraction: 0.20, meanTokens: 60, class: config.Class{Name: "question", Tier: 1, Target: 850 * time.Millisecond, Wait: 700 * time.Millisecond, Floor: 0.05, Tokens: 60}},
		{fraction: 0.20, meanTokens: 60, class: config.Class{Name: "lookup", Tier: 2, Target: 2 * time.Second, Wait: 1800 * time.Millisecond, Floor: 0.05, Tokens: 60}},
		{fraction: 0.50, meanTokens: 400, class: config.Class{Name: "brief", Tier: 5, Target: 30 * time.Second, Wait: 29 * time.Second, Floor: 0.02, Cap: 0.75, Tokens: 400}},
	}
}

// request is one simulated request.
type request struct {
	id           int
	load         *classLoad
	partner      string
	arrived      time.Time
	outputTokens int
	// done is set once the outcome is known; copies that end later do not change it.
	done bool
	// attempts counts the copies sent.
	attempts int
	excluded map[string]bool
	// bound is set once one of two reservations has started the request.
	bound bool
	// warmup requests are not counted.
	warmup bool
}

// serviceTime returns how long a request with that output occupies an engine without
// slowdown.
func serviceTime(tokens float64) time.Duration {
	return prefillTime + time.Duration(tokens*float64(timePerToken))
}

// scheduleArrivals schedules all requests of a run and returns the number of counted
// requests by class. Arrivals depend on the seed alone, so that every policy gets the
// same ones.
func scheduleArrivals(c *clock, o Options, submit func(*request)) map[string]int {
	lastID := 0
	offered := map[string]int{}
	capacity := float64(o.Engines * o.Slots)
	for i, load := range classLoads() {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		rate := o.Load * capacity * load.fraction / serviceTime(load.meanTokens).Seconds()
		for at := 0.0; ; {
			factor := 1.0
			third := o.Duration.Seconds() / 3
			if o.BurstClass == load.class.Name && at > third && at < 2*third {
				factor = o.BurstFactor
			}
			at += random.ExpFloat64() / (rate * factor)
			if at > o.Duration.Seconds() {
				break
			}
			lastID++
			warmup := at < o.Warmup.Seconds()
			if !warmup {
				offered[load.class.Name]++
			}
			r := &request{id: lastID, load: &load, partner: []string{"eisklang", "gyeongnam"}[random.IntN(2)], outputTokens: paretoTokens(random, load.meanTokens), excluded: map[string]bool{}, warmup: warmup}
			c.after(time.Duration(at*float64(time.Second)), func() {
				r.arrived = c.now
				submit(r)
			})
		}
	}
	return offered
}

// paretoTokens draws an output length from a Pareto distribution with exponent 1.5,
// truncated at maxOutputTokens.
func paretoTokens(random *rand.Rand, mean float64) int {
	const exponent = 1.5
	scale := mean * (exponent - 1) / exponent
	return int(min(maxOutputTokens, max(1, scale/math.Pow(random.Float64(), 1/exponent))))
}
