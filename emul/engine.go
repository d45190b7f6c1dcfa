// Package emul simulates model engines and entries, to compare policies that choose an
// engine under heavy loads. It needs no network and is for evaluation only.
package emul

import (
	"container/list"
	"slices"
	"time"

	"cactustide/place"
)

// EngineSpec holds the capacity and the costs of an engine, after published behavior:
// prompts are prefilled in chunks between the decode steps of running requests, in the
// order of priority, and steps with more context take longer.
type EngineSpec struct {
	Slots          int
	KVCapacity     int // Tokens.
	PrefillChunk   int // Tokens.
	TokensPerEvent int
	// StepTime is the time of a step without context, ContextTimePerKToken its growth with
	// 1000 tokens of context, PrefillTimePerToken the time of a prompt token and
	// AttentionTimePerMPairs that of a million pairs of tokens in the attention.
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

// Job is a request in the simulation.
type Job struct {
	Class        *Class
	Segments     []place.Segment
	PromptTokens int
	OutputTokens int
	ArrivedAt    time.Time
	Entry        int
	// Done is set when the last token has been generated.
	Done bool
	// TimeToFirst is the time to the first event, MaxEventGap the longest between two; 0
	// while there is none.
	TimeToFirst, MaxEventGap time.Duration

	prefillLeft    int  // Prompt tokens not yet processed.
	prefillStarted bool // Set once part of the prompt was processed.
	retried        bool // Set once the job was shed.
	generated      int
	lastEvent      time.Time
	inFlight       *place.InFlightRequest
}

// OnTime reports whether the job met the latency targets and the timeout of its class.
func (j *Job) OnTime() bool {
	return j.CompletedInTime() && j.TimeToFirst <= j.Class.LatencyTarget && j.MaxEventGap <= j.Class.EventGapTarget
}

// CompletedInTime reports whether the job ended within the timeout of its class.
func (j *Job) CompletedInTime() bool {
	return j.Done && j.lastEvent.Sub(j.ArrivedAt) <= j.Class.Timeout
}

// engine is a simulated engine with continuous batching and a prefix cache.
type engine struct {
	spec         EngineSpec
	down         bool
	running      []*Job
	waiting      []*Job
	cached       map[uint64]*list.Element
	lru          *list.List
	cachedTokens int
	// recomputedTokens counts the tokens of prompt segments that this engine had to prefill
	// though some engine had them cached.
	recomputedTokens int
	stepping         bool
}

func newEngine(s EngineSpec) *engine {
	return &engine{spec: s, cached: map[uint64]*list.Element{}, lru: list.New()}
}

// admit moves waiting jobs to free slots, in the order of priority.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *Job) int { return a.Class.Tier - b.Class.Tier })
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.prefillLeft = j.PromptTokens
		e.running = append(e.running, j)
	}
}

// startPrefill starts the prefill of a prompt after its cached segments.
func (e *engine) startPrefill(j *Job) {
	j.prefillStarted = true
	for _, segment := range j.Segments {
		element, ok := e.cached[segment.Hash]
		if !ok {
			break
		}
		j.prefillLeft -= segment.Tokens
		e.lru.MoveToFront(element)
	}
	j.prefillLeft = max(1, j.prefillLeft)
}

// prefillQueue returns the jobs with prompt tokens left, in the order of their prefill:
// started ones first, then in the order of priority.
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

// step performs one step and returns its duration and the jobs that emitted an event in
// it. finishStep sets the event times.
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
// finished.
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

// cacheSegments caches segments and evicts the least recently used ones while the cache
// and the running jobs exceed the capacity.
func (e *engine) cacheSegments(segments []place.Segment) {
	for _, segment := range segments {
		if _, ok := e.cached[segment.Hash]; !ok {
			e.cached[segment.Hash] = e.lru.PushFront(segment)
			e.cachedTokens += segment.Tokens
		}
	}
	runningTokens := 0
	for _, j := range e.running {
		runningTokens += j.OutputTokens
		for _, segment := range j.Segments {
			runningTokens -= segment.Tokens
		}
		runningTokens += j.PromptTokens
	}
	for e.cachedTokens+runningTokens > e.spec.KVCapacity && e.lru.Len() > 0 {
		segment := e.lru.Remove(e.lru.Back()).(place.Segment)
		delete(e.cached, segment.Hash)
		e.cachedTokens -= segment.Tokens
	}
}

// crash resets the engine and returns the jobs that it lost.
func (e *engine) crash() []*Job {
	lost := append(e.running, e.waiting...)
	*e = *newEngine(e.spec)
	return lost
}
