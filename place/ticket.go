package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

// InFlightRequest stands for a request at an upstream until Finish.
type InFlightRequest struct {
	model   *Balancer
	service *service
	at      *upstream
	id      uint64
	run     *run
	started time.Time
	// clean sends had nothing to wait for, so their time teaches.
	clean     bool
	predicted time.Duration
	// ahead is the reading that stood before the first event at the send.
	ahead  time.Duration
	engine bool
	first  time.Time
	last   time.Time
	stride int
}

// Start records that a request is sent to an upstream.
func (m *Balancer) Start(now time.Time, serviceName string, to fleet.Upstream, w *Request) *InFlightRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	m.noteSent(now, serviceName, w.RouteTier)
	s := m.service(serviceName)
	u := m.upstream(to)
	t := &InFlightRequest{model: m, service: s, at: u, id: m.sequence, started: now, engine: w.Engine, stride: max(1, w.TokensPerEvent)}
	t.clean = u.backlog(now, anyTier) <= cleanBacklog && u.count(now) < to.Slots
	t.ahead = u.unread(now)
	t.run, t.predicted = m.add(now, s, u, w)
	t.ahead += t.predicted
	u.enter(t.id, t.run)
	u.after++
	return t
}

// add records a request's reading, memory and cached parts.
func (m *Balancer) add(now time.Time, s *service, u *upstream, w *Request) (*run, time.Duration) {
	r := &run{end: now.Add(s.work)}
	if !w.Engine {
		return r, s.work
	}
	u.memory = w.KVCapacity
	have := min(w.PromptTokens, u.cachedTokens(w.Segments))
	read := s.readTime(w.PromptTokens-have, have)
	u.pressure.add(now, read)
	u.usual.add(now, read)
	output := w.output()
	r.pause = w.EventGapTarget
	r.parts = w.Segments
	r.tokens = w.PromptTokens + output
	for _, p := range w.Segments {
		r.tokens -= p.Tokens
	}
	r.tier = w.Tier
	r.prompt = w.PromptTokens
	r.left = read
	r.life = time.Duration(toldMargin * float64(time.Duration(output)*s.step(u)))
	u.push(now, r)
	u.touch(w.Segments)
	m.use(now, w.Segments)
	return r, read
}

// StartRemote records a send of another entry under a key. Its end is estimated until
// Ended is called.
func (m *Balancer) StartRemote(now time.Time, key uint64, to fleet.Upstream, w *Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteSent(now, to.Service, w.RouteTier)
	u := m.upstream(to)
	r, _ := m.add(now, m.service(to.Service), u, w)
	r.told = true
	u.enter(key, r)
	m.told[key] = u
}

// FinishRemote records that a send of another entry ended.
func (m *Balancer) FinishRemote(key uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.told[key]; ok {
		u.leave(key)
		delete(m.told, key)
	}
}

// RecordLoad records the load that an upstream told of itself.
func (m *Balancer) RecordLoad(now time.Time, id string, running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.upstreams[id]; ok {
		u.reported, u.heard, u.after = running+waiting, now, 0
	}
}

// RecordEvent records events of a stream, or a plain answer's start.
func (t *InFlightRequest) RecordEvent(now time.Time) {
	t.model.mu.Lock()
	defer t.model.mu.Unlock()
	if t.run != nil {
		t.run.heard = now
	}
	if t.first.IsZero() {
		t.first = now
		t.learnFirst(now)
	} else if t.engine {
		t.learnStep(now)
	}
	t.last = now
}

// learnFirst corrects the predicted time to read prompts. Sends behind a
// backlog teach nothing: their wait is the sum of others' errors.
func (t *InFlightRequest) learnFirst(now time.Time) {
	took := now.Sub(t.started)
	s := t.service
	if !t.engine {
		s.work += time.Duration(float64(took-s.work) / scaleWindow)
		return
	}
	late := time.Duration(0)
	t.at.advance(now)
	if t.run.left > 0 {
		s.learnPace(-t.run.left, t.ahead)
		t.at.drop(t.run)
		t.at.finishRead(t.run, now)
	} else {
		late = now.Sub(t.run.read) - s.base - s.step(t.at)
		if !t.clean {
			s.learnPace(late, t.ahead)
		}
	}
	t.at.learnExcess(now, t.run.tier, late)
	if !t.clean {
		return
	}
	if t.predicted < shortRead {
		s.base += time.Duration(float64(max(0, took-t.predicted-s.step(t.at))-s.base) * gain(&s.bases))
		return
	}
	ratio := float64(took-s.base-s.step(t.at)) / float64(t.predicted)
	if ratio <= 0 {
		return
	}
	s.scale *= math.Pow(min(maxScale, max(minScale, ratio)), gain(&s.scales))
}

// shortRead separates the sends that teach the fixed part of the time to the
// first token from those that teach the part that grows with the prompt.
const shortRead = 25 * time.Millisecond

// learnStep learns the time for a token from gaps between events in which no
// prompt was read, as far as is known.
func (t *InFlightRequest) learnStep(now time.Time) {
	u := t.at
	u.advance(now)
	step := now.Sub(t.last) / time.Duration(t.stride)
	if step <= 0 || step > 3*t.service.step(u) || len(u.reads) > 0 || t.last.Before(u.idle) {
		return
	}
	t.service.steps.add(float64(u.used)/1000, step.Seconds()*1000)
}

// Finish records that the request has left the upstream.
func (t *InFlightRequest) Finish(now time.Time) {
	t.model.mu.Lock()
	defer t.model.mu.Unlock()
	if t.run == nil {
		return
	}
	t.at.advance(now)
	t.at.leave(t.id)
	t.at.after--
	t.run = nil
}

// Estimates is what a model learnt of a service, for operators.
type Estimates struct {
	PrefillScale       float64
	FirstTokenOverhead time.Duration
	DecodeStep         time.Duration
	PlainLatency       time.Duration
}

// Estimates returns what was learnt of a service.
func (m *Balancer) Estimates(name string) Estimates {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	return Estimates{PrefillScale: s.scale, FirstTokenOverhead: s.base, DecodeStep: time.Duration(s.steps.at(0) * float64(time.Millisecond)), PlainLatency: s.work}
}
