package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactustide/retry"
)

const (
	partContact   = 3 * time.Second
	partCrashes   = 5
	partSpread    = 50 * time.Millisecond
	partFetch     = 200 * time.Millisecond
	deadlyPart    = "deadly"
	partSessions  = 20
	defaultFirst  = 300 * time.Millisecond
	defaultLength = 30 * time.Second
)

// PartOptions is an arrangement of requests whose prompts share parts; upstreams crash on one
// of these parts.
type PartOptions struct {
	Seed               uint64
	Entries, Upstreams int
	// Downtime is how long an upstream is down after a crash.
	Downtime time.Duration
	// Shared is the number of parts that all requests share. Sound requests also hold the part
	// of a session, and deadly ones too if DeadlySession is set.
	Shared        int
	DeadlySession bool
	// Routes is the number of kinds of sound requests, each with shared parts of its own; deadly
	// requests are of the first. 0 means one. Deadly is the number of parts that crash
	// upstreams, one in a request; 0 means one.
	Routes, Deadly int
	// Calm is the time with sound requests alone, Duration that with deadly ones after it; 0
	// means 30 s.
	Calm, Duration time.Duration
	// SoundEvery and DeadlyEvery are the mean times between two requests.
	SoundEvery, DeadlyEvery time.Duration
	// First is the time to the first event, 0 means 0.3 s; RunTime that to the last one.
	First, RunTime time.Duration
	// CrashAt is the time from sending a deadly request to the crash; 0 means First. If
	// CrashAnywhere is set, it is spread from First to RunTime.
	CrashAt       time.Duration
	CrashAnywhere bool
	// CrashEvery is the mean time between crashes of other causes; 0 means none.
	CrashEvery time.Duration
	// Loss is the share of messages between entries that are lost.
	Loss float64
	// RestartAt is the time at which one entry starts anew, after the first deadly request; 0
	// means never.
	RestartAt time.Duration
}

// PartResult counts what an arrangement led to.
type PartResult struct {
	Crashes int
	// Late are the requests with a deadly part that reached upstreams later than 3 s after its
	// fifth crash, or its last one if there were fewer; the most for one part.
	Late int
	// Sound are the sound requests from 6 s after that crash of each part, or all if there was
	// none, Begun those of them that got an event, Refused those that were refused for a part.
	Sound, Begun, Refused int
	// AllRefused are the sound requests that were refused for a part at any time.
	AllRefused int
}

type partUpstream struct {
	id, start int
	down      bool
	running   []*partRun
}

type partRun struct {
	hash   uint64
	entry  int
	parts  []string
	deadly bool
	began  time.Time
	ended  bool
	sample *partSample
}

// partSample is what became of a sound request.
type partSample struct {
	at             time.Time
	begun, refused bool
}

type partSim struct {
	PartOptions
	now       time.Time
	deadlyAt  time.Time
	queue     eventQueue
	sequence  int
	random    *rand.Rand
	upstreams []*partUpstream
	entries   []*retry.Evidence
	sent      int
	// crashes and arrivals are those of each deadly part.
	crashes, arrivals map[string][]time.Time
	samples           []*partSample
}

// RunParts simulates an arrangement.
func RunParts(o PartOptions) PartResult {
	if o.First == 0 {
		o.First = defaultFirst
	}
	if o.Duration == 0 {
		o.Duration = defaultLength
	}
	if o.CrashAt == 0 {
		o.CrashAt = o.First
	}
	s := &partSim{
		PartOptions: o, now: simStart, deadlyAt: simStart.Add(o.Calm), random: rand.New(rand.NewPCG(o.Seed, 7)),
		crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{},
	}
	for i := range o.Upstreams {
		s.upstreams = append(s.upstreams, &partUpstream{id: i})
	}
	for range o.Entries {
		s.entries = append(s.entries, retry.NewPartEvidence())
	}
	s.repeat(0, o.SoundEvery, func() { s.send(false) })
	s.repeat(o.Calm, o.DeadlyEvery, func() { s.send(true) })
	s.repeat(0, o.CrashEvery, func() {
		if u := s.pick(); u != nil {
			s.crash(u)
		}
	})
	if o.RestartAt > 0 {
		s.after(o.Calm+o.RestartAt, func() { s.restart(0) })
	}
	end := simStart.Add(o.Calm + o.Duration)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result()
}

func (s *partSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.sequence, run: run})
}

// repeat runs a function again and again, at random times with the mean.
func (s *partSim) repeat(start, mean time.Duration, run func()) {
	if mean == 0 {
		return
	}
	s.after(start+time.Duration((0.5+s.random.Float64())*float64(mean)), func() {
		run()
		s.repeat(0, mean, run)
	})
}

