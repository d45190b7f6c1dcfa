// Package sched decides which requests an upstream runs next, and which are
// rejected or evicted from its queue. It does no I/O, reads no clock and takes no
// locks: the caller must serialise the calls.
//
// Order: strictly by tier, except that a class that would otherwise miss its floor,
// a guaranteed fraction of the starts, goes next. Slots are reserved for the offered
// load of higher tiers. Within a tier, partners are served in proportion to their
// shares by a virtual token counter (after Sheng et al., "Fairness in Serving Large
// Language Models", OSDI 2024): the backlogged partner with the lowest token count
// relative to its share goes next. Eviction runs in the reverse order.
package sched

import (
	"container/list"
	"time"

	"cactustide/config"
)

// defaultTokens is the expected output length, in tokens, of a request without
// one.
const defaultTokens = 1

// sumDecay is the factor by which the decayed sums over finished requests shrink
// with each request.
const sumDecay = 0.999

// Class holds the scheduling settings of a class: its priority tier (0 is the
// highest), the fraction of starts that it is guaranteed (0 means none) and the
// fraction of the slots that it may use at most (0 means all).
type Class struct {
	Tier  int
	Floor float64
	Cap   float64
}

// Policy holds the limits and weights that an upstream's requests are scheduled
// by.
type Policy struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// QueueLimit is the largest number of queued requests.
	QueueLimit int
	// Classes by name. Requests of an unknown class go to the lowest tier.
	Classes map[string]Class
	// Shares by partner. A partner without one, or with 0, has a share of 1.
	Shares map[string]float64
}

// Request is one queued or running request.
type Request struct {
	ID      string
	Class   string
	Partner string
	// Tokens is the expected output length, in tokens; 0 means unknown.
	Tokens float64
	// Deadline is when the request expires in the queue; zero means never.
	Deadline time.Time
	// Suspect marks a request that may have crashed an upstream. At most one
	// suspect runs at a time.
	Suspect bool
	// Redispatched marks a request that was sent to another agent before. That
	// agent has counted its arrival, so that it adds no load here.
	Redispatched bool

	seq     uint64
	tier    int
	started time.Time
	charged float64
	element *list.Element
	flow    *flow
}

// Tier returns the tier that the request was queued or started in; 0 is the
// highest.
func (r *Request) Tier() int { return r.tier }

// flow is the queue of one partner's requests in one class. Suspects have a flow
// of their own.
type flow struct {
	key      flowKey
	requests *list.List
}

type flowKey struct {
	partner string
	class   string
	suspect bool
}

// tierState holds the flows, token counters and load of one tier.
type tierState struct {
	flows           map[flowKey]*flow
	tokenCounter    map[string]float64
	queuedByPartner map[string]int
	virtualTime     float64
	queued          int
	// lengthSum and squareSum are decayed sums of the finished requests' lengths,
	// in tokens, and of their squares.
	lengthSum float64
	squareSum float64
	running   int
	load      offeredLoad
}

// classState counts a class's queued and running requests, and the starts of other
// classes since its last one while it had queued requests. If its queue empties
// without a start (requests expired or were cancelled), startsSinceLast stays, so
// that the class's next request does not start the wait over.
type classState struct {
	queued          int
	running         int
	startsSinceLast int
}

// Sched holds the queue and the slots of one upstream.
type Sched struct {
	policy          Policy
	tiers           [config.Tiers]*tierState
	classes         map[string]*classState
	queued          map[string]*Request
	running         map[string]*Request
	runningSuspects int
	seq             uint64
}

// New returns an empty scheduler.
func New(p Policy) *Sched {
	s := &Sched{
		policy:  p,
		classes: map[string]*classState{},
		queued:  map[string]*Request{},
		running: map[string]*Request{},
	}
	for i := range s.tiers {
		s.tiers[i] = &tierState{
			flows:           map[flowKey]*flow{},
			tokenCounter:    map[string]float64{},
			queuedByPartner: map[string]int{},
		}
	}
	return s
}

// SetPolicy replaces the policy. Queued requests move to the current tier of their
// class; none is dropped, even if the queue limit fell.
func (s *Sched) SetPolicy(p Policy) {
	s.policy = p
	moved := make([]*Request, 0, len(s.queued))
	for _, r := range s.queued {
		if s.tierOf(r.Class) != r.tier {
			moved = append(moved, r)
		}
	}
	for _, r := range moved {
		s.remove(r)
	}
	sortBySeq(moved)
	for _, r := range moved {
		s.insert(r)
	}
}

// Policy returns the policy in force.
func (s *Sched) Policy() Policy { return s.policy }

// QueuedInTier returns the number of queued requests of a tier.
func (s *Sched) QueuedInTier(tier int) int { return s.tiers[tier].queued }

// QueuedInClass returns the number of queued requests of a class.
func (s *Sched) QueuedInClass(class string) int { return s.class(class).queued }

