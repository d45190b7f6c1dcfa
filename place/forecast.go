package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

const (
	// worstPart bounds the price of waiting, and minTarget what it is divided by.
	worstPart = 1.0
	minTarget = 50 * time.Millisecond
	// memoryFull is the share of an engine's memory above which requests wait: the
	// lengths of outputs are estimates.
	memoryFull = 0.75
	// memoryTurn is the time in which an engine's running requests change once.
	memoryTurn = 4 * time.Second
	// overCost is the harm of an engine whose memory is asked for twice.
	overCost = 60.0
	// failureCost is the harm of an answer that fails: its caller has nothing, where
	// one that is late still has the answer.
	failureCost = 5.0
	// lostCost is the harm of a stream that is not whole when its caller's time is
	// up, beyond that of a late one, and limitWidth the uncertainty of its end, as
	// a share of the time.
	lostCost   = 2.0
	limitWidth = 0.15
	// silenceCost is the harm expected of an engine for each second beyond
	// silenceAfter that a first event is overdue: it may be dark, not busy.
	silenceCost  = 2.0
	silenceAfter = time.Second
	// bannedCost puts upstreams that seem away behind all others.
	bannedCost = 100.0
	// fullCost is the harm of waiting behind a full engine, for each request ahead.
	fullCost = 0.05
)

func (s *service) forecastPlain(now time.Time, u *upstream, c fleet.Candidate) Forecast {
	n := u.count(now)
	wait := float64(max(0, n+1-c.Slots)) / float64(max(1, c.Slots))
	first := s.work + time.Duration(wait*float64(s.work)) + time.Duration(float64(n)/float64(max(1, c.Slots))*float64(time.Millisecond))
	return Forecast{TimeToFirst: first, Running: n}
}

func (s *service) forecastEngine(now time.Time, u *upstream, c fleet.Candidate, w *Request, price Settings, all load) Forecast {
	total := w.PromptTokens
	have := min(total, u.cachedTokens(w.Segments))
	read := s.readTime(total-have, have)
	backlog := u.backlog(now, w.Tier)
	n := u.count(now)
	full := max(0, n+1-c.Slots)
	f := Forecast{CachedTokens: have, Backlog: backlog, Running: n}
	step := s.step(u)
	f.TimeToFirst = backlog + read + s.base + step + time.Duration(full)*step*usualOutput/time.Duration(max(1, c.Slots))
	f.Cost = lateness(now.Sub(w.ArrivedAt)+f.TimeToFirst, w.LatencyTarget, firstWidth*w.LatencyTarget.Seconds()+backlogWidth*backlog.Seconds())
	part := f.TimeToFirst.Seconds() / max(minTarget.Seconds(), w.LatencyTarget.Seconds())
	f.Cost += price.FirstEventCost * min(worstPart, part*part)
	f.Cost += all.read * read.Seconds()
	f.Cost += fullCost * float64(full)
	f.Cost += min(failureCost, silenceCost*max(0, u.overdue(now, anyTier)-silenceAfter).Seconds())
	if over := u.used + u.need(w) - int(memoryFull*float64(w.KVCapacity)); over > 0 && w.KVCapacity > 0 {
		// It waits till others have left, or pushes one of them out.
		f.TimeToFirst += time.Duration(float64(over) / float64(w.KVCapacity) * float64(memoryTurn))
		f.Cost += overCost * float64(over) / float64(w.KVCapacity)
	}
	f.TimeToLast = f.TimeToFirst + s.streamTime(u, w, now, all)
	f.Cost += lostCost * lateness(now.Sub(w.ArrivedAt)+f.TimeToLast, w.Timeout, limitWidth*w.Timeout.Seconds())
	f.Cost += s.harm(u, w, u.unread(now), read)
	f.Cost += s.ownPause(u, w, now, all)
	f.Cost += crowdCost * float64(n) / float64(max(1, c.Slots))
	return f
}

// crowdCost prefers emptier engines among equals; each request more slows the
// tokens of all a little.
const crowdCost = 0.05

// streamTime predicts how long a stream lasts: prompts that are queued now are
// read between its tokens, afterwards others as often as everywhere.
func (s *service) streamTime(u *upstream, w *Request, now time.Time, all load) time.Duration {
	events := float64(w.output()) / float64(max(1, w.TokensPerEvent))
	idle := float64(time.Duration(max(1, w.TokensPerEvent)) * s.step(u))
	loaded := float64(s.loadedGap(u, w.TokensPerEvent, usualBefore))
	reading := float64(u.unread(now))
	behind := min(events, reading/loaded)
	gap := loaded
	if busy := idle / loaded; all.usual < 1-busy {
		gap = idle / (1 - all.usual)
	}
	return time.Duration(behind*loaded + (events-behind)*gap)
}

// loadedGap predicts the time between two events while prompts are read all the
// time, whose chunks stand behind a number of tokens.
func (s *service) loadedGap(u *upstream, stride, before int) time.Duration {
	return time.Duration(max(1, stride)) * (s.step(u) + s.readTime(chunkTokens, before))
}

// gapDuring predicts the longest time between two events while prompts are read
// for a time.
func (s *service) gapDuring(u *upstream, stride, before int, reading time.Duration) time.Duration {
	return min(time.Duration(max(1, stride))*s.step(u)+reading, s.loadedGap(u, stride, before))
}

// harm is the number of running requests whose pauses become too long if the
// prompt is read there too.
func (s *service) harm(u *upstream, w *Request, unread, read time.Duration) float64 {
	if read == 0 {
		return 0
	}
	longest := u.longestRead()
	was := s.gapDuring(u, w.TokensPerEvent, longest, unread)
	is := s.gapDuring(u, w.TokensPerEvent, max(longest, w.PromptTokens), unread+read)
	sum := 0.0
	for _, r := range u.runs {
		if r.pause > 0 {
			sum += lateness(is, r.pause, pauseWidth*r.pause.Seconds()) - lateness(was, r.pause, pauseWidth*r.pause.Seconds())
		}
	}
	return sum
}

// ownPause is the chance that the request's own pauses become too long, as the
// upstream reads prompts for a share of the time. Prompts will come here as they
// come elsewhere, unless those that run here keep them away.
func (s *service) ownPause(u *upstream, w *Request, now time.Time, all load) float64 {
	if w.EventGapTarget == 0 {
		return 0
	}
	gap := s.loadedGap(u, w.TokensPerEvent, max(usualBefore, u.longestRead()))
	guarded := 0.0
	for _, r := range u.runs {
		if r.pause > 0 {
			guarded += lateness(gap, r.pause, pauseWidth*r.pause.Seconds())
		}
	}
	reading := max(u.pressure.at(now), all.pressure*math.Exp(-guarded/guardingRuns))
	return lateness(gap, w.EventGapTarget, pauseWidth*w.EventGapTarget.Seconds()) * min(1, reading)
}

// guardingRuns is the number of requests with short pauses that keep two thirds
// of the prompts away from an engine: each adds one late answer to their cost
// (docs/MEASUREMENTS.md: 1.5 and 6 were no better).
const guardingRuns = 3.0

// usualBefore is the number of tokens that stand before a usual chunk.
const usualBefore = 16000

// lateness is the probability that something expected to take d takes longer
// than limit: a logistic curve whose width is the uncertainty, in seconds.
func lateness(d, limit time.Duration, width float64) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(d-limit).Seconds()/width))
}

// Uncertainties of forecasts.
const (
	// firstWidth is a share of the target, backlogWidth one of the backlog.
	firstWidth   = 0.12
	backlogWidth = 0.3
	// pauseWidth is a share of the longest pause.
	pauseWidth = 0.1
)
