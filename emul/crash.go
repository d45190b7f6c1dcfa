package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cactustide/retry"
)

// CrashRule is a way to count the crashes of upstreams that ran a request.
type CrashRule string

// Rules for crashes; RuleIDs is a baseline.
const (
	// RuleIDs counts the ids of upstreams. A crash is found if a request is aborted twice at
	// one entry within 30 s, or if other requests meet the closed port. Nothing refutes it.
	RuleIDs CrashRule = "ids"
	// RuleProcesses is retry.Evidence, as entries use it: an entry looks for a closed port
	// after each aborted exchange, and whole responses refute crashes.
	RuleProcesses CrashRule = "processes"
)

const (
	crashEntries   = 4
	crashDowntime  = 2 * time.Second
	crashRunTime   = 60 * time.Millisecond
	crashSpread    = 50 * time.Millisecond
	crashRepeat    = 30 * time.Second
	crashContact   = 3 * time.Second
	crashThreshold = 3
	deadlyRequest  = 1
	soundRequest   = 2
)

// CrashOptions is an arrangement of requests and crashes.
type CrashOptions struct {
	Rule CrashRule
	Seed uint64
	// Duration is the simulated time.
	Duration  time.Duration
	Upstreams int
	// KeepIDs is set if upstreams come back under their ids.
	KeepIDs bool
	// Others is set if other requests meet the closed port of a crashed upstream.
	Others bool
	// DeadlyEvery and SoundEvery are the times between two requests that crash upstreams and
	// between two that do not, CrashEvery that between two crashes of other causes; 0 means
	// that there are none.
	DeadlyEvery, SoundEvery, CrashEvery time.Duration
	// Together is the number of upstreams that crash at a time of other causes; 0 means one.
	Together int
	// RunTime is the time that a sound request takes; 0 means 60 ms.
	RunTime time.Duration
}

// CrashResult counts what an arrangement led to.
type CrashResult struct {
	// Crashes are those of the deadly request, LateRetries its requests that reached
	// upstreams later than 3 s after the third one.
	Crashes, LateRetries int
	// Sound are the sound requests, Refused those that were refused as deadly, Lost those
	// that ran at an upstream when it crashed.
	Sound, Refused, Lost int
}

type crashUpstream struct {
	id      int
	start   int
	down    bool
	running []*crashRun
}

type crashRun struct {
	entry       int
	fingerprint uint64
	began       time.Time
	ended       bool
}

type crashEntry struct {
	records  *retry.CrashRecords
	evidence *retry.Evidence
	aborted  map[uint64]time.Time
}

type crashSim struct {
	CrashOptions
	now       time.Time
	queue     eventQueue
	sequence  int
	random    *rand.Rand
	upstreams []*crashUpstream
	entries   []*crashEntry
	nextID    int
	thirdAt   time.Time
	result    CrashResult
}

// RunCrashes simulates an arrangement.
func RunCrashes(o CrashOptions) CrashResult {
	s := &crashSim{CrashOptions: o, now: simStart, random: rand.New(rand.NewPCG(o.Seed, 0))}
	for range o.Upstreams {
		s.nextID++
		s.upstreams = append(s.upstreams, &crashUpstream{id: s.nextID})
	}
	for range crashEntries {
		s.entries = append(s.entries, &crashEntry{records: retry.NewCrashRecords(), evidence: retry.NewRequestEvidence(), aborted: map[uint64]time.Time{}})
	}
	turn := 0
	s.repeat(o.DeadlyEvery, false, func() {
		turn++
		s.send(turn%crashEntries, deadlyRequest)
	})
	s.repeat(o.SoundEvery, true, func() { s.send(s.random.IntN(crashEntries), soundRequest) })
	s.repeat(o.CrashEvery, true, func() {
		for range max(1, o.Together) {
			if u := s.pick(); u != nil {
				s.crash(u)
			}
		}
	})
	end := simStart.Add(o.Duration)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *crashSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.sequence, run: run})
}

