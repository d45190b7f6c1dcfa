package bench

import (
	"maps"
	"slices"
	"time"
)

// patience after which the naive baseline's callers send a request again,
// without taking the first copy back.
const patience = 5 * time.Second

// naiveTries bounds the copies of a request.
const naiveTries = 3

// naiveEngine has one queue in the order of arrival.
type naiveEngine struct {
	pace    time.Duration
	queue   []*request
	running map[int]*request
	down    bool
	epoch   int
}

// RunNaive runs the baseline: round robin, one FIFO for each engine, blind
// resends after a crash and after a time without a first token.
func RunNaive(o Options) *Result {
	c := newClock()
	out := newResult(o)
	engines := make([]*naiveEngine, o.Engines)
	for i := range engines {
		engines[i] = &naiveEngine{pace: pace, running: map[int]*request{}}
	}
	if o.Straggler {
		engines[0].pace *= slowdown
	}
	turn := 0
	copies := 0
	started := map[*request]bool{}
	var send func(r *request)
	var next func(e *naiveEngine)
	next = func(e *naiveEngine) {
		for !e.down && len(e.running) < o.Slots && len(e.queue) > 0 {
			r := e.queue[0]
			e.queue = e.queue[1:]
			copies++
			id, epoch := copies, e.epoch
			e.running[id] = r
			started[r] = true
			out.Dispatched++
			slow := e.pace / pace
			first := c.now.Add(prefill * slow)
			c.after(prefill*slow+time.Duration(r.length)*e.pace, func() {
				if e.epoch != epoch {
					return
				}
				delete(e.running, id)
				out.end(r, first, e.pace)
				next(e)
			})
		}
	}
	send = func(r *request) {
		r.tries++
		turn++
		e := engines[turn%len(engines)]
		c.after(hop, func() {
			e.queue = append(e.queue, r)
			next(e)
		})
		c.after(patience, func() {
			if !r.done && !started[r] && r.tries < naiveTries {
				send(r)
			}
		})
	}
	counts := arrivals(c, o, send)
	if o.EngineCrash {
		e := engines[len(engines)-1]
		c.after(o.Duration/2, func() {
			e.down = true
			e.epoch++
			for _, id := range slices.Sorted(maps.Keys(e.running)) {
				r := e.running[id]
				out.GeneratedTokens += r.length / 2
				out.WastedTokens += r.length / 2
				send(r)
			}
			e.running = map[int]*request{}
		})
		c.after(o.Duration/2+o.Duration/6, func() {
			e.down = false
			next(e)
		})
	}
	c.runUntil(start.Add(o.Duration + time.Minute))
	for class, n := range counts {
		out.Classes[class].Offered = n
	}
	return out
}
