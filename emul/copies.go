package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cactustide/member"
	"cactustide/retry"
)

const (
	copyRounds   = 5
	copyPeriod   = 5 * time.Second
	copyCalm     = 6 * time.Second
	copyDowntime = 3 * time.Second
	copyContact  = 3 * time.Second
	copyAttempts = 2
	copyDetect   = 3 * time.Millisecond
	copyResend   = time.Millisecond
	copyTransit  = 60 * time.Millisecond
	copyCentres  = 3
	bookingRun   = 300 * time.Millisecond
	deadlyCopy   = "deadly"
)

// CopyOptions is an arrangement of requests of which copies come at the same moment, in rounds.
type CopyOptions struct {
	Seed               uint64
	Entries, Upstreams int
	// Deadly is the number of copies in a round of a request that crashes upstreams, Sound that
	// of one that does not.
	Deadly, Sound int
	// Spread is the time in which the copies of a round come, Work that for which an upstream
	// works on one. If Random is set, it is anything up to Work.
	Spread, Work time.Duration
	Random       bool
	// BookingEvery is the mean time between two requests that run once and hold what no other
	// one does, PageEvery that between two copies of a sound request, which takes PageRun; 0
	// means none.
	BookingEvery, PageEvery, PageRun time.Duration
	// LossEvery is the mean time between losses of Lost upstreams at once; 0 means none. If
	// Lost is 0, all upstreams of a data centre are lost. If InRound is set, the losses come
	// while the upstreams work on the copies of a round.
	LossEvery time.Duration
	Lost      int
	InRound   bool
}

// CopyResult counts what an arrangement led to.
type CopyResult struct {
	// Crashes are those of the deadly request, LateRetries its sends beyond the first of each
	// copy, later than 3 s after the third crash, LateLost the bookings sent later than that
	// which one of its crashes ended.
	Crashes, LateRetries, LateLost int
	// Sent are the sound requests that are no bookings, Refused those that were refused.
	Sent, Refused int
}

type copyUpstream struct {
	id, start int
	down      bool
	running   []*copyRun
}

type copyRun struct {
	subject string
	entry   int
	began   time.Time
	attempt int
	tried   map[int]bool
	ended   bool
}

type copyEntry struct {
	evidence   *retry.Evidence
	neighbours []int
	heard      map[string]bool
}

type copySim struct {
	CopyOptions
	now       time.Time
	queue     eventQueue
	sequence  int
	random    *rand.Rand
	upstreams []*copyUpstream
	entries   []*copyEntry
	thirdAt   time.Time
	result    CopyResult
}

// RunCopies simulates an arrangement.
func RunCopies(o CopyOptions) CopyResult {
	s := &copySim{CopyOptions: o, now: simStart, random: rand.New(rand.NewPCG(o.Seed, 11))}
	for i := range o.Upstreams {
		s.upstreams = append(s.upstreams, &copyUpstream{id: i})
	}
	for i := range o.Entries {
		e := &copyEntry{evidence: retry.NewRequestEvidence(), heard: map[string]bool{}}
		for _, other := range s.random.Perm(o.Entries) {
			if other != i && len(e.neighbours) < member.Fanout {
				e.neighbours = append(e.neighbours, other)
			}
		}
		s.entries = append(s.entries, e)
	}
	bookings := 0
	s.repeat(o.BookingEvery, func() {
		bookings++
		s.start(fmt.Sprint("booking", bookings), s.random.IntN(o.Entries))
	})
	s.repeat(o.PageEvery, func() { s.start("page", s.random.IntN(o.Entries)) })
	for round := range copyRounds {
		s.after(copyCalm+time.Duration(round)*copyPeriod, s.startRound)
	}
	if !o.InRound {
		s.repeat(o.LossEvery, s.lose)
	}
	end := simStart.Add(copyCalm + copyRounds*copyPeriod)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *copySim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.sequence, run: run})
}

// repeat runs a function again and again, at random times with the mean.
func (s *copySim) repeat(mean time.Duration, run func()) {
	if mean == 0 {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()*float64(mean)), func() {
		run()
		s.repeat(mean, run)
	})
}

// within returns a random time below d.
func (s *copySim) within(d time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(d))
}

func (s *copySim) startRound() {
	first := s.random.IntN(s.Entries)
	for i := range s.Deadly {
		s.after(s.within(s.Spread), func() { s.start(deadlyCopy, (first+i)%s.Entries) })
	}
	for i := range s.Sound {
		s.after(s.within(s.Spread), func() { s.start("sound", (first+i)%s.Entries) })
	}
	if s.InRound {
		s.after(s.Spread+s.within(s.Work), s.lose)
	}
}

