package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

const (
	// maxFirstEventPenalty bounds the price of waiting, and minTarget what it is divided by.
	maxFirstEventPenalty = 1.0
	minTarget            = 50 * time.Millisecond
	// memoryHighWatermark is the share of an engine's memory above which requests wait: the
	// lengths of outputs are estimates.
	memoryHighWatermark = 0.75
	// memoryTurnover is the time in which an engine's running requests change once.
	memoryTurnover = 4 * time.Second
	// memoryOvercommitCost is the harm of an engine whose memory is asked for twice.
	memoryOvercommitCost = 60.0
	// failureCost is the harm of an answer that fails: its caller has nothing, where
	// one that is late still has the answer.
	failureCost = 5.0
	// timeoutCost is the harm of a stream that is not whole when its caller's time is
	// up, beyond that of a late one, and limitWidth the uncertainty of its end, as
	// a share of the time.
	timeoutCost        = 2.0
	timeoutUncertainty = 0.15
	// overdueCost is the harm expected of an engine for each second beyond
	// silenceAfter that a first event is overdue: it may be dark, not busy.
	overdueCost      = 2.0
	overdueThreshold = time.Second
	// bannedCost puts upstreams that seem away behind all others.
	bannedCost = 100.0
	// queuedRequestCost is the harm of waiting behind a full engine, for each request ahead.
	queuedRequestCost = 0.05
)

func (s *serviceModel) forecastPlain(now time.Time, u *upstreamState, c fleet.Candidate) Forecast {
	n := u.requestCount(now)
	queueRatio := float64(max(0, n+1-c.Slots)) / float64(max(1, c.Slots))
	first := s.plainLatency + time.Duration(queueRatio*float64(s.plainLatency)) + time.Duration(float64(n)/float64(max(1, c.Slots))*float64(time.Millisecond))
	return Forecast{TimeToFirst: first, Running: n}
}

func (s *serviceModel) forecastEngine(now time.Time, u *upstreamState, c fleet.Candidate, req *Request, settings Settings, aggregate aggregateLoad) Forecast {
	promptTokens := req.PromptTokens
	cached := min(promptTokens, u.cachedPrefixTokens(req.Segments))
	prefill := s.prefillTime(promptTokens-cached, cached)
	backlog := u.backlog(now, req.Tier)
	n := u.requestCount(now)
	queued := max(0, n+1-c.Slots)
	f := Forecast{CachedTokens: cached, Backlog: backlog, Running: n}
	step := s.decodeStep(u)
	f.TimeToFirst = backlog + prefill + s.firstTokenOverhead + step + time.Duration(queued)*step*defaultOutputTokens/time.Duration(max(1, c.Slots))
	f.Cost = missProbability(now.Sub(req.ArrivedAt)+f.TimeToFirst, req.LatencyTarget, firstEventUncertainty*req.LatencyTarget.Seconds()+backlogUncertainty*backlog.Seconds())
	targetRatio := f.TimeToFirst.Seconds() / max(minTarget.Seconds(), req.LatencyTarget.Seconds())
	f.Cost += settings.FirstEventCost * min(maxFirstEventPenalty, targetRatio*targetRatio)
	f.Cost += aggregate.prefillCost * prefill.Seconds()
	f.Cost += queuedRequestCost * float64(queued)
	f.Cost += min(failureCost, overdueCost*max(0, u.overdue(now, anyTier)-overdueThreshold).Seconds())
	if over := u.usedTokens + u.requiredTokens(req) - int(memoryHighWatermark*float64(req.KVCapacity)); over > 0 && req.KVCapacity > 0 {
		// It waits till others have left, or pushes one of them out.
		f.TimeToFirst += time.Duration(float64(over) / float64(req.KVCapacity) * float64(memoryTurnover))
		f.Cost += memoryOvercommitCost * float64(over) / float64(req.KVCapacity)
	}
	f.TimeToLast = f.TimeToFirst + s.streamTime(u, req, now, aggregate)
	f.Cost += timeoutCost * missProbability(now.Sub(req.ArrivedAt)+f.TimeToLast, req.Timeout, timeoutUncertainty*req.Timeout.Seconds())
	f.Cost += s.runningGapCost(u, req, u.pendingPrefill(now), prefill)
	f.Cost += s.ownGapCost(u, req, now, aggregate)
	f.Cost += occupancyCost * float64(n) / float64(max(1, c.Slots))
	return f
}

// occupancyCost prefers emptier engines among equals; each request more slows the
// tokens of all a little.
const occupancyCost = 0.05