// QueuedByClass returns the number of queued requests of each class that has any.
func (s *Sched) QueuedByClass() map[string]int {
	out := map[string]int{}
	for name, cs := range s.classes {
		if cs.queued > 0 {
			out[name] = cs.queued
		}
	}
	return out
}

// QueueLen returns the number of queued requests.
func (s *Sched) QueueLen() int { return len(s.queued) }

// Running returns the number of running requests.
func (s *Sched) Running() int { return len(s.running) }

// QueueSpace returns the number of requests that the queue still takes; 0 if it
// is full.
func (s *Sched) QueueSpace() int { return max(0, s.policy.QueueLimit-len(s.queued)) }

// Offer queues r. If the queue is full and r cannot start now, it returns the
// request that was evicted, which may be r itself, else nil.
func (s *Sched) Offer(now time.Time, r *Request) (victim *Request) {
	s.seq++
	r.seq = s.seq
	s.insert(r)
	if !r.Redispatched {
		s.tiers[r.tier].load.recordArrival(now)
	}
	if len(s.queued) <= s.policy.QueueLimit || s.canStartNow(now, r) {
		return nil
	}
	victim = s.evictionVictim()
	s.remove(victim)
	return victim
}

// canStartNow reports whether r would start at once. The queue limit does not apply
// to such a request.
func (s *Sched) canStartNow(now time.Time, r *Request) bool {
	return len(s.queued) == 1 && len(s.running) < s.policy.Slots && s.eligible(r.flow) && s.mayTakeSlot(now, r.tier)
}

// evictionVictim returns the request to evict first: the newest one of the partner
// with the highest token count relative to its share in the lowest tier.
func (s *Sched) evictionVictim() *Request {
	for t := config.Tiers - 1; t >= 0; t-- {
		ts := s.tiers[t]
		var found *Request
		for _, f := range ts.flows {
			last := f.requests.Back().Value.(*Request)
			if found == nil || s.isEvictedBefore(ts, last, found) {
				found = last
			}
		}
		if found != nil {
			return found
		}
	}
	return nil
}

// isEvictedBefore adds the queued requests to the token counters, so that of two
// partners with equal counters the one with the longer queue loses a request.
func (s *Sched) isEvictedBefore(ts *tierState, a, b *Request) bool {
	ca := ts.tokenCounter[a.Partner] + float64(ts.queuedByPartner[a.Partner])*defaultTokens/s.share(a.Partner)
	cb := ts.tokenCounter[b.Partner] + float64(ts.queuedByPartner[b.Partner])*defaultTokens/s.share(b.Partner)
	if a.Partner != b.Partner && ca != cb {
		return ca > cb
	}
	return a.seq > b.seq
}

// Next starts the next request and returns it, or nil if no slot is free or no
// queued request may start.
func (s *Sched) Next(now time.Time) *Request {
	if len(s.running) >= s.policy.Slots {
		return nil
	}
	r := s.nextByFloor()
	if r == nil {
		r = s.nextByTier(now)
	}
	if r == nil {
		return nil
	}
	s.remove(r)
	s.start(now, r)
	return r
}

// nextByTier returns the head request of the highest tier that may start one, or
// nil.
func (s *Sched) nextByTier(now time.Time) *Request {
	for tier, ts := range s.tiers {
		if ts.queued == 0 || !s.mayTakeSlot(now, tier) {
			continue
		}
		if r := s.nextInTier(ts, func(*flow) bool { return true }); r != nil {
			return r
		}
	}
	return nil
}

// nextInTier returns the first eligible head request of the flows that match, by
// isBefore, or nil.
func (s *Sched) nextInTier(ts *tierState, match func(*flow) bool) *Request {
	var found *Request
	for _, f := range ts.flows {
		if !match(f) || !s.eligible(f) {
			continue
		}
		head := f.requests.Front().Value.(*Request)
		if found == nil || s.isBefore(ts, head, found) {
			found = head
		}
	}
	return found
}

// isBefore compares the partners' token counters as they will be halfway through
// their next request. Without the second term, a partner with a small share would
// always be ahead by half of a long request.
func (s *Sched) isBefore(ts *tierState, a, b *Request) bool {
	if a.Partner == b.Partner {
		return a.seq < b.seq
	}
	ra := ts.tokenCounter[a.Partner] + ts.meanResidual()/s.share(a.Partner)
	rb := ts.tokenCounter[b.Partner] + ts.meanResidual()/s.share(b.Partner)
	if ra != rb {
		return ra < rb
	}
	return a.seq < b.seq
}

// meanResidual returns the mean residual length, in tokens, of a running request of
// the tier at a random moment: the mean square of the lengths over twice their mean.
// Long requests weigh more, because they run longer. It is 0 until a request has
// finished.
func (ts *tierState) meanResidual() float64 {
	if ts.lengthSum == 0 {
		return 0
	}
	return ts.squareSum / (2 * ts.lengthSum)
}

