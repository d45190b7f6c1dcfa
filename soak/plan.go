// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside and checks what callers and upstreams see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is a fault at a time of the run.
type Step struct {
	At     time.Duration
	Kind   string
	Target int
	// For is how long it lasts, where it fits.
	For time.Duration
}

// String formats the step as one line of the plan.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %-14s %d for %.2fs", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds())
}

// Kinds of faults. Each acts on one entry, one upstream or the store.
var (
	entryKinds    = []string{"kill", "term", "pause", "hup", "storereset", "storecut", "storedelay"}
	upstreamKinds = []string{"reset", "silence", "halfup", "halfdown", "delay", "refuse", "fail", "cut", "stray", "garbage", "mute", "early", "unsigned", "drain", "reborn"}
	storeKinds    = []string{"busy", "down", "broken", "slow", "forget", "config", "unreadable", "older"}
)

// Kinds lists every kind of fault.
func Kinds() []string { return slices.Concat(entryKinds, upstreamKinds, storeKinds) }

// NewPlan draws the faults of a run. They come in series and overlap.
func NewPlan(seed uint64, length time.Duration, entries, upstreams int) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	var plan []Step
	for at := 500 * time.Millisecond; at < length; {
		s := Step{At: at, For: time.Duration(100+random.IntN(1500)) * time.Millisecond}
		switch draw := random.Float64(); {
		case draw < 0.4:
			s.Kind, s.Target = pick(entryKinds), random.IntN(entries)
		case draw < 0.8:
			s.Kind, s.Target = pick(upstreamKinds), random.IntN(upstreams)
		default:
			s.Kind = pick(storeKinds)
		}
		plan = append(plan, s)
		if random.Float64() < 0.3 {
			at += time.Duration(random.IntN(100)) * time.Millisecond
		} else {
			at += time.Duration(200+random.IntN(700)) * time.Millisecond
		}
	}
	return plan
}
