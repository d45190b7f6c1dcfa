// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside and checks what callers and upstreams see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ScheduledFault is a fault at a time of the run.
type ScheduledFault struct {
	Offset time.Duration
	Kind   string
	Target int
	// Duration of the fault, where its kind has one.
	Duration time.Duration
}

// String formats the fault as one line of the plan.
func (s ScheduledFault) String() string {
	return fmt.Sprintf("%6.2fs %-14s %d for %.2fs", s.Offset.Seconds(), s.Kind, s.Target, s.Duration.Seconds())
}

// Kinds of faults, by what they act on: an entry, an upstream or the store.
var (
	entryFaultKinds    = []string{"kill", "term", "pause", "hup", "storereset", "storecut", "storedelay"}
	upstreamFaultKinds = []string{"reset", "silence", "halfup", "halfdown", "delay", "refuse", "fail", "cut", "stray", "garbage", "mute", "early", "unsigned", "drain", "reborn"}
	storeFaultKinds    = []string{"busy", "down", "broken", "slow", "forget", "config", "unreadable", "older"}
)

// seriesKinds are events in series, which overlap the faults of the plan: planned stops of
// two entries, hang-ups, changes of the configuration, upstreams whose registration is
// removed, and changes right after the store was silent.
var seriesKinds = []string{"terms", "hups", "changes", "leave", "silent"}

// answerKinds are faults in what upstreams and other writers say: a process that says in its
// responses that it is leaving, refusals that ask for a pause, refusals repeated on a kept
// connection, and odd entries among the registrations.
var answerKinds = []string{"leaving", "pausing", "strayrefusal", "odd"}

// FaultKinds returns every kind of fault.
func FaultKinds() []string {
	return slices.Concat(entryFaultKinds, upstreamFaultKinds, storeFaultKinds, seriesKinds, answerKinds, bulkKinds, readerKinds, limitKinds, returnKinds, apartKinds)
}

// NewSeries draws the events in series of a run. They have a random source of their own,
// so that the plans of seeds that failed before stay as they were.
func NewSeries(seed uint64, duration time.Duration, entries, upstreams int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 12))
	var plan []ScheduledFault
	for at := time.Duration(1000+random.IntN(1500)) * time.Millisecond; at < duration; at += time.Duration(800+random.IntN(2500)) * time.Millisecond {
		s := ScheduledFault{Offset: at, Kind: seriesKinds[random.IntN(len(seriesKinds))], Duration: time.Duration(200+random.IntN(2500)) * time.Millisecond}
		s.Target = random.IntN(entries)
		if s.Kind == "leave" || s.Kind == "silent" {
			s.Target = random.IntN(upstreams)
		}
		plan = append(plan, s)
	}
	return plan
}

// NewAnswers draws the faults of a run in what upstreams and other writers say, from a random
// source of their own.
func NewAnswers(seed uint64, duration time.Duration, upstreams int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 13))
	var plan []ScheduledFault
	for at := time.Duration(700+random.IntN(1000)) * time.Millisecond; at < duration; at += time.Duration(500+random.IntN(1500)) * time.Millisecond {
		plan = append(plan, ScheduledFault{
			Offset: at, Kind: answerKinds[random.IntN(len(answerKinds))], Target: random.IntN(upstreams),
			Duration: time.Duration(300+random.IntN(1500)) * time.Millisecond,
		})
	}
	return plan
}

// NewPlan draws the faults of a run at random. They come in bursts and overlap. The
// same arguments give the same plan.
func NewPlan(seed uint64, duration time.Duration, entries, upstreams int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 11))
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	var plan []ScheduledFault
	for at := 500 * time.Millisecond; at < duration; {
		s := ScheduledFault{Offset: at, Duration: time.Duration(100+random.IntN(1500)) * time.Millisecond}
		switch draw := random.Float64(); {
		case draw < 0.4:
			s.Kind, s.Target = pick(entryFaultKinds), random.IntN(entries)
		case draw < 0.8:
			s.Kind, s.Target = pick(upstreamFaultKinds), random.IntN(upstreams)
		default:
			s.Kind = pick(storeFaultKinds)
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
