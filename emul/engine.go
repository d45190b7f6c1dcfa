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

	prefillLeft    int  // Prompt tokens to be read.
	prefillStarted bool // Some of the prompt was read.
	retried        bool // It was refused once.
	generated      int
	lastEvent      time.Time
	inFlight       *place.InFlightRequest
}

// OnTime reports whether the job met its class's targets.
func (j *Job) OnTime() bool {
	return j.CompletedInTime() && j.TimeToFirst <= j.Class.LatencyTarget && j.MaxEventGap <= j.Class.EventGapTarget
}

// CompletedInTime reports whether the job ended before its caller left.
func (j *Job) CompletedInTime() bool {
	return j.Done && j.lastEvent.Sub(j.ArrivedAt) <= j.Class.Timeout
}

// engine is one emulated engine.
type engine struct {
	spec         EngineSpec
	down         bool
	running      []*Job
	waiting      []*Job
	cached       map[uint64]*list.Element
	lru          *list.List
	cachedTokens int
	// recomputedTokens counts the tokens of shared parts read though some engine had read them.
	recomputedTokens int
	stepping         bool
}

func newEngine(s EngineSpec) *engine {
	return &engine{spec: s, cached: map[uint64]*list.Element{}, lru: list.New()}
}

// admit starts waiting jobs while there is a slot, more urgent ones first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *Job) int { return a.Class.Tier - b.Class.Tier })
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.prefillLeft = j.PromptTokens
		e.running = append(e.running, j)
	}
}

// startPrefill starts to read a prompt behind its cached parts.
func (e *engine) startPrefill(j *Job) {
	j.prefillStarted = true
	for _, p := range j.Segments {
		element, ok := e.cached[p.Hash]
		if !ok {
			break
		}
		j.prefillLeft -= p.Tokens
		e.lru.MoveToFront(element)
	}
	j.prefillLeft = max(1, j.prefillLeft)
}

// prefillQueue returns the jobs whose prompts are to be read, in the order of reading:
// what has begun goes on, then the more urgent.
func (e *engine) prefillQueue() []*Job {
	var pending []*Job
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			pending = append(pending, j)
		}
	}
	slices.SortStableFunc(pending, func(a, b *Job) int {
		if a.prefillStarted != b.prefillStarted {
			if a.prefillStarted {
				return -1
			}
			return 1
		}
		return a.Class.Tier - b.Class.Tier
	})
	return pending
}

// step performs one step and returns how long it takes, and the jobs that made
// an event in it. The times are set by settle.
func (e *engine) step() (time.Duration, []*Job) {
	d := e.spec.StepTime
	context := 0
	for _, j := range e.running {
		context += j.PromptTokens + j.generated
	}
	d += e.spec.ContextTimePerKToken * time.Duration(context/1000)
	chunkBudget := e.spec.PrefillChunk
	var emitted []*Job
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			continue
		}
		j.generated++
		if j.generated%e.spec.TokensPerEvent == 0 || j.generated >= j.OutputTokens {
			emitted = append(emitted, j)
		}
	}
	for _, j := range e.prefillQueue() {
		if chunkBudget == 0 {
			break
		}
		if !j.prefillStarted {
			e.startPrefill(j)
		}
		n := min(j.prefillLeft, chunkBudget)
		offset := j.PromptTokens - j.prefillLeft
		chunkBudget -= n
		j.prefillLeft -= n
		d += e.spec.PrefillTimePerToken * time.Duration(n)
		d += time.Duration(float64(e.spec.AttentionTimePerMPairs) * float64(n) * (float64(offset) + float64(n)/2) / 1e6)
		if j.prefillLeft == 0 {
			e.cacheSegments(j.Segments)
			j.generated = 1
			emitted = append(emitted, j)
		}
	}
	return d, emitted
}

// finishStep records the events of a step at its end, and returns the jobs that
// ended.
func (e *engine) finishStep(now time.Time, emitted []*Job) []*Job {
	var ended []*Job
	for _, j := range emitted {
		if j.lastEvent.IsZero() {
			j.TimeToFirst = now.Sub(j.ArrivedAt)
		} else {
			j.MaxEventGap = max(j.MaxEventGap, now.Sub(j.lastEvent))
		}
		j.lastEvent = now
		if j.generated >= j.OutputTokens {
			j.Done = true
			ended = append(ended, j)
		}
	}
	if len(ended) > 0 {
		unfinished := e.running[:0]
		for _, j := range e.running {
			if !j.Done {
				unfinished = append(unfinished, j)
			}
		}
		e.running = unfinished
	}
	return ended
}

// cacheSegments caches parts and drops the least recently used ones.
func (e *engine) cacheSegments(segments []place.Segment) {
	for _, p := range segments {
		if _, ok := e.cached[p.Hash]; !ok {
			e.cached[p.Hash] = e.lru.PushFront(p)
			e.cachedTokens += p.Tokens
		}
	}
	runningTokens := 0
	for _, j := range e.running {
		runningTokens += j.OutputTokens
		for _, p := range j.Segments {
			runningTokens -= p.Tokens
		}
		runningTokens += j.PromptTokens
	}
	for e.cachedTokens+runningTokens > e.spec.KVCapacity && e.lru.Len() > 0 {
		p := e.lru.Remove(e.lru.Back()).(place.Segment)
		delete(e.cached, p.Hash)
		e.cachedTokens -= p.Tokens
	}
}

// crash drops everything.
func (e *engine) crash() []*Job {
	lost := append(e.running, e.waiting...)
	*e = *newEngine(e.spec)
	return lost
}
