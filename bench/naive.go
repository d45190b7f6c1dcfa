package bench

import (
	"maps"
	"slices"
	"time"
)

// resendTimeout is the time without a start after which the naive baseline's callers
// send a request again, without canceling the first copy.
const resendTimeout = 5 * time.Second

// maxNaiveAttempts bounds the copies of a request that are sent after resendTimeout;
// copies sent after a crash are not bounded.
const maxNaiveAttempts = 3

// naiveEngine serves its requests in the order of arrival.
type naiveEngine struct {
	timePerToken time.Duration
	queue        []*request
	running      map[int]*request
	down         bool
	epoch        int
}

// RunNaive simulates the baseline: round robin over the engines, a FIFO queue at each,
// and unconditional retries after a crash and after resendTimeout.
func RunNaive(o Options) *Result {
	c := newClock()
	result := newResult(o)
	engines := make([]*naiveEngine, o.Engines)
	for i := range engines {
		engines[i] = &naiveEngine{timePerToken: timePerToken, running: map[int]*request{}}
	}
	if o.Straggler {
		engines[0].timePerToken *= stragglerSlowdown
	}
	lastEngine := 0
	dispatched := 0
	started := map[*request]bool{}
	var send func(r *request)
	var startNext func(e *naiveEngine)
	startNext = func(e *naiveEngine) {
		for !e.down && len(e.running) < o.Slots && len(e.queue) > 0 {
			r := e.queue[0]
			e.queue = e.queue[1:]
			dispatched++
			id, epoch := dispatched, e.epoch
			e.running[id] = r
			started[r] = true
			result.Dispatched++
			slowdown := e.timePerToken / timePerToken
			first := c.now.Add(prefillTime * slowdown)
			c.after(prefillTime*slowdown+time.Duration(r.outputTokens)*e.timePerToken, func() {
				if e.epoch != epoch {
					return
				}
				delete(e.running, id)
				result.recordCompletion(r, first, e.timePerToken)
				startNext(e)
			})
		}
	}
	send = func(r *request) {
		r.attempts++
		lastEngine++
		e := engines[lastEngine%len(engines)]
		c.after(oneWayDelay, func() {
			e.queue = append(e.queue, r)
			startNext(e)
		})
		c.after(resendTimeout, func() {
			if !r.done && !started[r] && r.attempts < maxNaiveAttempts {
				send(r)
			}
		})
	}
	offered := scheduleArrivals(c, o, send)
	if o.EngineCrash {
		e := engines[len(engines)-1]
		c.after(o.Duration/2, func() {
			e.down = true
			e.epoch++
			for _, id := range slices.Sorted(maps.Keys(e.running)) {
				r := e.running[id]
				result.GeneratedTokens += r.outputTokens / 2
				result.WastedTokens += r.outputTokens / 2
				send(r)
			}
			e.running = map[int]*request{}
		})
		c.after(o.Duration/2+o.Duration/6, func() {
			e.down = false
			startNext(e)
		})
	}
	c.runUntil(simStart.Add(o.Duration + time.Minute))
	for class, n := range offered {
		result.Classes[class].Offered = n
	}
	return result
}
