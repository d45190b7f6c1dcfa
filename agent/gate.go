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

// admissionQueue guards the scheduler of one upstream by a lock and wakes the requests
// that it decides on.
type admissionQueue struct {
	mu    sync.Mutex
	sched *sched.Sched
	// waiters of the queued requests, by id.
	waiters  map[string]chan decision
	draining bool
	idle     *sync.Cond
	// notEmpty is signalled when a request stays in the queue.
	notEmpty chan struct{}
}

func newAdmissionQueue(p sched.Policy) *admissionQueue {
	q := &admissionQueue{
		sched:    sched.New(p),
		waiters:  map[string]chan decision{},
		notEmpty: make(chan struct{}, 1),
	}
	q.idle = sync.NewCond(&q.mu)
	return q
}

// enqueue queues a request. The channel delivers its decision.
func (q *admissionQueue) enqueue(r *sched.Request) <-chan decision {
	waiter := make(chan decision, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if reason := q.refusalReason(r.ID); reason != "" {
		waiter <- decision{reason: reason}
		return waiter
	}
	q.waiters[r.ID] = waiter
	now := time.Now()
	victim := q.sched.Offer(now, r)
	if victim != nil {
		q.notify(victim.ID, decision{reason: evictionReason(victim, r)})
	}
	q.startNext(now)
	if q.sched.QueueLen() > 0 {
		select {
		case q.notEmpty <- struct{}{}:
		default:
		}
	}
	return waiter
}

func evictionReason(victim, offered *sched.Request) string {
	if victim == offered {
		return ReasonFull
	}
	return ReasonEvicted
}

func (q *admissionQueue) refusalReason(id string) string {
	if q.draining {
		return ReasonDraining
	}
	if _, ok := q.waiters[id]; ok {
		return ReasonConflict
	}
	return ""
}

func (q *admissionQueue) notify(id string, d decision) {
	waiter, ok := q.waiters[id]
	if !ok {
		return
	}
	delete(q.waiters, id)
	waiter <- d
}

// startNext fills the free slots.
func (q *admissionQueue) startNext(now time.Time) {
	for {
		r := q.sched.Next(now)
		if r == nil {
			return
		}
		q.notify(r.ID, decision{start: true})
	}
}

// charge records the tokens that a running request took so far.
func (q *admissionQueue) charge(id string, tokens int64) {
	q.mu.Lock()
	q.sched.Charge(id, float64(tokens))
	q.mu.Unlock()
}

// finish frees a running request's slot.
func (q *admissionQueue) finish(id string, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.sched.Finish(now, id, float64(tokens))
	q.startNext(now)
	if q.sched.Running() == 0 {
		q.idle.Broadcast()
	}
}

// cancel removes a request from the queue and reports whether it was there.
func (q *admissionQueue) cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.sched.Cancel(id) {
		return false
	}
	q.notify(id, decision{reason: ReasonCancelled})
	return true
}

// expireLoop looks at the queue at each tick while something is queued, until the
// context ends.
func (q *admissionQueue) expireLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.notEmpty:
		}
		for q.expire(time.Now()) > 0 && ctx.Err() == nil {
			time.Sleep(expiryInterval)
		}
	}
}

// expire refuses the queued requests whose time is up, and returns how many are
// left.
func (q *admissionQueue) expire(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.sched.Expire(now) {
		q.notify(r.ID, decision{reason: ReasonExpired})
	}
	// The reserve shrinks with time, without any event.
	q.startNext(now)
	return q.sched.QueueLen()
}

// refuseQueued refuses every queued request for a reason.
func (q *admissionQueue) refuseQueued(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.sched.Drain() {
		q.notify(r.ID, decision{reason: reason})
	}
}

// setDraining starts or ends a drain. Queued work moves back to the entries.
func (q *admissionQueue) setDraining(draining bool) {
	q.mu.Lock()
	q.draining = draining
	q.mu.Unlock()
	if draining {
		q.refuseQueued(ReasonDraining)
	}
}

func (q *admissionQueue) setPolicy(p sched.Policy) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.SetPolicy(p)
	q.startNext(time.Now())
}

// waitIdle returns when no request runs.
func (q *admissionQueue) waitIdle() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.sched.Running() > 0 {
		q.idle.Wait()
	}
}

// queueState is the gate's part of the agent's state.
type queueState struct {
	slots      int
	running    int
	queued     [config.Tiers]int
	classes    map[string]int
	queueSpace int
	draining   bool
}

func (q *admissionQueue) state() queueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := queueState{
		slots:      q.sched.Policy().Slots,
		running:    q.sched.Running(),
		queueSpace: q.sched.QueueSpace(),
		draining:   q.draining,
		classes:    q.sched.QueuedByClass(),
	}
	for tier := range s.queued {
		s.queued[tier] = q.sched.QueuedInTier(tier)
	}
	return s
}
