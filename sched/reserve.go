package sched

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of the offered load's exponential
	// average.
	loadTimeConstant = 10 * time.Second
	// reserveDeviations is the number of standard deviations of the higher tiers'
	// offered load that is reserved beyond its mean.
	reserveDeviations = 1.0
	// Nothing is reserved against a tier whose mean slot time is at most
	// reserveMinSlotTime, and the whole reserve from reserveFullSlotTime on.
	// Shorter requests free their slots before the higher tiers' requests have
	// waited too long.
	reserveMinSlotTime  = 2 * time.Second
	reserveFullSlotTime = 5 * time.Second
)

// offeredLoad is the load that a tier offers, in slots: arrivals per second times
// the mean slot time, averaged with exponential decay.
type offeredLoad struct {
	slots   float64
	updated time.Time
	// slotTimeSum, in seconds, and finishedSum are decayed sums over the finished
	// requests.
	slotTimeSum float64
	finishedSum float64
}

// decayTo decays the average to now.
func (l *offeredLoad) decayTo(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.slots *= math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		l.updated = now
	}
}

// recordArrival adds the arrival of one request. It adds nothing until a request
// of the tier has finished.
func (l *offeredLoad) recordArrival(now time.Time) {
	l.decayTo(now)
	if l.finishedSum > 0 {
		l.slots += l.slotTimeSum / l.finishedSum / loadTimeConstant.Seconds()
	}
}

// recordSlotTime adds the time that a finished request was in its slot.
func (l *offeredLoad) recordSlotTime(slotTime time.Duration) {
	l.slotTimeSum = l.slotTimeSum*sumDecay + slotTime.Seconds()
	l.finishedSum = l.finishedSum*sumDecay + 1
}

// reservedSlots returns the number of slots that a tier and those below it must
// leave free for the higher tiers' offered load (trunk reservation, as in telephone
// networks). Without it, long requests take every slot that becomes free, and
// requests of higher tiers find none when they arrive.
func (s *Sched) reservedSlots(now time.Time, tier int) int {
	fraction := s.tiers[tier].load.reserveFraction()
	if fraction == 0 {
		return 0
	}
	higherLoad := 0.0
	for _, ts := range s.tiers[:tier] {
		ts.load.decayTo(now)
		higherLoad += ts.load.slots
	}
	slots := int(math.Round(fraction * (higherLoad + reserveDeviations*math.Sqrt(higherLoad))))
	return min(slots, s.policy.Slots-1)
}

// reserveFraction returns the fraction of the reserve that applies to a tier, by
// its mean slot time; 0 until a request of the tier has finished.
func (l *offeredLoad) reserveFraction() float64 {
	if l.finishedSum == 0 {
		return 0
	}
	meanSlotTime := l.slotTimeSum / l.finishedSum
	fraction := (meanSlotTime - reserveMinSlotTime.Seconds()) / (reserveFullSlotTime - reserveMinSlotTime).Seconds()
	return max(0, min(1, fraction))
}

// mayTakeSlot reports whether a tier may take one more slot without using the
// reserve for higher tiers.
func (s *Sched) mayTakeSlot(now time.Time, tier int) bool {
	taken := 0
	for _, ts := range s.tiers[tier:] {
		taken += ts.running
	}
	return taken < s.policy.Slots-s.reservedSlots(now, tier)
}