// repeat runs a function again and again, at random times with the mean if varied.
func (s *crashSim) repeat(every time.Duration, varied bool, run func()) {
	if every == 0 {
		return
	}
	wait := every
	if varied {
		wait = time.Duration(s.random.ExpFloat64() * float64(every))
	}
	s.after(wait, func() {
		run()
		s.repeat(every, varied, run)
	})
}

// pick returns an upstream that is up, or nil.
func (s *crashSim) pick() *crashUpstream {
	var up []*crashUpstream
	for _, u := range s.upstreams {
		if !u.down {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.random.IntN(len(up))]
}

func subjectOf(fingerprint uint64) string { return fmt.Sprint(fingerprint) }

func (s *crashSim) isRefused(entry int, fingerprint uint64) bool {
	e := s.entries[entry]
	if s.Rule == RuleProcesses {
		_, refused := e.evidence.FindQuarantined(s.now, subjectOf(fingerprint))
		return refused
	}
	_, ids := e.records.Evaluate(s.now, fingerprint)
	return len(ids) >= crashThreshold
}

func (s *crashSim) send(entry int, fingerprint uint64) {
	sound := fingerprint == soundRequest
	if sound {
		s.result.Sound++
	}
	if s.isRefused(entry, fingerprint) {
		if sound {
			s.result.Refused++
		}
		return
	}
	u := s.pick()
	if u == nil {
		return
	}
	run := &crashRun{entry: entry, fingerprint: fingerprint, began: s.now}
	u.running = append(u.running, run)
	if sound {
		runTime := s.RunTime
		if runTime == 0 {
			runTime = crashRunTime
		}
		s.after(runTime, func() { s.finish(u, run) })
		return
	}
	if !s.thirdAt.IsZero() && s.now.Sub(s.thirdAt) > crashContact {
		s.result.LateRetries++
	}
	s.result.Crashes++
	if s.result.Crashes == crashThreshold {
		s.thirdAt = s.now
	}
	s.crash(u)
}

// finish ends a run with a whole response.
func (s *crashSim) finish(u *crashUpstream, run *crashRun) {
	if run.ended {
		return
	}
	run.ended = true
	u.running = without(u.running, run)
	clearing := s.entries[run.entry].evidence.AddSuccess(s.now, []string{subjectOf(run.fingerprint)})
	s.tell(run.entry, func(e *crashEntry) { e.evidence.AddSuccesses(s.now, clearing) })
}

func without(runs []*crashRun, run *crashRun) []*crashRun {
	for i, r := range runs {
		if r == run {
			return append(runs[:i], runs[i+1:]...)
		}
	}
	return runs
}

// crash ends an upstream and records the requests that ran there.
func (s *crashSim) crash(u *crashUpstream) {
	process := fmt.Sprintf("%d@%d", u.id, u.start)
	u.down = true
	for _, run := range u.running {
		run.ended = true
		if run.fingerprint == soundRequest {
			s.result.Lost++
		}
		s.record(run, fmt.Sprint(u.id), process)
	}
	u.running = nil
	s.after(crashDowntime, func() {
		u.down = false
		u.start++
		if !s.KeepIDs {
			s.nextID++
			u.id = s.nextID
		}
	})
}

func (s *crashSim) record(run *crashRun, id, process string) {
	e := s.entries[run.entry]
	if s.Rule == RuleProcesses {
		list := []retry.Crash{{Subject: subjectOf(run.fingerprint), Upstream: process, Began: run.began, At: s.now}}
		_, refuting := e.evidence.AddCrashes(s.now, list)
		e.evidence.AddSuccesses(s.now, refuting)
		s.tell(run.entry, func(other *crashEntry) {
			_, refuting := other.evidence.AddCrashes(s.now, list)
			if len(refuting) > 0 {
				for _, each := range s.entries {
					s.after(crashSpread, func() { each.evidence.AddSuccesses(s.now, refuting) })
				}
			}
		})
		return
	}
	before, repeated := e.aborted[run.fingerprint]
	e.aborted[run.fingerprint] = s.now
	if found := s.Others || repeated && s.now.Sub(before) <= crashRepeat; !found {
		return
	}
	e.records.Add(s.now, run.fingerprint, id)
	s.tell(run.entry, func(other *crashEntry) { other.records.Add(s.now, run.fingerprint, id) })
}

// tell applies something at the other entries once it has spread.
func (s *crashSim) tell(from int, apply func(e *crashEntry)) {
	for i, e := range s.entries {
		if i != from {
			s.after(crashSpread, func() { apply(e) })
		}
	}
}

// CrashArrangement is a named arrangement.
type CrashArrangement struct {
	Name    string
	Options CrashOptions
}

// CrashArrangements returns the arrangements that are compared.
func CrashArrangements() []CrashArrangement {
	const minute = time.Minute
	base := func(o CrashOptions) CrashOptions {
		o.Duration = 9 * minute
		return o
	}
	return []CrashArrangement{
		{"deadly, each 30 s, 3 upstreams, new ids", base(CrashOptions{Upstreams: 3, DeadlyEvery: 30 * time.Second})},
		{"deadly, each 8 s, 3 upstreams, new ids", base(CrashOptions{Upstreams: 3, DeadlyEvery: 8 * time.Second})},
		{"deadly, each 8 s, 2 upstreams, ids kept", base(CrashOptions{Upstreams: 2, KeepIDs: true, DeadlyEvery: 8 * time.Second})},
		{"the same beside others", base(CrashOptions{Upstreams: 2, KeepIDs: true, Others: true, DeadlyEvery: 8 * time.Second})},
		{"deadly, each 1 s, 9 upstreams, others", base(CrashOptions{Upstreams: 9, KeepIDs: true, Others: true, DeadlyEvery: time.Second})},
		{"deadly, each 10 ms, 9 upstreams, others", base(CrashOptions{Upstreams: 9, Others: true, DeadlyEvery: 10 * time.Millisecond})},
		{"sound, each 30 s, a crash each 2.5 s, 4 upstreams", base(CrashOptions{Upstreams: 4, Others: true, SoundEvery: 30 * time.Second, CrashEvery: 2500 * time.Millisecond})},
		{"sound, each 1 s, a crash each 2.5 s, 4 upstreams", base(CrashOptions{Upstreams: 4, Others: true, SoundEvery: time.Second, CrashEvery: 2500 * time.Millisecond})},
		{"sound, each 100 ms, a crash each 2.5 s, 9 upstreams", base(CrashOptions{Upstreams: 9, Others: true, SoundEvery: 100 * time.Millisecond, CrashEvery: 2500 * time.Millisecond})},
		{"sound, each 10 ms, a crash each 2.5 s, 2 upstreams", base(CrashOptions{Upstreams: 2, KeepIDs: true, Others: true, SoundEvery: 10 * time.Millisecond, CrashEvery: 2500 * time.Millisecond})},
		{"sound, each 10 ms, a crash each 2.5 s, 9 upstreams", base(CrashOptions{Upstreams: 9, Others: true, SoundEvery: 10 * time.Millisecond, CrashEvery: 2500 * time.Millisecond})},
		{"sound, each 10 ms, three crash together each 10 s, 9 upstreams", base(CrashOptions{Upstreams: 9, Others: true, SoundEvery: 10 * time.Millisecond, CrashEvery: 10 * time.Second, Together: 3})},
		{"sound for 10 s, each 1 s, three crash together each 20 s, 9 upstreams", base(CrashOptions{Upstreams: 9, Others: true, SoundEvery: time.Second, CrashEvery: 20 * time.Second, Together: 3, RunTime: 10 * time.Second})},
		{"both, deadly each 8 s, sound each 10 ms, a crash each 10 s", base(CrashOptions{Upstreams: 4, KeepIDs: true, Others: true, DeadlyEvery: 8 * time.Second, SoundEvery: 10 * time.Millisecond, CrashEvery: 10 * time.Second})},
	}
}
