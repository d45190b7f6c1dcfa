// Package bench runs the routing, retry and scheduling packages in a discrete-event
// simulation, against a naive baseline with the same arrivals. It is for evaluation
// only, and simulates neither network faults nor processes.
package bench

import (
	"container/heap"
	"time"
)

// simStart is the start of simulated time.
var simStart = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock is the clock of a simulation; it runs events in the order of their times.
type clock struct {
	now    time.Time
	seq    int
	events eventQueue
}

func newClock() *clock { return &clock{now: simStart} }

// after schedules f to run once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: f})
}

// runUntil runs all events before end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
