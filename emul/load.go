package emul

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cactustide/place"
)

// Class is a class of requests.
type Class struct {
	Name string
	// Tier is the priority; 0 is the highest.
	Tier int
	// ArrivalRate is in requests per second.
	ArrivalRate                   float64
	LatencyTarget, EventGapTarget time.Duration
	// Timeout is how long callers wait for the complete response.
	Timeout time.Duration
	// A prompt starts with one of Prefixes shared prefixes of about SharedTokens, and has
	// UniqueTokens of its own on average.
	SharedTokens, Prefixes, UniqueTokens int
	OutputTokens                         int
}

// Classes returns the classes of the load: long drafts, replies and quick questions.
func Classes() []*Class {
	return []*Class{
		{Name: "draft", Tier: 2, ArrivalRate: 13, LatencyTarget: 2 * time.Second, Timeout: 10 * time.Second, EventGapTarget: 800 * time.Millisecond, SharedTokens: 13300, Prefixes: 70, UniqueTokens: 3720, OutputTokens: 120},
		{Name: "reply", Tier: 1, ArrivalRate: 8, LatencyTarget: 600 * time.Millisecond, Timeout: 6 * time.Second, EventGapTarget: 300 * time.Millisecond, SharedTokens: 6300, Prefixes: 60, UniqueTokens: 2890, OutputTokens: 50},
		{Name: "quick", ArrivalRate: 22, LatencyTarget: 300 * time.Millisecond, Timeout: 12 * time.Second, EventGapTarget: 200 * time.Millisecond, SharedTokens: 350, Prefixes: 100, UniqueTokens: 1110, OutputTokens: 170},
	}
}

// Pattern is a load or fault scenario.
type Pattern string

// Patterns of load and faults.
const (
	PatternCalm       Pattern = "calm"
	PatternLongBurst  Pattern = "burst of long prompts"
	PatternQuickBurst Pattern = "burst of quick questions"
	PatternHotKey     Pattern = "hot key"
	PatternCrash      Pattern = "a quarter of the engines crash"
	PatternJoin       Pattern = "empty engines join"
	PatternPartition  Pattern = "an entry is partitioned from the others"
	PatternOverload   Pattern = "overload"
)

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{PatternCalm, PatternLongBurst, PatternQuickBurst, PatternHotKey, PatternCrash, PatternJoin, PatternPartition, PatternOverload}
}

// Options are the settings of a run.
type Options struct {
	Pattern  Pattern
	Seed     uint64
	Engines  int
	Entries  int
	Duration time.Duration
	// GossipDelay is the time until the other entries receive an entry's messages.
	GossipDelay time.Duration
	Spec        EngineSpec
	// Scale multiplies the arrivals and the shared prefixes; 0 means 1.
	Scale float64
}

// scale returns Scale or its default.
func (o *Options) scale() float64 {
	if o.Scale == 0 {
		return 1
	}
	return o.Scale
}

// DefaultOptions returns the options of a short run.
func DefaultOptions(p Pattern, seed uint64) Options {
	return Options{Pattern: p, Seed: seed, Engines: 9, Entries: 3, Duration: 20 * time.Second, GossipDelay: 30 * time.Millisecond, Spec: Dense70B}
}

// arrivalRate returns the arrivals per second of a class at a time of the run.
func (o *Options) arrivalRate(c *Class, at time.Duration) float64 {
	inBurst := at > o.Duration/4 && at < o.Duration*3/4
	switch {
	case o.Pattern == PatternOverload && at > o.Duration/10:
		return 3 * c.ArrivalRate
	case o.Pattern == PatternLongBurst && c.Name == "draft" && inBurst:
		return 2.2 * c.ArrivalRate
	case o.Pattern == PatternQuickBurst && c.Name == "quick" && inBurst:
		return 3 * c.ArrivalRate
	}
	return c.ArrivalRate
}

// drawJobs draws the arrivals of a run.
func (o *Options) drawJobs(random *rand.Rand, start time.Time) []*Job {
	var jobs []*Job
	for _, c := range Classes() {
		for at := time.Duration(0); at < o.Duration; {
			at += time.Duration(random.ExpFloat64() / (o.scale() * o.arrivalRate(c, at)) * float64(time.Second))
			prefix := int(math.Pow(random.Float64(), 1.4) * o.scale() * float64(c.Prefixes))
			if o.Pattern == PatternHotKey && c.Name == "draft" && random.Float64() < 0.3 {
				prefix = 0
			}
			shared := int(float64(c.SharedTokens) * (0.5 + float64(prefix%10)/10))
			unique := max(10, int(float64(c.UniqueTokens)*random.ExpFloat64()))
			jobs = append(jobs, &Job{
				Class: c, ArrivedAt: start.Add(at), Entry: random.IntN(o.Entries),
				Segments:     place.AppendSegment(nil, "", c.Name+strconv.Itoa(prefix), shared),
				PromptTokens: shared + unique, OutputTokens: max(2, int(float64(c.OutputTokens)*(0.3+1.4*random.Float64()))),
			})
		}
	}
	return jobs
}
