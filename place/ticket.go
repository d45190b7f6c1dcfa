package place

import (
	"math"
	"time"

	"cactustide/fleet"
)

// Ticket stands for a request at an upstream until Finish.
type Ticket struct {
	model   *Model
	service *service
	at      *upstream
	id      uint64
	run     *run
	started time.Time
	// clean sends had nothing to wait for, so their time teaches.
	clean     bool
	predicted time.Duration
	// expected is the time to the first event as far as the sends known then tell.
	expected time.Duration
	engine   bool
	first    time.Time
	last     time.Time
	stride   int
}

// Start records that a request is sent to an upstream.
func (m *Model) Start(now time.Time, serviceName string, to fleet.Upstream, w *Work) *Ticket {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	s := m.service(serviceName)
	u := m.upstream(to)
	t := &Ticket{model: m, service: s, at: u, id: m.sequence, started: now, engine: w.Engine, stride: max(1, w.Stride)}
	t.clean = u.backlog(now) <= cleanBacklog && u.count(now) < to.Slots
	t.run, t.predicted = m.add(now, s, u, w)
	t.expected = t.run.read.Sub(now) + s.base + s.step
	u.enter(t.id, t.run)
	u.after++
	return t
}

// add records a request's reading, memory and cached parts.
func (m *Model) add(now time.Time, s *service, u *upstream, w *Work) (*run, time.Duration) {
	r := &run{end: now.Add(s.work)}
	if !w.Engine {
		return r, s.work
	}
	u.memory = w.Memory
	have := min(w.Prompt, u.cachedTokens(w.Parts))
	read := s.readTime(w.Prompt-have, have)
	begin := now
	if u.busy.After(now) {
		begin = u.busy
	}
	u.busy = begin.Add(read)
	u.pressure = u.pressureAt(now) + read.Seconds()/pressureLife.Seconds()
	u.pressed = now
	output := w.output()
	r.pause = w.Pause
	r.parts = w.Parts
	r.tokens = w.Prompt + output
	for _, p := range w.Parts {
		r.tokens -= p.Tokens
	}
	r.read = u.busy
	r.end = u.busy.Add(time.Duration(toldMargin * float64(time.Duration(output)*s.step)))
	u.touch(w.Parts)
	m.use(now, w.Parts)
	return r, read
}

// Told records a send of another entry under a key. Its end is estimated until
// Ended is called.
func (m *Model) Told(now time.Time, key uint64, to fleet.Upstream, w *Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstream(to)
	r, _ := m.add(now, m.service(to.Service), u, w)
	r.told = true
	u.enter(key, r)
	m.told[key] = u
}

// Ended records that a send of another entry ended.
func (m *Model) Ended(key uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.told[key]; ok {
		u.leave(key)
		delete(m.told, key)
	}
}

// Heard records the load that an upstream told of itself.
func (m *Model) Heard(now time.Time, id string, running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.upstreams[id]; ok {
		u.reported, u.heard, u.after = running+waiting, now, 0
	}
}

// Event records events of a stream, or a plain answer's start.
func (t *Ticket) Event(now time.Time) {
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
func (t *Ticket) learnFirst(now time.Time) {
	took := now.Sub(t.started)
	s := t.service
	if !t.engine {
		s.work += time.Duration(float64(took-s.work) / scaleWindow)
		return
	}
	t.at.learnExcess(now, took-t.expected)
	if !t.clean {
		return
	}
	if t.predicted < shortRead {
		s.base += time.Duration(float64(max(0, took-t.predicted-s.step)-s.base) / scaleWindow)
		return
	}
	ratio := float64(took-s.base-s.step) / float64(t.predicted)
	if ratio <= 0 {
		return
	}
	s.scale *= math.Pow(min(maxScale, max(minScale, ratio)), 1/scaleWindow)
}

// shortRead separates the sends that teach the fixed part of the time to the
// first token from those that teach the part that grows with the prompt.
const shortRead = 25 * time.Millisecond

// learnStep learns the time for a token from short gaps between events: longer
// ones had prompts read in between.
func (t *Ticket) learnStep(now time.Time) {
	step := now.Sub(t.last) / time.Duration(t.stride)
	s := t.service
	if step <= 0 || step > 3*s.step {
		return
	}
	s.step += time.Duration(float64(step-s.step) / (4 * scaleWindow))
}

// Finish records that the request has left the upstream.
func (t *Ticket) Finish(now time.Time) {
	t.model.mu.Lock()
	defer t.model.mu.Unlock()
	if t.run == nil {
		return
	}
	t.at.leave(t.id)
	t.at.after--
	// A request that left before its prompt was read leaves no reading behind.
	if t.engine && t.first.IsZero() && t.run.read.After(now) {
		t.at.busy = t.at.busy.Add(-min(t.predicted, t.run.read.Sub(now)))
	}
	t.run = nil
}

// Learnt is what a model learnt of a service, for operators.
type Learnt struct {
	Scale float64
	Base  time.Duration
	Step  time.Duration
	Work  time.Duration
}

// Learnt returns what was learnt of a service.
func (m *Model) Learnt(name string) Learnt {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	return Learnt{Scale: s.scale, Base: s.base, Step: s.step, Work: s.work}
}