// start takes a new request from a caller.
func (s *copySim) start(subject string, entry int) {
	s.send(&copyRun{subject: subject, entry: entry, tried: map[int]bool{}})
}

// isBooking reports whether a request may run only once.
func (r *copyRun) isBooking() bool { return len(r.subject) > 7 && r.subject[:7] == "booking" }

func (s *copySim) send(run *copyRun) {
	deadly, sound := run.subject == deadlyCopy, run.subject == "sound" || run.subject == "page"
	run.attempt++
	if sound && run.attempt == 1 {
		s.result.Sent++
	}
	if _, refused := s.entries[run.entry].evidence.FindQuarantined(s.now, run.subject); refused {
		if sound {
			s.result.Refused++
		}
		return
	}
	u := s.pick(run.tried)
	if u == nil {
		return
	}
	run.began = s.now
	run.tried[u.id] = true
	u.running = append(u.running, run)
	s.entries[run.entry].evidence.Begin(s.now, run.subject)
	if deadly && run.attempt > 1 && !s.thirdAt.IsZero() && s.now.Sub(s.thirdAt) > copyContact {
		s.result.LateRetries++
	}
	s.after(s.workOn(run), func() {
		switch {
		case run.ended:
		case deadly:
			s.result.Crashes++
			if s.result.Crashes == crashThreshold {
				s.thirdAt = s.now
			}
			s.crash(u, true)
		default:
			s.finish(u, run)
		}
	})
}

// workOn returns how long an upstream works on a request.
func (s *copySim) workOn(run *copyRun) time.Duration {
	switch {
	case run.isBooking():
		return bookingRun
	case run.subject == "page":
		return s.PageRun
	case s.Random:
		return s.within(s.Work)
	default:
		return s.Work
	}
}

