// Package emul emulates model engines and entries in simulated time, to compare
// ways of choosing an engine under heavy loads. It needs no network and is no
// part of the product.
package emul

import (
	"container/list"
	"slices"
	"time"

	"cactustide/place"
)

// EngineSpec holds the costs of an engine, after published behaviour: prompts are
// read in chunks between the tokens of what runs, more urgent ones first, and
// the tokens of a longer context take longer.
type EngineSpec struct {
	Slots          int
	KVCapacity     int
	PrefillChunk   int
	TokensPerEvent int
	// StepTime is the time of a step, Context its growth with a thousand tokens of
	// context, Read that of a prompt token and Pair that of a million pairs.
	StepTime               time.Duration
	ContextTimePerKToken   time.Duration
	PrefillTimePerToken    time.Duration
	AttentionTimePerMPairs time.Duration
}

// Dense70B is a model of 70 billion parameters on one large accelerator.
var Dense70B = EngineSpec{
	Slots: 64, KVCapacity: 536_000, PrefillChunk: 2048, TokensPerEvent: 5, StepTime: 4230 * time.Microsecond,
	ContextTimePerKToken: 9 * time.Microsecond, PrefillTimePerToken: 15580 * time.Nanosecond, AttentionTimePerMPairs: 647 * time.Microsecond,
}

// Job is a request.
type Job struct {
	Class        *Class
	Segments     []place.Segment
	PromptTokens int
	OutputTokens int
	ArrivedAt    time.Time
	Entry        int
	// Done is set when the last token came.
	Done bool
	// TimeToFirst is the time to the first event, MaxEventGap the longest between two.
	TimeToFirst, MaxEventGap time.Duration

	left   int  // Prompt tokens to be read.
	begun  bool // Some of the prompt was read.
	back   bool // It was refused once.
	made   int
	last   time.Time
	ticket *place.InFlightRequest
}

// OnTime reports whether the job met its class's targets.
func (j *Job) OnTime() bool {
	return j.CompletedInTime() && j.TimeToFirst <= j.Class.LatencyTarget && j.MaxEventGap <= j.Class.EventGapTarget
}

// CompletedInTime reports whether the job ended before its caller left.
func (j *Job) CompletedInTime() bool { return j.Done && j.last.Sub(j.ArrivedAt) <= j.Class.Timeout }

// engine is one emulated engine.
type engine struct {
	sheet   EngineSpec
	down    bool
	running []*Job
	waiting []*Job
	parts   map[uint64]*list.Element
	order   *list.List
	held    int
	// again counts the tokens of shared parts read though some engine had read them.
	again int
	busy  bool
}

func newEngine(s EngineSpec) *engine {
	return &engine{sheet: s, parts: map[uint64]*list.Element{}, order: list.New()}
}

// admit starts waiting jobs while there is a slot, more urgent ones first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *Job) int { return a.Class.Tier - b.Class.Tier })
	for len(e.waiting) > 0 && len(e.running) < e.sheet.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.left = j.PromptTokens
		e.running = append(e.running, j)
	}
}

// begin starts to read a prompt behind its cached parts.
func (e *engine) begin(j *Job) {
	j.begun = true
	for _, p := range j.Segments {
		element, ok := e.parts[p.Hash]
		if !ok {
			break
		}
		j.left -= p.Tokens
		e.order.MoveToFront(element)
	}
	j.left = max(1, j.left)
}

// unread returns the jobs whose prompts are to be read, in the order of reading:
// what has begun goes on, then the more urgent.
func (e *engine) unread() []*Job {
	var list []*Job
	for _, j := range e.running {
		if j.left > 0 {
			list = append(list, j)
		}
	}
	slices.SortStableFunc(list, func(a, b *Job) int {
		if a.begun != b.begun {
			if a.begun {
				return -1
			}
			return 1
		}
		return a.Class.Tier - b.Class.Tier
	})
	return list
}

// step performs one step and returns how long it takes, and the jobs that made
// an event in it. The times are set by settle.
func (e *engine) step() (time.Duration, []*Job) {
	d := e.sheet.StepTime
	context := 0
	for _, j := range e.running {
		context += j.PromptTokens + j.made
	}
	d += e.sheet.ContextTimePerKToken * time.Duration(context/1000)
	room := e.sheet.PrefillChunk
	var made []*Job
	for _, j := range e.running {
		if j.left > 0 {
			continue
		}
		j.made++
		if j.made%e.sheet.TokensPerEvent == 0 || j.made >= j.OutputTokens {
			made = append(made, j)
		}
	}
	for _, j := range e.unread() {
		if room == 0 {
			break
		}
		if !j.begun {
			e.begin(j)
		}
		n := min(j.left, room)
		before := j.PromptTokens - j.left
		room -= n
		j.left -= n
		d += e.sheet.PrefillTimePerToken * time.Duration(n)
		d += time.Duration(float64(e.sheet.AttentionTimePerMPairs) * float64(n) * (float64(before) + float64(n)/2) / 1e6)
		if j.left == 0 {
			e.keep(j.Segments)
			j.made = 1
			made = append(made, j)
		}
	}
	return d, made
}

// settle records the events of a step at its end, and returns the jobs that
// ended.
func (e *engine) settle(now time.Time, made []*Job) []*Job {
	var ended []*Job
	for _, j := range made {
		if j.last.IsZero() {
			j.TimeToFirst = now.Sub(j.ArrivedAt)
		} else {
			j.MaxEventGap = max(j.MaxEventGap, now.Sub(j.last))
		}
		j.last = now
		if j.made >= j.OutputTokens {
			j.Done = true
			ended = append(ended, j)
		}
	}
	if len(ended) > 0 {
		kept := e.running[:0]
		for _, j := range e.running {
			if !j.Done {
				kept = append(kept, j)
			}
		}
		e.running = kept
	}
	return ended
}

// keep caches parts and drops the least recently used ones.
func (e *engine) keep(parts []place.Segment) {
	for _, p := range parts {
		if _, ok := e.parts[p.Hash]; !ok {
			e.parts[p.Hash] = e.order.PushFront(p)
			e.held += p.Tokens
		}
	}
	used := 0
	for _, j := range e.running {
		used += j.OutputTokens
		for _, p := range j.Segments {
			used -= p.Tokens
		}
		used += j.PromptTokens
	}
	for e.held+used > e.sheet.KVCapacity && e.order.Len() > 0 {
		p := e.order.Remove(e.order.Back()).(place.Segment)
		delete(e.parts, p.Hash)
		e.held -= p.Tokens
	}
}

// crash drops everything.
func (e *engine) crash() []*Job {
	lost := append(e.running, e.waiting...)
	*e = *newEngine(e.sheet)
	return lost
}
