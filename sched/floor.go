package sched

import (
	"cmp"
	"slices"

	"cactustide/config"
)

// floorClass is a class with a floor and at least one request that may start.
type floorClass struct {
	name string
	tier int
	// period is the longest distance between two starts of the class, in starts.
	period int
	// deadline is the number of starts, the next one included, within which
	// the class must start.
	deadline int
}

// nextByFloor returns the head request of the most urgent class with a floor if
// one more start of another class could make some class miss its floor, else nil.
// While the floors' density is at most one half (config.MaxFloorDensity), this keeps every
// gap within its period; that density is the schedulable bound of Holte et al., "The
// Pinwheel: A Real-Time Scheduling Problem", 1989.
func (s *Sched) nextByFloor() *Request {
	due := s.floorClasses()
	if len(due) == 0 || !hasNoSlack(due) {
		return nil
	}
	first := due[0]
	return s.nextInTier(s.tiers[first.tier], func(f *flow) bool { return f.key.class == first.name })
}

// hasNoSlack reports whether the demand bound reaches some horizon, so that none
// of the starts before it may go to another class.
func hasNoSlack(due []floorClass) bool {
	longest := due[len(due)-1].deadline
	for _, d := range due {
		for horizon := d.deadline; horizon <= longest; horizon += d.period {
			if demandBound(due, horizon) >= horizon {
				return true
			}
		}
	}
	return false
}

// demandBound returns the number of starts whose deadlines lie within a horizon,
// given in starts.
func demandBound(due []floorClass, horizon int) int {
	total := 0
	for _, d := range due {
		if d.deadline <= horizon {
			total += 1 + (horizon-d.deadline)/d.period
		}
	}
	return total
}

// floorClasses lists the classes with a floor and a request that may start, the
// earliest deadline first.
func (s *Sched) floorClasses() []floorClass {
	var due []floorClass
	for name, cs := range s.classes {
		period := config.Period(s.policy.Classes[name].Floor)
		if cs.queued == 0 || period == 0 || !s.mayStart(name) {
			continue
		}
		due = append(due, floorClass{name: name, tier: s.tierOf(name), period: period, deadline: period - cs.startsSinceLast})
	}
	slices.SortFunc(due, func(a, b floorClass) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.tier, b.tier), cmp.Compare(a.name, b.name))
	})
	return due
}

// mayStart reports whether the head of any of the class's flows may start now.
func (s *Sched) mayStart(class string) bool {
	for _, f := range s.tiers[s.tierOf(class)].flows {
		if f.key.class == class && s.eligible(f) {
			return true
		}
	}
	return false
}

// recordStart resets the count of starts since the last one of the started class
// and increments that of every other class with queued requests.
func (s *Sched) recordStart(started string) {
	for name, cs := range s.classes {
		switch {
		case name == started:
			cs.startsSinceLast = 0
		case cs.queued > 0:
			cs.startsSinceLast++
		}
	}
}

func sortBySeq(requests []*Request) {
	slices.SortFunc(requests, func(a, b *Request) int { return cmp.Compare(a.seq, b.seq) })
}