// pick returns an upstream that is up and was not tried, or nil.
func (s *copySim) pick(tried map[int]bool) *copyUpstream {
	var up []*copyUpstream
	for _, u := range s.upstreams {
		if !u.down && !tried[u.id] {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.random.IntN(len(up))]
}

// finish ends a run with a whole response.
func (s *copySim) finish(u *copyUpstream, run *copyRun) {
	run.ended = true
	for i, r := range u.running {
		if r == run {
			u.running = append(u.running[:i], u.running[i+1:]...)
			break
		}
	}
	s.entries[run.entry].evidence.End(run.began, run.subject)
	s.spreadSuccesses(run.entry, s.entries[run.entry].evidence.AddSuccess(s.now, []string{run.subject}))
}

// lose ends several upstreams at once.
func (s *copySim) lose() {
	if s.Lost == 0 {
		centre := s.random.IntN(copyCentres)
		for _, u := range s.upstreams {
			if u.id%copyCentres == centre && !u.down {
				s.crash(u, false)
			}
		}
	}
	for range s.Lost {
		if u := s.pick(nil); u != nil {
			s.crash(u, false)
		}
	}
}

// crash ends an upstream; the entries learn of it soon, and send its requests once more.
func (s *copySim) crash(u *copyUpstream, deadly bool) {
	process := fmt.Sprintf("%d@%d", u.id, u.start)
	u.down = true
	byEntry := make([][]retry.Crash, s.Entries)
	for _, run := range u.running {
		run.ended = true
		s.after(copyDetect, func() { s.entries[run.entry].evidence.End(run.began, run.subject) })
		byEntry[run.entry] = append(byEntry[run.entry], retry.Crash{Subject: run.subject, Upstream: process, Began: run.began, At: s.now})
		if run.isBooking() {
			if deadly && !s.thirdAt.IsZero() && run.began.Sub(s.thirdAt) > copyContact {
				s.result.LateLost++
			}
		} else if run.attempt < copyAttempts {
			again := &copyRun{subject: run.subject, entry: run.entry, attempt: run.attempt, tried: run.tried}
			s.after(copyResend, func() { s.send(again) })
		}
	}
	u.running = nil
	for entry, list := range byEntry {
		if len(list) > 0 {
			s.after(copyDetect, func() { s.addCrashes(entry, list, true) })
		}
	}
	s.after(copyDowntime, func() {
		u.down = false
		u.start++
	})
}

// addCrashes records crashes at an entry, and passes them on as entries do.
func (s *copySim) addCrashes(entry int, list []retry.Crash, own bool) {
	e := s.entries[entry]
	added, refuting := e.evidence.AddCrashes(s.now, list)
	var passed []retry.Crash
	for _, c := range added {
		n, _ := e.evidence.Count(c.Subject)
		if own || s.Entries > member.Fanout+1 || n > 1 {
			passed = append(passed, c)
		}
	}
	if len(passed) > 0 {
		s.tell(entry, func(other int, delay time.Duration) {
			var fresh []retry.Crash
			for _, c := range passed {
				key := fmt.Sprint(c.Subject, " ", c.Upstream, " ", c.At.Sub(c.Began))
				if !s.entries[other].heard[key] {
					s.entries[other].heard[key] = true
					c.Began, c.At = c.Began.Add(delay), c.At.Add(delay)
					fresh = append(fresh, c)
				}
			}
			if len(fresh) > 0 {
				s.addCrashes(other, fresh, false)
			}
		})
	}
	s.spreadSuccesses(entry, refuting)
}

func (s *copySim) spreadSuccesses(entry int, list []retry.Success) {
	if len(list) == 0 {
		return
	}
	s.tell(entry, func(other int, _ time.Duration) {
		s.spreadSuccesses(other, s.entries[other].evidence.AddSuccesses(s.now, list))
	})
}

// tell applies something at the neighbours of an entry, once it has reached them. Entries date
// what they are told by when they read it, less what the sender knew to have passed.
func (s *copySim) tell(from int, apply func(other int, delay time.Duration)) {
	for _, other := range s.entries[from].neighbours {
		delay := s.within(copyTransit)
		s.after(delay, func() { apply(other, delay) })
	}
}

// CopyArrangement is a named arrangement.
type CopyArrangement struct {
	Name    string
	Options CopyOptions
}

// CopyArrangements returns arrangements with copies at the same moment: deadly ones by their
// number, how far apart they come, how long upstreams work on them and how many entries there
// are; deadly and sound ones beside losses of several upstreams at once.
func CopyArrangements() []CopyArrangement {
	const second, ms = time.Second, time.Millisecond
	base := CopyOptions{Entries: 4, Upstreams: 12, Work: 500 * ms, BookingEvery: 40 * ms}
	var list []CopyArrangement
	vary := func(name string, change func(o *CopyOptions)) {
		o := base
		change(&o)
		list = append(list, CopyArrangement{Name: name, Options: o})
	}
	for _, entries := range []int{1, 4, 84} {
		for _, copies := range []int{2, 4, 12, 40} {
			for _, spread := range []time.Duration{0, 500 * ms} {
				for _, work := range []time.Duration{0, 500 * ms, 2 * second} {
					vary(fmt.Sprintf("%d entries, %d deadly copies in %v, work %v", entries, copies, spread, work), func(o *CopyOptions) {
						o.Entries, o.Deadly, o.Spread, o.Work = entries, copies, spread, work
					})
				}
				vary(fmt.Sprintf("%d entries, %d deadly copies in %v, work up to 2s", entries, copies, spread), func(o *CopyOptions) {
					o.Entries, o.Deadly, o.Spread, o.Work, o.Random = entries, copies, spread, 2*second, true
				})
			}
		}
	}
	for _, loss := range []struct {
		name    string
		every   time.Duration
		lost    int
		inRound bool
	}{
		{"one lost each 2.5 s", 2500 * ms, 1, false},
		{"three lost each 10 s", 10 * second, 3, false},
		{"a data centre lost each 10 s", 10 * second, 0, false},
		{"three lost in each round", 0, 3, true},
		{"a data centre lost in each round", 0, 0, true},
	} {
		losing := func(o *CopyOptions) { o.LossEvery, o.Lost, o.InRound = loss.every, loss.lost, loss.inRound }
		for _, copies := range []int{2, 4, 12, 40} {
			vary(fmt.Sprintf("%d deadly copies in 100ms, %s", copies, loss.name), func(o *CopyOptions) {
				losing(o)
				o.Deadly, o.Spread = copies, 100*ms
			})
			for _, work := range []time.Duration{500 * ms, 2 * second, 10 * second} {
				vary(fmt.Sprintf("%d sound copies in 100ms, work %v, %s", copies, work, loss.name), func(o *CopyOptions) {
					losing(o)
					o.Sound, o.Spread, o.Work = copies, 100*ms, work
				})
			}
		}
		for _, run := range []time.Duration{500 * ms, 2 * second, 10 * second} {
			for _, every := range []time.Duration{50 * ms, second} {
				for _, upstreams := range []int{4, 12} {
					vary(fmt.Sprintf("a page each %v for %v, %d upstreams, %s", every, run, upstreams, loss.name), func(o *CopyOptions) {
						losing(o)
						o.PageEvery, o.PageRun, o.Upstreams = every, run, upstreams
						if loss.inRound {
							o.Deadly = 4
						}
					})
				}
			}
		}
	}
	return list
}