// streamTime predicts how long a stream lasts: prompts that are queued now are
// read between its tokens, afterwards others as often as everywhere.
func (s *serviceModel) streamTime(u *upstreamState, req *Request, now time.Time, aggregate aggregateLoad) time.Duration {
	events := float64(req.expectedOutput()) / float64(max(1, req.TokensPerEvent))
	idleGap := float64(time.Duration(max(1, req.TokensPerEvent)) * s.decodeStep(u))
	loadedGap := float64(s.gapUnderPrefill(u, req.TokensPerEvent, typicalPreceding))
	pending := float64(u.pendingPrefill(now))
	slowEvents := min(events, pending/loadedGap)
	gap := loadedGap
	if busy := idleGap / loadedGap; aggregate.longPrefillUtil < 1-busy {
		gap = idleGap / (1 - aggregate.longPrefillUtil)
	}
	return time.Duration(slowEvents*loadedGap + (events-slowEvents)*gap)
}

// gapUnderPrefill predicts the time between two events while prompts are read all the
// time, whose chunks stand behind a number of tokens.
func (s *serviceModel) gapUnderPrefill(u *upstreamState, tokensPerEvent, preceding int) time.Duration {
	return time.Duration(max(1, tokensPerEvent)) * (s.decodeStep(u) + s.prefillTime(prefillChunkTokens, preceding))
}

// worstGap predicts the longest time between two events while prompts are read
// for a time.
func (s *serviceModel) worstGap(u *upstreamState, tokensPerEvent, preceding int, prefill time.Duration) time.Duration {
	return min(time.Duration(max(1, tokensPerEvent))*s.decodeStep(u)+prefill, s.gapUnderPrefill(u, tokensPerEvent, preceding))
}

// runningGapCost is the number of running requests whose pauses become too long if the
// prompt is read there too.
func (s *serviceModel) runningGapCost(u *upstreamState, req *Request, pending, prefill time.Duration) float64 {
	if prefill == 0 {
		return 0
	}
	longest := u.longestPendingPrompt()
	gapBefore := s.worstGap(u, req.TokensPerEvent, longest, pending)
	gapAfter := s.worstGap(u, req.TokensPerEvent, max(longest, req.PromptTokens), pending+prefill)
	sum := 0.0
	for _, r := range u.runs {
		if r.eventGapTarget > 0 {
			sum += missProbability(gapAfter, r.eventGapTarget, gapUncertainty*r.eventGapTarget.Seconds()) - missProbability(gapBefore, r.eventGapTarget, gapUncertainty*r.eventGapTarget.Seconds())
		}
	}
	return sum
}

// ownGapCost is the chance that the request's own pauses become too long, as the
// upstream reads prompts for a share of the time. Prompts will come here as they
// come elsewhere, unless those that run here keep them away.
func (s *serviceModel) ownGapCost(u *upstreamState, req *Request, now time.Time, aggregate aggregateLoad) float64 {
	if req.EventGapTarget == 0 {
		return 0
	}
	gap := s.gapUnderPrefill(u, req.TokensPerEvent, max(typicalPreceding, u.longestPendingPrompt()))
	runsAtRisk := 0.0
	for _, r := range u.runs {
		if r.eventGapTarget > 0 {
			runsAtRisk += missProbability(gap, r.eventGapTarget, gapUncertainty*r.eventGapTarget.Seconds())
		}
	}
	prefillUtil := max(u.prefillUtil.at(now), aggregate.prefillUtil*math.Exp(-runsAtRisk/prefillDiversionRuns))
	return missProbability(gap, req.EventGapTarget, gapUncertainty*req.EventGapTarget.Seconds()) * min(1, prefillUtil)
}

// prefillDiversionRuns is the number of requests with short pauses that keep two thirds
// of the prompts away from an engine: each adds one late answer to their cost
// (docs/MEASUREMENTS.md: 1.5 and 6 were no better).
const prefillDiversionRuns = 3.0

// typicalPreceding is the number of tokens that stand before a usual chunk.
const typicalPreceding = 16000

// missProbability is the probability that something expected to take d takes longer
// than limit: a logistic curve whose width is the uncertainty, in seconds.
func missProbability(d, limit time.Duration, uncertainty float64) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(d-limit).Seconds()/uncertainty))
}

// Uncertainties of forecasts.
const (
	// firstEventUncertainty is a share of the target, backlogWidth one of the backlog.
	firstEventUncertainty = 0.12
	backlogUncertainty    = 0.3
	// gapUncertainty is a share of the longest pause.
	gapUncertainty = 0.1
)
