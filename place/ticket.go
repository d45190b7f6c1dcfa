package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

// InFlightRequest stands for a request at an upstream until Finish.
type InFlightRequest struct {
	balancer *Balancer
	model    *serviceModel
	upstream *upstreamState
	id       uint64
	run      *run
	sentAt   time.Time
	// uncontended sends had nothing to wait for, so their time teaches.
	uncontended      bool
	predictedPrefill time.Duration
	// prefillAhead is the reading that stood before the first event at the send.
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

// newRun records a request's reading, memory and cached parts.
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
	b.recordUse(now, req.Segments)
	return r, prefill
}

// StartRemote records a send of another entry under a key. Its end is estimated until
// Ended is called.
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

// FinishRemote records that a send of another entry ended.
func (b *Balancer) FinishRemote(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u, ok := b.remoteRuns[key]; ok {
		u.removeRun(key)
		delete(b.remoteRuns, key)
	}
}

// RecordLoad records the load that an upstream told of itself.
func (b *Balancer) RecordLoad(now time.Time, id string, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u, ok := b.upstreams[id]; ok {
		u.reportedLoad, u.reportedAt, u.startedSinceReport = running+waiting, now, 0
	}
}

// RecordEvent records events of a stream, or a plain answer's start.
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

// observeFirstEvent corrects the predicted time to read prompts. Sends behind a
// backlog teach nothing: their wait is the sum of others' errors.
func (r *InFlightRequest) observeFirstEvent(now time.Time) {
	took := now.Sub(r.sentAt)
	s := r.model
	if !r.engine {
		s.plainLatency += time.Duration(float64(took-s.plainLatency) / smoothingWindow)
		return
	}
	late := time.Duration(0)
	r.upstream.advancePrefills(now)
	if r.run.prefillLeft > 0 {
		s.updateSlowdown(-r.run.prefillLeft, r.prefillAhead)
		r.upstream.dequeuePrefill(r.run)
		r.upstream.finishPrefill(r.run, now)
	} else {
		late = now.Sub(r.run.prefillDone) - s.firstTokenOverhead - s.decodeStep(r.upstream)
		if !r.uncontended {
			s.updateSlowdown(late, r.prefillAhead)
		}
	}
	r.upstream.updateExcessDelay(now, r.run.tier, late)
	if !r.uncontended {
		return
	}
	if r.predictedPrefill < shortPrefill {
		s.firstTokenOverhead += time.Duration(float64(max(0, took-r.predictedPrefill-s.decodeStep(r.upstream))-s.firstTokenOverhead) * gain(&s.overheadSamples))
		return
	}
	ratio := float64(took-s.firstTokenOverhead-s.decodeStep(r.upstream)) / float64(r.predictedPrefill)
	if ratio <= 0 {
		return
	}
	s.prefillScale *= math.Pow(min(maxObservedRatio, max(minObservedRatio, ratio)), gain(&s.scaleSamples))
}

// shortPrefill separates the sends that teach the fixed part of the time to the
// first token from those that teach the part that grows with the prompt.
const shortPrefill = 25 * time.Millisecond

// observeDecodeStep learns the time for a token from gaps between events in which no
// prompt was read, as far as is known.
func (r *InFlightRequest) observeDecodeStep(now time.Time) {
	u := r.upstream
	u.advancePrefills(now)
	step := now.Sub(r.lastEvent) / time.Duration(r.tokensPerEvent)
	if step <= 0 || step > 3*r.model.decodeStep(u) || len(u.prefillQueue) > 0 || r.lastEvent.Before(u.prefillsDone) {
		return
	}
	r.model.decodeSteps.add(float64(u.usedTokens)/1000, step.Seconds()*1000)
}

// Finish records that the request has left the upstream.
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

// Estimates is what a model learnt of a service, for operators.
type Estimates struct {
	PrefillScale       float64
	FirstTokenOverhead time.Duration
	DecodeStep         time.Duration
	PlainLatency       time.Duration
}

// Estimates returns what was learnt of a service.
func (b *Balancer) Estimates(name string) Estimates {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(name)
	return Estimates{PrefillScale: s.prefillScale, FirstTokenOverhead: s.firstTokenOverhead, DecodeStep: time.Duration(s.decodeSteps.predict(0) * float64(time.Millisecond)), PlainLatency: s.plainLatency}
}