// pick returns an upstream that is up, or nil.
func (s *partSim) pick() *partUpstream {
	var up []*partUpstream
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

func (s *partSim) send(deadly bool) {
	s.sent++
	entry := s.sent % s.Entries
	run := &partRun{hash: s.random.Uint64(), entry: entry, deadly: deadly, began: s.now}
	route := 0
	if !deadly {
		route = s.random.IntN(max(1, s.Routes))
	}
	for i := range s.Shared {
		run.parts = append(run.parts, fmt.Sprintf("shared%d-%d", route, i))
	}
	bad := fmt.Sprint(deadlyPart, s.random.IntN(max(1, s.Deadly)))
	if deadly {
		run.parts = append(run.parts, bad)
	} else {
		run.sample = &partSample{at: s.now}
		s.samples = append(s.samples, run.sample)
	}
	if !deadly || s.DeadlySession {
		run.parts = append(run.parts, fmt.Sprint("session", s.random.IntN(partSessions)))
	}
	if _, refused := s.entries[entry].FindQuarantined(s.now, run.parts...); refused {
		if !deadly {
			run.sample.refused = true
		}
		return
	}
	u := s.pick()
	if u == nil {
		return
	}
	u.running = append(u.running, run)
	if !deadly {
		s.after(s.First, func() { run.sample.begun = run.sample.begun || !run.ended })
		s.after(s.RunTime, func() { s.finish(u, run) })
		return
	}
	s.arrivals[bad] = append(s.arrivals[bad], s.now)
	wait := s.CrashAt
	if s.CrashAnywhere {
		wait = s.First + time.Duration(s.random.Float64()*float64(s.RunTime-s.First))
	}
	s.after(wait, func() {
		if !run.ended {
			s.crashes[bad] = append(s.crashes[bad], s.now)
			s.crash(u)
		}
	})
}

// finish ends a run with a whole response.
func (s *partSim) finish(u *partUpstream, run *partRun) {
	if run.ended {
		return
	}
	run.ended = true
	for i, r := range u.running {
		if r == run {
			u.running = append(u.running[:i], u.running[i+1:]...)
			break
		}
	}
	s.spreadSuccesses(run.entry, s.entries[run.entry].AddSuccess(s.now, run.parts))
}

// crash ends an upstream; each entry records its requests that ran there.
func (s *partSim) crash(u *partUpstream) {
	process := fmt.Sprintf("%d@%d", u.id, u.start)
	u.down = true
	for entry := range s.entries {
		var aborted []retry.Abort
		for _, run := range u.running {
			if run.entry == entry {
				run.ended = true
				x := retry.Abort{Began: run.began, At: s.now, Request: run.hash, Parts: run.parts}
				if begun := run.began.Add(s.First); s.now.After(begun) {
					x.Responded = begun
				}
				aborted = append(aborted, x)
			}
		}
		s.addCrashes(entry, retry.CrashesOfParts(process, aborted), true)
	}
	u.running = nil
	s.after(s.Downtime, func() {
		u.down = false
		u.start++
	})
}

// addCrashes records crashes at an entry and passes on what is new there, and all that the
// entry found itself.
func (s *partSim) addCrashes(entry int, list []retry.Crash, own bool) {
	if len(list) == 0 {
		return
	}
	added, refuting := s.entries[entry].AddCrashes(s.now, list)
	if own {
		added = append(s.entries[entry].EarlierCrashes(added), added...)
	} else {
		added = slices.DeleteFunc(added, func(c retry.Crash) bool { return c.Known })
	}
	if len(added) > 0 {
		s.tell(entry, func(other int) { s.addCrashes(other, added, false) })
	}
	s.spreadSuccesses(entry, refuting)
}

func (s *partSim) spreadSuccesses(entry int, list []retry.Success) {
	if len(list) == 0 {
		return
	}
	s.tell(entry, func(other int) { s.spreadSuccesses(other, s.entries[other].AddSuccesses(s.now, list)) })
}

// tell applies something at the other entries that get the message.
func (s *partSim) tell(from int, apply func(other int)) {
	for i := range s.entries {
		if i != from && s.random.Float64() >= s.Loss {
			s.after(partSpread, func() { apply(i) })
		}
	}
}

// restart starts an entry anew; it fetches what a peer knows.
func (s *partSim) restart(entry int) {
	s.entries[entry] = retry.NewPartEvidence()
	if len(s.entries) > 1 {
		s.after(partFetch, func() { s.addCrashes(entry, s.entries[(entry+1)%len(s.entries)].Crashes(s.now), false) })
	}
}

func (s *partSim) result() PartResult {
	r := PartResult{}
	settled := simStart.Add(-2 * partContact)
	for part, crashes := range s.crashes {
		r.Crashes += len(crashes)
		bound := crashes[min(len(crashes), partCrashes)-1]
		if bound.After(settled) {
			settled = bound
		}
		late := 0
		for _, at := range s.arrivals[part] {
			if at.After(bound.Add(partContact)) {
				late++
			}
		}
		r.Late = max(r.Late, late)
	}
	for _, x := range s.samples {
		if x.refused {
			r.AllRefused++
		}
		if x.at.Before(settled.Add(2*partContact)) || x.at.After(s.now.Add(-s.First)) {
			continue
		}
		r.Sound++
		if x.begun {
			r.Begun++
		}
		if x.refused {
			r.Refused++
		}
	}
	return r
}

// PartArrangement is a named arrangement.
type PartArrangement struct {
	Name    string
	Options PartOptions
}

// PartArrangements returns arrangements in which a part crashes upstreams: before the first
// event, after it, late in the response and anywhere in it, each with responses short and long,
// few and many upstreams, rare and frequent deadly requests; then variations of one of them, and
// crashes without a deadly part.
func PartArrangements() []PartArrangement {
	const second = time.Second
	base := PartOptions{
		Entries: 4, Upstreams: 4, Downtime: 4 * second, Shared: 1, Calm: 6 * second,
		SoundEvery: 100 * time.Millisecond, DeadlyEvery: 500 * time.Millisecond, RunTime: 9 * second,
	}
	var list []PartArrangement
	vary := func(name string, changes ...func(o *PartOptions)) {
		o := base
		for _, change := range changes {
			change(&o)
		}
		list = append(list, PartArrangement{Name: name, Options: o})
	}
	short := func(o *PartOptions) { o.RunTime = 800 * time.Millisecond }
	long := func(*PartOptions) {}
	for _, crash := range []struct {
		name   string
		change func(o *PartOptions)
	}{
		{"before the first event", func(*PartOptions) {}},
		{"after the first event", func(o *PartOptions) { o.CrashAt = defaultFirst + 50*time.Millisecond }},
		{"late", func(o *PartOptions) { o.CrashAt = o.RunTime * 3 / 4 }},
		{"anywhere", func(o *PartOptions) { o.CrashAnywhere = true }},
	} {
		for _, upstreams := range []int{2, 9} {
			for _, every := range []time.Duration{3 * second, 250 * time.Millisecond} {
				rate := func(o *PartOptions) {
					o.Upstreams, o.DeadlyEvery = upstreams, every
					if every == 3*second {
						o.Duration = 60 * second
					}
				}
				vary(fmt.Sprintf("crash %s, short responses, %d upstreams, deadly each %v", crash.name, upstreams, every), short, rate, crash.change)
				vary(fmt.Sprintf("crash %s, long responses, %d upstreams, deadly each %v", crash.name, upstreams, every), long, rate, crash.change)
			}
		}
		for _, x := range []struct {
			name   string
			change func(o *PartOptions)
		}{
			{"deadly each 50 ms, 9 upstreams", func(o *PartOptions) { o.DeadlyEvery, o.Upstreams = 50*time.Millisecond, 9 }},
			{"three shared parts", func(o *PartOptions) { o.Shared = 3 }},
			{"three routes", func(o *PartOptions) { o.Routes = 3 }},
			{"two deadly parts", func(o *PartOptions) { o.Deadly = 2 }},
			{"deadly requests in sessions of sound ones", func(o *PartOptions) { o.DeadlySession = true }},
			{"sound each 2 s", func(o *PartOptions) { o.SoundEvery = 2 * second }},
			{"no sound before", func(o *PartOptions) { o.Calm = 0 }},
			{"an entry starts after 2 s", func(o *PartOptions) { o.RestartAt = 2 * second }},
			{"an entry starts after 20 s", func(o *PartOptions) { o.RestartAt = 20 * second }},
			{"two entries, a tenth of the messages lost", func(o *PartOptions) { o.Entries, o.Loss = 2, 0.1 }},
			{"crashes of other causes each 10 s", func(o *PartOptions) { o.CrashEvery = 10 * second }},
			{"crashes of other causes each 5 s, 9 upstreams, three routes, deadly each 3 s", func(o *PartOptions) {
				o.CrashEvery, o.Upstreams, o.Routes, o.DeadlyEvery, o.Duration = 5*second, 9, 3, 3*second, 60*second
			}},
			{"upstreams back after 1 s", func(o *PartOptions) { o.Downtime = second }},
			{"upstreams back after 10 s", func(o *PartOptions) { o.Downtime, o.Duration = 10*second, 60*second }},
		} {
			vary(fmt.Sprintf("crash %s, %s", crash.name, x.name), crash.change, x.change)
		}
	}
	for _, upstreams := range []int{4, 9} {
		for _, every := range []time.Duration{5 * second, 10 * second} {
			for _, sound := range []time.Duration{100 * time.Millisecond, 2 * second} {
				vary(fmt.Sprintf("no deadly part, a crash each %v, %d upstreams, sound each %v", every, upstreams, sound), func(o *PartOptions) {
					o.DeadlyEvery, o.CrashEvery, o.Upstreams, o.SoundEvery, o.Duration = 0, every, upstreams, sound, 120*second
				})
			}
		}
	}
	return list
}
