package place

import (
	"math"
	"slices"
	"time"
)

// Engines read the prompts of more urgent requests first; one that has begun is
// read to its end.

// enqueuePrefill queues the reading of a run's prompt.
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

// dequeuePrefill takes a run out of the queue, if it is there.
func (u *upstreamState) dequeuePrefill(r *run) {
	if i := slices.Index(u.prefillQueue, r); i >= 0 {
		u.prefillQueue = slices.Delete(u.prefillQueue, i, i+1)
	}
	r.prefillLeft = 0
}

// advancePrefills lets the engine read until now.
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

// finishPrefill notes when a run's prompt is expected to have been read.
func (u *upstreamState) finishPrefill(r *run, at time.Time) {
	r.prefillDone = at
	r.expectedEnd = at.Add(r.decodeTime)
	u.prefillsDone = at
}

// pendingPrefill is the time that the engine needs for all prompts sent so far.
func (u *upstreamState) pendingPrefill(now time.Time) time.Duration {
	u.advancePrefills(now)
	sum := time.Duration(0)
	for _, r := range u.prefillQueue {
		sum += r.prefillLeft
	}
	return sum
}

// longestPendingPrompt is the number of tokens of the longest prompt that is to be read.
func (u *upstreamState) longestPendingPrompt() int {
	n := 0
	for _, r := range u.prefillQueue {
		n = max(n, r.promptTokens)
	}
	return n
}

// backlog is the time until a prompt of a tier would be begun: as predicted, and
// what showed that the prediction was too short.
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

// updateSlowdown corrects the pace of reading behind others: off is by how much the
// first event came later than expected, of the reading that stood before it.
func (s *serviceModel) updateSlowdown(late, ahead time.Duration) {
	ratio := 1 + late.Seconds()/max(ahead, maxUncontendedBacklog).Seconds()
	s.prefillSlowdown *= math.Pow(min(maxObservedRatio, max(minObservedRatio, ratio)), gain(&s.slowdownSamples))
	s.prefillSlowdown = min(maxSlowdown, max(minSlowdown, s.prefillSlowdown))
}

const (
	// minSlowdown and maxPace bound the learnt pace: tokens of running requests take
	// part of the time, hardly ever more than half.
	minSlowdown = 0.8
	maxSlowdown = 2.5
)

// decayedDelay is by how much first events came later than expected lately.
type decayedDelay struct {
	delay     time.Duration
	updatedAt time.Time
}

// excessTimeConstant is the time after which two thirds of the learnt excess are
// forgotten.
const excessTimeConstant = time.Second

func (x decayedDelay) at(now time.Time) time.Duration {
	return time.Duration(float64(x.delay) * math.Exp(-float64(now.Sub(x.updatedAt))/float64(excessTimeConstant)))
}

// excessDelay is what was learnt from requests of the tier and more urgent ones.
func (u *upstreamState) excessDelay(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for t, x := range u.excessDelays {
		if t <= tier {
			longest = max(longest, x.at(now))
		}
	}
	return longest
}

// updateExcessDelay notes by how much a first event came later than expected.
func (u *upstreamState) updateExcessDelay(now time.Time, tier int, late time.Duration) {
	old := u.excessDelays[tier].at(now)
	u.excessDelays[tier] = decayedDelay{delay: max(0, old+(late-old)/2), updatedAt: now}
}

// overdue is how long the first event of a request of this entry, of the tier or
// more urgent, has been expected in vain.
func (u *upstreamState) overdue(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for _, r := range u.runs {
		if !r.remote && r.eventGapTarget > 0 && r.lastEvent.IsZero() && r.prefillLeft == 0 && r.tier <= tier {
			longest = max(longest, now.Sub(r.prefillDone))
		}
	}
	return longest
}

// anyTier counts all requests.
const anyTier = math.MaxInt
