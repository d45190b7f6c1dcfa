package sched

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant over which demand is averaged.
	loadTimeConstant = 10 * time.Second
	// reserveDeviations is the number of standard deviations of the higher tiers'
	// demand that is reserved beyond its mean.
	reserveDeviations = 1.0
	// reserveMinSlotTime is the mean slot time of a tier from which on slots are kept
	// free of it, and reserveFull the one at which the whole reserve is. Shorter
	// work leaves its slot before the higher tiers' patience ends.
	reserveMinSlotTime  = 2 * time.Second
	reserveFullSlotTime = 5 * time.Second
)

// offeredLoad is the load that a tier offers, in slots: arrivals each second times
// the mean time in a slot, averaged with exponential decay.
type offeredLoad struct {
	slots   float64
	updated time.Time
	// slotTimeSum and runs are decayed sums over finished requests.
	slotTimeSum float64
	finishedSum float64
}

// decayTo brings the average to the present.
func (l *offeredLoad) decayTo(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.slots *= math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		l.updated = now
	}
}

// recordArrival counts one request.
func (l *offeredLoad) recordArrival(now time.Time) {
	l.decayTo(now)
	if l.finishedSum > 0 {
		l.slots += l.slotTimeSum / l.finishedSum / loadTimeConstant.Seconds()
	}
}

// recordSlotTime counts a finished request's time in its slot.
func (l *offeredLoad) recordSlotTime(slotTime time.Duration) {
	l.slotTimeSum = l.slotTimeSum*sumDecay + slotTime.Seconds()
	l.finishedSum = l.finishedSum*sumDecay + 1
}

// reservedSlots returns the slots kept free of a tier and those below it for the
// higher tiers' demand (trunk reservation, as in telephone networks). Without
// it, long work takes every slot that is free for a moment, and urgent work
// finds none when it comes.
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

// reserveFraction returns the part of the reserve that concerns a tier, by the mean
// time that its work holds a slot.
func (l *offeredLoad) reserveFraction() float64 {
	if l.finishedSum == 0 {
		return 0
	}
	meanSlotTime := l.slotTimeSum / l.finishedSum
	fraction := (meanSlotTime - reserveMinSlotTime.Seconds()) / (reserveFullSlotTime - reserveMinSlotTime).Seconds()
	return max(0, min(1, fraction))
}

// mayTakeSlot reports whether a tier may take another slot beside the reserve.
func (s *Sched) mayTakeSlot(now time.Time, tier int) bool {
	taken := 0
	for _, ts := range s.tiers[tier:] {
		taken += ts.running
	}
	return taken < s.policy.Slots-s.reservedSlots(now, tier)
}
