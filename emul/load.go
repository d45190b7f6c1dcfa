package emul

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cactustide/place"
)

// Class is a kind of request.
type Class struct {
	Name string
	// Tier of urgency; 0 is read first.
	Tier int
	// Rate of arrivals, a second.
	Rate          float64
	Target, Pause time.Duration
	// Limit is how long callers wait for the whole.
	Limit time.Duration
	// Shared tokens of a prompt, of which there are Things; Own tokens besides.
	Shared, Things, Own int
	Output              int
}

// Classes are long drafts, replies and quick questions.
func Classes() []*Class {
	return []*Class{
		{Name: "draft", Tier: 2, Rate: 13, Target: 2 * time.Second, Limit: 10 * time.Second, Pause: 800 * time.Millisecond, Shared: 13300, Things: 70, Own: 3720, Output: 120},
		{Name: "reply", Tier: 1, Rate: 8, Target: 600 * time.Millisecond, Limit: 6 * time.Second, Pause: 300 * time.Millisecond, Shared: 6300, Things: 60, Own: 2890, Output: 50},
		{Name: "quick", Rate: 22, Target: 300 * time.Millisecond, Limit: 12 * time.Second, Pause: 200 * time.Millisecond, Shared: 350, Things: 100, Own: 1110, Output: 170},
	}
}

// Pattern is a heavy load.
type Pattern string

// Patterns.
const (
	PatternCalm  Pattern = "calm"
	PatternLong  Pattern = "burst of long prompts"
	PatternQuick Pattern = "jump of quick questions"
	PatternHot   Pattern = "hot key"
	PatternCrash Pattern = "a quarter of the engines crash"
	PatternJoin  Pattern = "empty engines join"
	PatternBlind Pattern = "an entry does not hear the others"
	PatternOver  Pattern = "more than the engines can do"
)

// Patterns lists all.
func Patterns() []Pattern {
	return []Pattern{PatternCalm, PatternLong, PatternQuick, PatternHot, PatternCrash, PatternJoin, PatternBlind, PatternOver}
}

// Options of a run.
type Options struct {
	Pattern Pattern
	Seed    uint64
	Engines int
	Entries int
	Length  time.Duration
	// Stale is how late entries hear of each other.
	Stale time.Duration
	Sheet Sheet
}

// Defaults are the options of a quick run.
func Defaults(p Pattern, seed uint64) Options {
	return Options{Pattern: p, Seed: seed, Engines: 9, Entries: 3, Length: 20 * time.Second, Stale: 30 * time.Millisecond, Sheet: Dense70}
}

// rate of a class at a time of the run.
func (o *Options) rate(c *Class, at time.Duration) float64 {
	inside := at > o.Length/4 && at < o.Length*3/4
	switch {
	case o.Pattern == PatternOver && at > o.Length/10:
		return 3 * c.Rate
	case o.Pattern == PatternLong && c.Name == "draft" && inside:
		return 2.2 * c.Rate
	case o.Pattern == PatternQuick && c.Name == "quick" && inside:
		return 3 * c.Rate
	}
	return c.Rate
}

// jobs draws the arrivals of a run.
func (o *Options) jobs(random *rand.Rand, start time.Time) []*Job {
	var jobs []*Job
	for _, c := range Classes() {
		for at := time.Duration(0); at < o.Length; {
			at += time.Duration(random.ExpFloat64() / o.rate(c, at) * float64(time.Second))
			thing := int(math.Pow(random.Float64(), 1.4) * float64(c.Things))
			if o.Pattern == PatternHot && c.Name == "draft" && random.Float64() < 0.3 {
				thing = 0
			}
			shared := int(float64(c.Shared) * (0.5 + float64(thing%10)/10))
			own := max(10, int(float64(c.Own)*random.ExpFloat64()))
			jobs = append(jobs, &Job{
				Class: c, Arrived: start.Add(at), Entry: random.IntN(o.Entries),
				Parts:  place.AppendSegment(nil, c.Name+strconv.Itoa(thing), shared),
				Prompt: shared + own, Output: max(2, int(float64(c.Output)*(0.3+1.4*random.Float64()))),
			})
		}
	}
	return jobs
}
