package agent

import (
	"context"
	"sync"
	"time"

	"cactustide/config"
	"cactustide/sched"
)

// Reasons why a request was refused before its start.
const (
	ReasonFull                = "full"      // The queue is full of work that goes first.
	ReasonEvicted             = "evicted"   // Work that goes first took the place.
	ReasonExpired             = "expired"   // The time left was up before the start.
	ReasonDraining            = "drain"     // The upstream is leaving.
	ReasonDown                = "down"      // The upstream does not answer.
	ReasonCancelled           = "cancelled" // The entry took the request back.
	ReasonPlatformUnavailable = "platform"  // The claim could not be confirmed.
	ReasonConflict            = "conflict"  // The key is held by a run without an answer.
	ReasonMismatch            = "mismatch"  // The key was used with another content.
	ReasonCrashed             = "crashed"   // The upstream crashed during the run.
	ReasonBroken              = "broken"    // The upstream broke off the answer.
	ReasonReplaced            = "replaced"  // The upstream has heard of a newer agent.
	ReasonNoConfig            = "behind"    // The agent has no configuration yet.
)

// decision ends a request's time in the queue: it starts, or leaves for a
// reason.
type decision struct {
	start  bool
	reason string
}

// gate guards the scheduler of one upstream by a lock and wakes the requests
// that it decides on.
type gate struct {
	mu    sync.Mutex
	sched *sched.Sched
	// tickets of the queued requests, by id.
	tickets map[string]chan decision
	drain   bool
	idle    *sync.Cond
	// queued is signalled when a request stays in the queue.
	queued chan struct{}
}

func newGate(p sched.Policy) *gate {
	g := &gate{
		sched:   sched.New(p),
		tickets: map[string]chan decision{},
		queued:  make(chan struct{}, 1),
	}
	g.idle = sync.NewCond(&g.mu)
	return g
}

// enter queues a request. The channel delivers its decision.
func (g *gate) enter(r *sched.Request) <-chan decision {
	ticket := make(chan decision, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.reasonToRefuse(r.ID); reason != "" {
		ticket <- decision{reason: reason}
		return ticket
	}
	g.tickets[r.ID] = ticket
	now := time.Now()
	victim := g.sched.Offer(now, r)
	if victim != nil {
		g.decide(victim.ID, decision{reason: evictionReason(victim, r)})
	}
	g.startNext(now)
	if g.sched.QueueLen() > 0 {
		select {
		case g.queued <- struct{}{}:
		default:
		}
	}
	return ticket
}

func evictionReason(victim, offered *sched.Request) string {
	if victim == offered {
		return ReasonFull
	}
	return ReasonEvicted
}

func (g *gate) reasonToRefuse(id string) string {
	if g.drain {
		return ReasonDraining
	}
	if _, ok := g.tickets[id]; ok {
		return ReasonConflict
	}
	return ""
}

func (g *gate) decide(id string, d decision) {
	ticket, ok := g.tickets[id]
	if !ok {
		return
	}
	delete(g.tickets, id)
	ticket <- d
}

// startNext fills the free slots.
func (g *gate) startNext(now time.Time) {
	for {
		r := g.sched.Next(now)
		if r == nil {
			return
		}
		g.decide(r.ID, decision{start: true})
	}
}

// charge records the tokens that a running request took so far.
func (g *gate) charge(id string, tokens int64) {
	g.mu.Lock()
	g.sched.Charge(id, float64(tokens))
	g.mu.Unlock()
}

// finish frees a running request's slot.
func (g *gate) finish(id string, tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.Finish(now, id, float64(tokens))
	g.startNext(now)
	if g.sched.Running() == 0 {
		g.idle.Broadcast()
	}
}

// cancel removes a request from the queue and reports whether it was there.
func (g *gate) cancel(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sched.Cancel(id) {
		return false
	}
	g.decide(id, decision{reason: ReasonCancelled})
	return true
}

// watch looks at the queue at each tick while something is queued, until the
// context ends.
func (g *gate) watch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.queued:
		}
		for g.expire(time.Now()) > 0 && ctx.Err() == nil {
			time.Sleep(tickInterval)
		}
	}
}

// expire refuses the queued requests whose time is up, and returns how many are
// left.
func (g *gate) expire(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.sched.Expire(now) {
		g.decide(r.ID, decision{reason: ReasonExpired})
	}
	// The reserve shrinks with time, without any event.
	g.startNext(now)
	return g.sched.QueueLen()
}

// empty refuses every queued request for a reason.
func (g *gate) empty(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.sched.Drain() {
		g.decide(r.ID, decision{reason: reason})
	}
}

// setDrain starts or ends a drain. Queued work moves back to the entries.
func (g *gate) setDrain(drain bool) {
	g.mu.Lock()
	g.drain = drain
	g.mu.Unlock()
	if drain {
		g.empty(ReasonDraining)
	}
}

func (g *gate) setPolicy(p sched.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.SetPolicy(p)
	g.startNext(time.Now())
}

// waitIdle returns when no request runs.
func (g *gate) waitIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.sched.Running() > 0 {
		g.idle.Wait()
	}
}

// counts is the gate's part of the agent's state.
type counts struct {
	slots   int
	running int
	queued  [config.Tiers]int
	classes map[string]int
	room    int
	drain   bool
}

func (g *gate) counts() counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := counts{
		slots:   g.sched.Policy().Slots,
		running: g.sched.Running(),
		room:    g.sched.QueueSpace(),
		drain:   g.drain,
		classes: g.sched.QueuedByClass(),
	}
	for tier := range c.queued {
		c.queued[tier] = g.sched.QueuedInTier(tier)
	}
	return c
}
