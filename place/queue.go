package place

import (
	"math"
	"slices"
	"time"
)

// Engines process prefills in the order of priority; one that has started isn't
// preempted.

// enqueuePrefill queues the prefill of a run.
func (u *upstreamState) enqueuePrefill(now time.Time, r *run) {
	u.advancePrefills(now)
	if r.prefillLeft <= 0 {
		u.finishPrefill(r, now)
		return
	}
	i := len(u.prefillQueue)
	for i > 0 && u.prefillQueue[i-1].tier > r.tier && !u.prefillQueue[i-1].prefillStarted {
		i--
	}
	u.prefillQueue = slices.Insert(u.prefillQueue, i, r)
}

// dequeuePrefill removes a run from the queue, if it is there.
func (u *upstreamState) dequeuePrefill(r *run) {
	if i := slices.Index(u.prefillQueue, r); i >= 0 {
		u.prefillQueue = slices.Delete(u.prefillQueue, i, i+1)
	}
	r.prefillLeft = 0
}

// advancePrefills moves the simulated prefill queue forward to now.
func (u *upstreamState) advancePrefills(now time.Time) {
	elapsed := now.Sub(u.advancedAt)
	if elapsed <= 0 {
		return
	}
	u.advancedAt = now
	if len(u.prefillQueue) == 0 {
		return
	}
	available := time.Duration(float64(elapsed) / u.model.prefillSlowdown)
	n := 0
	for _, r := range u.prefillQueue {
		if available <= 0 {
			break
		}
		r.prefillStarted = true
		spent := min(available, r.prefillLeft)
		r.prefillLeft -= spent
		available -= spent
		if r.prefillLeft > 0 {
			break
		}
		u.finishPrefill(r, now.Add(-time.Duration(float64(available)*u.model.prefillSlowdown)))
		n++
	}
	u.prefillQueue = slices.Delete(u.prefillQueue, 0, n)
}

// finishPrefill records the expected end of a run's prefill.
func (u *upstreamState) finishPrefill(r *run, at time.Time) {
	r.prefillEnd = at
	r.expectedEnd = at.Add(r.decodeTime)
	u.lastPrefillEnd = at
	u.scheduleExpiry(r)
}

// pendingPrefill returns the prefill time of all queued prompts, without slowdown.
func (u *upstreamState) pendingPrefill(now time.Time) time.Duration {
	u.advancePrefills(now)
	sum := time.Duration(0)
	for _, r := range u.prefillQueue {
		sum += r.prefillLeft
	}
	return sum
}

// longestPendingPrompt returns the length of the longest queued prompt, tokens.
func (u *upstreamState) longestPendingPrompt() int {
	n := 0
	for _, r := range u.prefillQueue {
		n = max(n, r.promptTokens)
	}
	return n
}

// backlog returns the time until a prompt of the tier would start its prefill: the
// prediction, plus the delay by which recent first events exceeded theirs.
func (u *upstreamState) backlog(now time.Time, tier int) time.Duration {
	u.advancePrefills(now)
	sum := time.Duration(0)
	for _, r := range u.prefillQueue {
		if r.prefillStarted || r.tier <= tier {
			sum += r.prefillLeft
		}
	}
	return time.Duration(float64(sum)*u.model.prefillSlowdown) + max(u.excessDelay(now, tier), u.overdue(now, tier))
}

// updateSlowdown corrects prefillSlowdown: late is by how much the first event came
// later than expected, and ahead the prefill time before it.
func (s *serviceModel) updateSlowdown(late, ahead time.Duration) {
	ratio := 1 + late.Seconds()/max(ahead, maxUncontendedBacklog).Seconds()
	s.prefillSlowdown *= math.Pow(min(maxObservedRatio, max(minObservedRatio, ratio)), gain(&s.slowdownSamples))
	s.prefillSlowdown = min(maxSlowdown, max(minSlowdown, s.prefillSlowdown))
}

const (
	// minSlowdown and maxSlowdown bound the estimated slowdown: decode steps take part
	// of the time, hardly ever more than half.
	minSlowdown = 0.8
	maxSlowdown = 2.5
)

// decayedDelay is the recent excess of the time to first events over its prediction.
type decayedDelay struct {
	delay     time.Duration
	updatedAt time.Time
}

// excessTimeConstant is the time after which two thirds of the excess delay have
// decayed.
const excessTimeConstant = time.Second

func (x decayedDelay) at(now time.Time) time.Duration {
	if x.delay == 0 {
		return 0
	}
	return time.Duration(float64(x.delay) * math.Exp(-float64(now.Sub(x.updatedAt))/float64(excessTimeConstant)))
}

// excessDelay returns the largest excess delay of the tier and those above it.
func (u *upstreamState) excessDelay(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for t, x := range u.excessDelays {
		if t <= tier {
			longest = max(longest, x.at(now))
		}
	}
	return longest
}

// updateExcessDelay records by how much a first event came later than expected;
// negative if earlier.
func (u *upstreamState) updateExcessDelay(now time.Time, tier int, late time.Duration) {
	old := u.excessDelays[tier].at(now)
	u.excessDelays[tier] = decayedDelay{delay: max(0, old+(late-old)/2), updatedAt: now}
}

// overdue returns the longest time by which a first event is overdue, among this
// entry's streams of the tier and those above it that have an event gap target.
func (u *upstreamState) overdue(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for _, r := range u.local {
		if r.eventGapTarget > 0 && r.lastEvent.IsZero() && r.prefillLeft == 0 && r.tier <= tier {
			longest = max(longest, now.Sub(r.prefillEnd))
		}
	}
	return longest
}

// anyTier selects the requests of all tiers.
const anyTier = math.MaxInt
