package place

import (
	"math"
	"slices"
	"time"
)

// Engines read the prompts of more urgent requests first; one that has begun is
// read to its end.

// push queues the reading of a run's prompt.
func (u *upstream) push(now time.Time, r *run) {
	u.advance(now)
	if r.left <= 0 {
		u.finishRead(r, now)
		return
	}
	i := len(u.reads)
	for i > 0 && u.reads[i-1].tier > r.tier && !u.reads[i-1].begun {
		i--
	}
	u.reads = slices.Insert(u.reads, i, r)
}

// drop takes a run out of the queue, if it is there.
func (u *upstream) drop(r *run) {
	if i := slices.Index(u.reads, r); i >= 0 {
		u.reads = slices.Delete(u.reads, i, i+1)
	}
	r.left = 0
}

// advance lets the engine read until now.
func (u *upstream) advance(now time.Time) {
	elapsed := now.Sub(u.advanced)
	if elapsed <= 0 {
		return
	}
	u.advanced = now
	if len(u.reads) == 0 {
		return
	}
	spare := time.Duration(float64(elapsed) / u.service.pace)
	n := 0
	for _, r := range u.reads {
		if spare <= 0 {
			break
		}
		r.begun = true
		took := min(spare, r.left)
		r.left -= took
		spare -= took
		if r.left > 0 {
			break
		}
		u.finishRead(r, now.Add(-time.Duration(float64(spare)*u.service.pace)))
		n++
	}
	u.reads = slices.Delete(u.reads, 0, n)
}

// finishRead notes when a run's prompt is expected to have been read.
func (u *upstream) finishRead(r *run, at time.Time) {
	r.read = at
	r.end = at.Add(r.life)
	u.idle = at
}

// unread is the time that the engine needs for all prompts sent so far.
func (u *upstream) unread(now time.Time) time.Duration {
	u.advance(now)
	sum := time.Duration(0)
	for _, r := range u.reads {
		sum += r.left
	}
	return sum
}

// longestRead is the number of tokens of the longest prompt that is to be read.
func (u *upstream) longestRead() int {
	n := 0
	for _, r := range u.reads {
		n = max(n, r.prompt)
	}
	return n
}

// backlog is the time until a prompt of a tier would be begun: as predicted, and
// what showed that the prediction was too short.
func (u *upstream) backlog(now time.Time, tier int) time.Duration {
	u.advance(now)
	sum := time.Duration(0)
	for _, r := range u.reads {
		if r.begun || r.tier <= tier {
			sum += r.left
		}
	}
	return time.Duration(float64(sum)*u.service.pace) + max(u.excessAt(now, tier), u.overdue(now, tier))
}

// learnPace corrects the pace of reading behind others: off is by how much the
// first event came later than expected, of the reading that stood before it.
func (s *service) learnPace(off, ahead time.Duration) {
	ratio := 1 + off.Seconds()/max(ahead, cleanBacklog).Seconds()
	s.pace *= math.Pow(min(maxScale, max(minScale, ratio)), gain(&s.paces))
	s.pace = min(maxPace, max(minPace, s.pace))
}

const (
	// minPace and maxPace bound the learnt pace: tokens of running requests take
	// part of the time, hardly ever more than half.
	minPace = 0.8
	maxPace = 2.5
)

// excess is by how much first events came later than expected lately.
type excess struct {
	late time.Duration
	at   time.Time
}

// excessLife is the time after which two thirds of the learnt excess are
// forgotten.
const excessLife = time.Second

func (x excess) left(now time.Time) time.Duration {
	return time.Duration(float64(x.late) * math.Exp(-float64(now.Sub(x.at))/float64(excessLife)))
}

// excessAt is what was learnt from requests of the tier and more urgent ones.
func (u *upstream) excessAt(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for t, x := range u.excess {
		if t <= tier {
			longest = max(longest, x.left(now))
		}
	}
	return longest
}

// learnExcess notes by how much a first event came later than expected.
func (u *upstream) learnExcess(now time.Time, tier int, late time.Duration) {
	old := u.excess[tier].left(now)
	u.excess[tier] = excess{late: max(0, old+(late-old)/2), at: now}
}

// overdue is how long the first event of a request of this entry, of the tier or
// more urgent, has been expected in vain.
func (u *upstream) overdue(now time.Time, tier int) time.Duration {
	longest := time.Duration(0)
	for _, r := range u.runs {
		if !r.told && r.pause > 0 && r.heard.IsZero() && r.left == 0 && r.tier <= tier {
			longest = max(longest, now.Sub(r.read))
		}
	}
	return longest
}

// anyTier counts all requests.
const anyTier = math.MaxInt