// recordLength adds a finished request's length, in tokens, to the decayed sums.
func (ts *tierState) recordLength(tokens float64) {
	ts.lengthSum = ts.lengthSum*sumDecay + tokens
	ts.squareSum = ts.squareSum*sumDecay + tokens*tokens
}

// eligible reports whether the head of a flow may start now.
func (s *Sched) eligible(f *flow) bool {
	if f.key.suspect && s.runningSuspects > 0 {
		return false
	}
	return s.class(f.key.class).running < s.slotCap(f.key.class)
}

// slotCap returns the number of slots that a class may use, which is at least 1
// unless the policy has none.
func (s *Sched) slotCap(class string) int {
	fraction := s.policy.Classes[class].Cap
	if fraction <= 0 || fraction >= 1 {
		return s.policy.Slots
	}
	return max(1, int(fraction*float64(s.policy.Slots)))
}

// start moves r into a slot and charges its expected tokens.
func (s *Sched) start(now time.Time, r *Request) {
	s.running[r.ID] = r
	r.started = now
	if r.Suspect {
		s.runningSuspects++
	}
	ts := s.tiers[r.tier]
	ts.running++
	ts.virtualTime = max(ts.virtualTime, ts.tokenCounter[r.Partner])
	s.class(r.Class).running++
	if r.Tokens <= 0 {
		r.Tokens = defaultTokens
	}
	s.setCharge(r, r.Tokens)
	s.recordStart(r.Class)
}

// Charge raises the tokens charged to a running request to the given total. Lower
// totals and unknown ids are ignored.
func (s *Sched) Charge(id string, tokens float64) {
	r, ok := s.running[id]
	if ok && tokens > r.charged {
		s.setCharge(r, tokens)
	}
}

func (s *Sched) setCharge(r *Request, tokens float64) {
	s.tiers[r.tier].tokenCounter[r.Partner] += (tokens - r.charged) / s.share(r.Partner)
	r.charged = tokens
}

// Finish frees the slot of a running request and corrects its charge to its actual
// length, in tokens. Unknown ids are ignored.
func (s *Sched) Finish(now time.Time, id string, tokens float64) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if r.Suspect {
		s.runningSuspects--
	}
	s.class(r.Class).running--
	ts := s.tiers[r.tier]
	ts.running--
	ts.recordLength(tokens)
	ts.load.recordSlotTime(now.Sub(r.started))
	s.setCharge(r, tokens)
}

// Cancel removes a queued request and reports whether it was still queued.
func (s *Sched) Cancel(id string) bool {
	r, ok := s.queued[id]
	if ok {
		s.remove(r)
	}
	return ok
}

// Expire removes and returns the queued requests whose deadline has passed.
func (s *Sched) Expire(now time.Time) []*Request {
	var out []*Request
	for _, r := range s.queued {
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			out = append(out, r)
		}
	}
	for _, r := range out {
		s.remove(r)
	}
	sortBySeq(out)
	return out
}

// Drain removes and returns every queued request.
func (s *Sched) Drain() []*Request {
	out := make([]*Request, 0, len(s.queued))
	for _, r := range s.queued {
		out = append(out, r)
	}
	for _, r := range out {
		s.remove(r)
	}
	sortBySeq(out)
	return out
}

func (s *Sched) insert(r *Request) {
	r.tier = s.tierOf(r.Class)
	ts := s.tiers[r.tier]
	key := flowKey{partner: r.Partner, class: r.Class, suspect: r.Suspect}
	f, ok := ts.flows[key]
	if !ok {
		f = &flow{key: key, requests: list.New()}
		ts.flows[key] = f
	}
	if ts.queuedByPartner[r.Partner] == 0 {
		// A partner saves up no unused share while it has nothing queued.
		ts.tokenCounter[r.Partner] = max(ts.tokenCounter[r.Partner], ts.virtualTime)
	}
	r.flow = f
	r.element = f.requests.PushBack(r)
	ts.queuedByPartner[r.Partner]++
	ts.queued++
	s.queued[r.ID] = r
	s.class(r.Class).queued++
}

func (s *Sched) remove(r *Request) {
	ts := s.tiers[r.tier]
	r.flow.requests.Remove(r.element)
	if r.flow.requests.Len() == 0 {
		delete(ts.flows, r.flow.key)
	}
	ts.queuedByPartner[r.Partner]--
	ts.queued--
	delete(s.queued, r.ID)
	s.class(r.Class).queued--
}

func (s *Sched) class(name string) *classState {
	cs, ok := s.classes[name]
	if !ok {
		cs = &classState{}
		s.classes[name] = cs
	}
	return cs
}

func (s *Sched) tierOf(class string) int {
	c, ok := s.policy.Classes[class]
	if !ok {
		return config.Tiers - 1
	}
	return c.Tier
}

func (s *Sched) share(partner string) float64 {
	if share := s.policy.Shares[partner]; share > 0 {
		return share
	}
	return 1
}
