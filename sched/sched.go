// Package sched decides which requests an upstream runs next, and which are
// refused or evicted from its queue. It does no I/O, reads no clock and takes
// no locks: its owner serialises the calls.
//
// Order: strictly by tier, except that a class below its guaranteed floor of
// starts goes next. Slots are reserved for the demand of higher tiers. Within a tier, partners share in proportion to their
// shares by a virtual token counter (after Sheng et al., "Fairness in Serving
// Large Language Models", OSDI 2024): the backlogged partner with the least
// tokens for its share goes next. Eviction runs in the reverse order.
package sched

import (
	"container/list"
	"time"

	"cactustide/config"
)

// defaultTokens is the expected output length when a request carries none.
const defaultTokens = 1

// sumDecay is the weight that the sums of lengths keep at each request.
const sumDecay = 0.999

// Class is the part of a class that scheduling needs.
type Class struct {
	Tier  int
	Floor float64
	Cap   float64
}

// Policy is what an agent schedules by.
type Policy struct {
	// Slots is how many requests the upstream runs at once.
	Slots int
	// QueueLimit is how many requests wait at most.
	QueueLimit int
	// Classes by name. Requests of an unknown class go to the lowest tier.
	Classes map[string]Class
	// Shares by partner. A partner without one has a share of 1.
	Shares map[string]float64
}

// Request is one queued or running request.
type Request struct {
	ID      string
	Class   string
	Partner string
	// Tokens is the expected output length.
	Tokens float64
	// Deadline is when the request leaves the queue unrun; zero means never.
	Deadline time.Time
	// Suspect requests run only when no other suspect does.
	Suspect bool
	// Redispatched marks a request that another agent gave back. It was counted there
	// as demand.
	Redispatched bool

	seq     uint64
	tier    int
	started time.Time
	charged float64
	element *list.Element
	flow    *flow
}

// Tier returns the tier the request was queued or started in.
func (r *Request) Tier() int { return r.tier }

// flow is the queue of one partner's requests in one class.
type flow struct {
	key      flowKey
	requests *list.List
}

type flowKey struct {
	partner string
	class   string
	suspect bool
}

// tierState holds the flows and token counters of one tier.
type tierState struct {
	flows           map[flowKey]*flow
	tokenCounter    map[string]float64
	queuedByPartner map[string]int
	virtualTime     float64
	queued          int
	// lengthSum and squares are decayed sums over finished requests.
	lengthSum float64
	squareSum float64
	running   int
	load      offeredLoad
}

// classState counts a class's queue and slots, and the starts of other classes
// since its last one while it had work. A class whose work left unrun keeps that
// count: work that comes next has waited in its place.
type classState struct {
	queued          int
	running         int
	startsSinceLast int
}

// Sched is the queue and the slots of one upstream.
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

// SetPolicy replaces the policy. Queued requests move to the tier that their
// class has now; none is dropped, even if the queue shrank.
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

// QueueSpace returns the number of free places in the queue.
func (s *Sched) QueueSpace() int { return max(0, s.policy.QueueLimit-len(s.queued)) }

// Offer queues r. If the queue was full it returns the request that had to
// leave: the worst one, which may be r itself.
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

// canStartNow reports whether r would start at once, so that the bound of the
// queue does not concern it.
func (s *Sched) canStartNow(now time.Time, r *Request) bool {
	return len(s.queued) == 1 && len(s.running) < s.policy.Slots && s.eligible(r.flow) && s.mayTakeSlot(now, r.tier)
}

// evictionVictim returns the request at the end of the order: lowest tier, then the
// partner with the most tokens for its share, then the newest.
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

// isEvictedBefore counts the queued backlog as well, so that of two partners with
// equal counters the one with the longer queue yields.
func (s *Sched) isEvictedBefore(ts *tierState, a, b *Request) bool {
	ca := ts.tokenCounter[a.Partner] + float64(ts.queuedByPartner[a.Partner])*defaultTokens/s.share(a.Partner)
	cb := ts.tokenCounter[b.Partner] + float64(ts.queuedByPartner[b.Partner])*defaultTokens/s.share(b.Partner)
	if a.Partner != b.Partner && ca != cb {
		return ca > cb
	}
	return a.seq > b.seq
}

// Next takes the next request to start, or nil if no slot is free or no
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

// nextByTier returns the head request of the highest tier that may start.
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

// nextInTier returns the head of the flow whose partner has the smallest counter.
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

// isBefore compares what the partners will have had for their shares halfway
// through their next request. Without the second part, a partner with a small
// share would always be ahead by the half of a long request.
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

// meanResidual returns the mean part of the tier's requests that has run at a moment
// chosen at random: the mean square of the lengths over twice their mean. Long
// requests weigh more, because they run longer.
func (ts *tierState) meanResidual() float64 {
	if ts.lengthSum == 0 {
		return 0
	}
	return ts.squareSum / (2 * ts.lengthSum)
}

// recordLength adds a finished request's length to the decayed sums.
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

// slotCap returns how many slots a class may hold: at least one.
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

// Charge raises what a running request has cost so far, in tokens.
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

// Finish frees the slot of a running request and corrects its charge to the
// tokens that it really took.
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
		// An idle partner does not save up its unused share.
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
