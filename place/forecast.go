package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

const (
	// maxFirstEventPenalty bounds the squared ratio of the time to the first event to
	// its target, and minTarget the target that it is divided by.
	maxFirstEventPenalty = 1.0
	minTarget            = 50 * time.Millisecond
	// memoryHighWatermark is the fraction of an engine's KV cache above which requests
	// are expected to queue. The margin covers errors of the estimated output lengths.
	memoryHighWatermark = 0.75
	// memoryTurnover is the time in which all running requests of an engine are
	// replaced by others.
	memoryTurnover = 4 * time.Second
	// memoryOvercommitCost is the cost of overcommitting an engine's KV cache by its
	// whole size.
	memoryOvercommitCost = 60.0
	// failureCost is the cost of a failed request. It is above that of a late response,
	// which the caller still gets.
	failureCost = 5.0
	// timeoutCost is the cost of a stream that doesn't finish within its timeout, on
	// top of that of a missed latency target. timeoutUncertainty is the uncertainty of
	// its end, as a fraction of the timeout.
	timeoutCost        = 2.0
	timeoutUncertainty = 0.15
	// overdueCost is the cost of an engine for each second beyond overdueThreshold
	// that a first event is overdue: the engine may be unreachable, not busy.
	overdueCost      = 2.0
	overdueThreshold = time.Second
	// bannedCost ranks banned upstreams behind all others.
	bannedCost = 100.0
	// queuedRequestCost is the cost of each request ahead in the queue of a full engine.
	queuedRequestCost = 0.05
)

func (s *serviceModel) forecastPlain(now time.Time, u *upstreamState, c fleet.Candidate) Forecast {
	n := u.requestCount(now)
	queueRatio := float64(max(0, n+1-c.Slots)) / float64(max(1, c.Slots))
	first := s.plainLatency + time.Duration(queueRatio*float64(s.plainLatency)) + time.Duration(float64(n)/float64(max(1, c.Slots))*float64(time.Millisecond))
	cost := occupancyCost*float64(n)/float64(max(1, c.Slots)) + queuedRequestCost*float64(max(0, n+1-c.Slots))
	return Forecast{TimeToFirst: first, Running: n, Cost: cost}
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
		// The request waits until others have finished, or preempts one of them.
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

// occupancyCost is the cost of a full engine. It prefers the less occupied of
// otherwise equal upstreams, as each further request slows the decode steps of all at an engine,
// and a full one refuses requests.
const occupancyCost = 0.05

// streamTime predicts the duration of a stream. The prefills queued now delay its
// first events; later ones take the mean fraction of time of all candidates.
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

// gapUnderPrefill predicts the time between two events of a stream while the engine
// processes prefills all the time, with chunks that follow a number of preceding
// tokens of their prompt.
func (s *serviceModel) gapUnderPrefill(u *upstreamState, tokensPerEvent, preceding int) time.Duration {
	return time.Duration(max(1, tokensPerEvent)) * (s.decodeStep(u) + s.prefillTime(prefillChunkTokens, preceding))
}

// worstGap predicts the longest time between two events of a stream while a given
// amount of prefill is processed.
func (s *serviceModel) worstGap(u *upstreamState, tokensPerEvent, preceding int, prefill time.Duration) time.Duration {
	return min(time.Duration(max(1, tokensPerEvent))*s.decodeStep(u)+prefill, s.gapUnderPrefill(u, tokensPerEvent, preceding))
}

// runningGapCost is the expected number of running requests that miss their event
// gap target because of the additional prefill.
func (s *serviceModel) runningGapCost(u *upstreamState, req *Request, pending, prefill time.Duration) float64 {
	if prefill == 0 {
		return 0
	}
	longest := u.longestPendingPrompt()
	gapBefore := s.worstGap(u, req.TokensPerEvent, longest, pending)
	gapAfter := s.worstGap(u, req.TokensPerEvent, max(longest, req.PromptTokens), pending+prefill)
	sum := 0.0
	for _, g := range u.gapRuns {
		uncertainty := gapUncertainty * g.target.Seconds()
		sum += float64(g.runs) * (missProbability(gapAfter, g.target, uncertainty) - missProbability(gapBefore, g.target, uncertainty))
	}
	return sum
}

// ownGapCost is the probability that the request misses its own event gap target,
// given the fraction of time that the upstream spends on prefill. Prompts are expected
// to arrive at the rate of all candidates, reduced where running requests with a gap
// target divert them.
func (s *serviceModel) ownGapCost(u *upstreamState, req *Request, now time.Time, aggregate aggregateLoad) float64 {
	if req.EventGapTarget == 0 {
		return 0
	}
	gap := s.gapUnderPrefill(u, req.TokensPerEvent, max(typicalPreceding, u.longestPendingPrompt()))
	runsAtRisk := 0.0
	for _, g := range u.gapRuns {
		runsAtRisk += float64(g.runs) * missProbability(gap, g.target, gapUncertainty*g.target.Seconds())
	}
	prefillUtil := max(u.prefillUtil.at(now), aggregate.prefillUtil*math.Exp(-runsAtRisk/prefillDiversionRuns))
	return missProbability(gap, req.EventGapTarget, gapUncertainty*req.EventGapTarget.Seconds()) * min(1, prefillUtil)
}

// prefillDiversionRuns is the number of requests with short event gap targets that
// divert two thirds of the prompts from an engine, as each adds one SLO violation to
// their cost (docs/MEASUREMENTS.md: 1.5 and 6 are no better).
const prefillDiversionRuns = 3.0

// typicalPreceding is the number of prompt tokens that precede a typical prefill
// chunk.
const typicalPreceding = 16000

// missProbability is the probability that a duration predicted as d exceeds the
// limit: a logistic function whose scale is the uncertainty, in seconds. A limit of
// 0 means none.
func missProbability(d, limit time.Duration, uncertainty float64) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(d-limit).Seconds()/uncertainty))
}

// Uncertainties of predictions.
const (
	// firstEventUncertainty is a fraction of the latency target, backlogUncertainty one
	// of the backlog.
	firstEventUncertainty = 0.12
	backlogUncertainty    = 0.3
	// gapUncertainty is a fraction of the event gap target.
	gapUncertainty = 0.1
)
