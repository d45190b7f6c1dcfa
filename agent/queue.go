package agent

import (
	"context"
	"sync"
	"time"

	"cactustide/config"
	"cactustide/sched"
)

// Reasons why a job was refused or failed, as reported in its last frame.
const (
	ReasonFull                = "full"      // The queue is full of requests that are scheduled before this one.
	ReasonEvicted             = "evicted"   // A request that is scheduled before it took its place in the queue.
	ReasonExpired             = "expired"   // The queue time ended before the start.
	ReasonDraining            = "drain"     // The agent is stopping or its upstream is drained.
	ReasonDown                = "down"      // The upstream does not answer.
	ReasonCancelled           = "cancelled" // The entry cancelled the request.
	ReasonPlatformUnavailable = "platform"  // The claim or the incarnation could not be confirmed.
	ReasonConflict            = "conflict"  // The key is claimed by a run whose response is not available.
	ReasonMismatch            = "mismatch"  // The key was used with different content.
	ReasonCrashed             = "crashed"   // The upstream crashed during the run.
	ReasonBroken              = "broken"    // The response ended before it was complete.
	ReasonReplaced            = "replaced"  // The upstream rejected the fencing token; a newer agent runs.
	ReasonNoConfig            = "behind"    // The agent has no configuration yet.
)

// decision is the end of a request's time in the queue: a start, or a refusal with
// its reason.
type decision struct {
	start  bool
	reason string
}

// admissionQueue guards the scheduler of one upstream by a lock and delivers its
// decisions to the waiting requests.
type admissionQueue struct {
	mu    sync.Mutex
	sched *sched.Sched
	// waiters of the queued requests by id.
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

// enqueue offers a request to the scheduler. The channel delivers exactly one
// decision.
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

// startNext starts queued requests in the free slots.
func (q *admissionQueue) startNext(now time.Time) {
	for {
		r := q.sched.Next(now)
		if r == nil {
			return
		}
		q.notify(r.ID, decision{start: true})
	}
}

// charge records how many tokens a running request has generated so far.
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

// expireLoop calls expire at each expiryInterval while requests are queued, until
// the context ends.
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

// expire refuses the queued requests whose queue time has ended, and returns how
// many are left.
func (q *admissionQueue) expire(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.sched.Expire(now) {
		q.notify(r.ID, decision{reason: ReasonExpired})
	}
	// The number of reserved slots falls with time, without any event.
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

// setDraining starts or ends a drain. At the start, queued requests are refused, so
// that entries send them elsewhere.
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

// queueState is the queue's part of the agent's state.
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
