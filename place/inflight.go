package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

// InFlightRequest is a request sent to an upstream, until Finish.
type InFlightRequest struct {
	balancer *Balancer
	model    *serviceModel
	upstream *upstreamState
	id       uint64
	run      *run
	sentAt   time.Time
	// uncontended requests didn't have to queue, so that their latency is that of the
	// engine alone and updates its estimates.
	uncontended      bool
	predictedPrefill time.Duration
	// prefillAhead is the predicted prefill time before the first event, at the time of
	// sending: that of the queue and the request's own.
	prefillAhead   time.Duration
	engine         bool
	firstEvent     time.Time
	lastEvent      time.Time
	tokensPerEvent int
}

// Start records that a request is sent to an upstream.
func (b *Balancer) Start(now time.Time, serviceName string, to fleet.Upstream, req *Request) *InFlightRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.recordSent(now, serviceName, req.RouteTier)
	s := b.serviceModel(serviceName)
	u := b.upstream(to)
	r := &InFlightRequest{balancer: b, model: s, upstream: u, id: b.sequence, sentAt: now, engine: req.Engine, tokensPerEvent: max(1, req.TokensPerEvent)}
	r.uncontended = u.backlog(now, anyTier) <= maxUncontendedBacklog && u.requestCount(now) < to.Slots
	r.prefillAhead = u.pendingPrefill(now)
	r.run, r.predictedPrefill = b.newRun(now, s, u, req)
	r.prefillAhead += r.predictedPrefill
	u.addRun(r.id, r.run)
	u.startedSinceReport++
	return r
}

// newRun creates the run of a request, and updates the prefill queue and the prefix
// cache. It returns the run and the predicted prefill time or plain latency.
func (b *Balancer) newRun(now time.Time, s *serviceModel, u *upstreamState, req *Request) (*run, time.Duration) {
	r := &run{expectedEnd: now.Add(s.plainLatency)}
	if !req.Engine {
		return r, s.plainLatency
	}
	u.kvCapacity = req.KVCapacity
	cached := min(req.PromptTokens, u.cachedPrefixTokens(req.Segments))
	prefill := s.prefillTime(req.PromptTokens-cached, cached)
	u.prefillUtil.add(now, prefill)
	u.longPrefillUtil.add(now, prefill)
	output := req.expectedOutput()
	r.eventGapTarget = req.EventGapTarget
	r.segments = req.Segments
	r.ownTokens = req.PromptTokens + output
	for _, seg := range req.Segments {
		r.ownTokens -= seg.Tokens
	}
	r.tier = req.Tier
	r.promptTokens = req.PromptTokens
	r.prefillLeft = prefill
	r.decodeTime = time.Duration(remoteRunMargin * float64(time.Duration(output)*s.decodeStep(u)))
	u.enqueuePrefill(now, r)
	u.touch(req.Segments)
	b.recordUse(now, u.service, req.Segments)
	return r, prefill
}

// StartRemote records a request sent by another entry under a key. Its end is
// estimated unless FinishRemote is called before.
func (b *Balancer) StartRemote(now time.Time, key uint64, to fleet.Upstream, req *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordSent(now, to.Service, req.RouteTier)
	u := b.upstream(to)
	r, _ := b.newRun(now, b.serviceModel(to.Service), u, req)
	r.remote = true
	u.addRun(key, r)
	b.remoteRuns[key] = u
}

// FinishRemote records that a request sent by another entry ended.
func (b *Balancer) FinishRemote(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u, ok := b.remoteRuns[key]; ok {
		u.removeRun(key)
		delete(b.remoteRuns, key)
	}
}

// RecordLoad records the numbers of requests that an upstream reported.
func (b *Balancer) RecordLoad(now time.Time, id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u, ok := b.upstreams[id]; ok {
		u.reportedLoad, u.reportedAt, u.startedSinceReport = running+waiting, now, 0
	}
}

// RecordEvent records events of a stream, or the start of a plain response.
func (r *InFlightRequest) RecordEvent(now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if r.run != nil {
		r.run.lastEvent = now
	}
	if r.firstEvent.IsZero() {
		r.firstEvent = now
		r.observeFirstEvent(now)
	} else if r.engine {
		r.observeDecodeStep(now)
	}
	r.lastEvent = now
}

// observeFirstEvent updates the estimates of prefill and plain latency. Contended
// requests update neither prefillScale nor firstTokenOverhead, as their wait
// accumulates the errors of others.
func (r *InFlightRequest) observeFirstEvent(now time.Time) {
	elapsed := now.Sub(r.sentAt)
	s := r.model
	if !r.engine {
		s.plainLatency += time.Duration(float64(elapsed-s.plainLatency) / smoothingWindow)
		return
	}
	late := time.Duration(0)
	r.upstream.advancePrefills(now)
	if r.run.prefillLeft > 0 {
		s.updateSlowdown(-r.run.prefillLeft, r.prefillAhead)
		r.upstream.dequeuePrefill(r.run)
		r.upstream.finishPrefill(r.run, now)
	} else {
		late = now.Sub(r.run.prefillEnd) - s.firstTokenOverhead - s.decodeStep(r.upstream)
		if !r.uncontended {
			s.updateSlowdown(late, r.prefillAhead)
		}
	}
	r.upstream.updateExcessDelay(now, r.run.tier, late)
	if !r.uncontended {
		return
	}
	if r.predictedPrefill < shortPrefill {
		s.firstTokenOverhead += time.Duration(float64(max(0, elapsed-r.predictedPrefill-s.decodeStep(r.upstream))-s.firstTokenOverhead) * gain(&s.overheadSamples))
		return
	}
	ratio := float64(elapsed-s.firstTokenOverhead-s.decodeStep(r.upstream)) / float64(r.predictedPrefill)
	if ratio <= 0 {
		return
	}
	s.prefillScale *= math.Pow(min(maxObservedRatio, max(minObservedRatio, ratio)), gain(&s.scaleSamples))
}

// shortPrefill separates the requests that update the constant part of the time to
// the first token from those that update the part proportional to the prefill.
const shortPrefill = 25 * time.Millisecond

// observeDecodeStep updates the estimate of the decode step from gaps between events
// in which no prefill ran, as far as is known.
func (r *InFlightRequest) observeDecodeStep(now time.Time) {
	u := r.upstream
	u.advancePrefills(now)
	step := now.Sub(r.lastEvent) / time.Duration(r.tokensPerEvent)
	if step <= 0 || step > 3*r.model.decodeStep(u) || len(u.prefillQueue) > 0 || r.lastEvent.Before(u.lastPrefillEnd) {
		return
	}
	r.model.decodeSteps.add(float64(u.usedTokens)/1000, step.Seconds()*1000)
}

// Finish records that the request ended at the upstream. Further calls do nothing.
func (r *InFlightRequest) Finish(now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if r.run == nil {
		return
	}
	r.upstream.advancePrefills(now)
	r.upstream.removeRun(r.id)
	r.upstream.startedSinceReport--
	r.run = nil
}

// Estimates are the latency estimates of a service, for operators.
type Estimates struct {
	PrefillScale       float64
	FirstTokenOverhead time.Duration
	DecodeStep         time.Duration
	PlainLatency       time.Duration
}

// Estimates returns the latency estimates of a service.
func (b *Balancer) Estimates(name string) Estimates {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(name)
	return Estimates{PrefillScale: s.prefillScale, FirstTokenOverhead: s.firstTokenOverhead, DecodeStep: time.Duration(s.decodeSteps.predict(0) * float64(time.Millisecond)), PlainLatency: s.plainLatency}
}
