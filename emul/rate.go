package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"cactustide/fleet"
	"cactustide/quota"
)

// RateRule is how entries keep the rate that an upstream names.
type RateRule string

// Rules; RuleSplit is the baseline.
const (
	// RuleSplit divides the rate evenly among the living entries.
	RuleSplit RateRule = "even split"
	// RuleTurns is quota.Ledger, as entries use it.
	RuleTurns RateRule = "turns"
)

// RateLoad is how the requests are divided among the entries.
type RateLoad string

// Loads.
const (
	LoadEven   RateLoad = "even"
	LoadSingle RateLoad = "one entry"
	// LoadSkewed gives the first tenth of the entries, at least one, nine tenths of the load.
	LoadSkewed RateLoad = "9 to 1"
)

// RateFault is what happens while the upstream names its rate.
type RateFault string

// Faults.
const (
	RateCalm     RateFault = "none"
	RateJoin     RateFault = "entries join"
	RateLeave    RateFault = "entries leave"
	RateRestart  RateFault = "entries restart"
	RateFreeze   RateFault = "entries freeze"
	RateCut      RateFault = "half cut off for 5 s"
	RateHalved   RateFault = "rate halved"
	RateDoubled  RateFault = "rate doubled"
	RateEnded    RateFault = "limit ends"
	RateFlapping RateFault = "limit comes and goes"
)

// RateFaults returns all faults.
func RateFaults() []RateFault {
	return []RateFault{RateCalm, RateJoin, RateLeave, RateRestart, RateFreeze, RateCut, RateHalved, RateDoubled, RateEnded, RateFlapping}
}

// RateOptions are the settings of a run.
type RateOptions struct {
	Entries int
	Rate    float64
	Load    RateLoad
	Fault   RateFault
	Rule    RateRule
	Seed    uint64
}

const (
	// rateNamed is when the upstream names its rate, rateFault when the fault happens, rateEnd
	// when the run ends.
	rateNamed = 10 * time.Second
	rateFault = 25 * time.Second
	rateEnd   = 50 * time.Second
	// rateGrace is how long after the first response with a rate the arrivals do not count.
	rateGrace = 3 * time.Second
	// rateWindow, rateFactor and rateSlack give how many requests may arrive.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// rateTell is how long after a response with a new rate the old one still counts.
	rateTell = 500 * time.Millisecond
	// The load is rateLoad times the rate, at least minLoad requests per second.
	rateLoad = 2.0
	minLoad  = 20.0
	// rateWait is how long a request waits for a turn, rateReturn the longest time after which
	// its caller returns once.
	rateWait   = 250 * time.Millisecond
	rateReturn = 3 * time.Second
	// responseTime is the time from sending a request to the head of the response.
	responseTime = 20 * time.Millisecond
	// joinKnown and downKnown are the times until all entries know of one that has joined, or is
	// down; largeFleet entries take twice as long.
	joinKnown  = 500 * time.Millisecond
	downKnown  = 3500 * time.Millisecond
	largeFleet = 200
	// messageDelay is the least time of a message between entries, gossipDelay that of news.
	messageDelay = 2 * time.Millisecond
	gossipDelay  = 30 * time.Millisecond
	messageLoss  = 0.01
	// retell is the time after which news is told again with an entry's full state.
	retell     = 250 * time.Millisecond
	freezeTime = 3 * time.Second
	cutTime    = 5 * time.Second
)

// RateResult is what a run shows.
type RateResult struct {
	// Excess is the largest number of arrivals in a window over what is allowed.
	Excess float64
	// Used is the part of the rate that was used from 5 s after it was named until the fault,
	// and UsedLater that from 10 s after the fault.
	Used, UsedLater float64
	// Refused counts requests without a turn, BesideTurn those of them whose own entry had one.
	Refused, BesideTurn int
	// Back is the time from the end of the limit to the last request that was passed over.
	Back time.Duration
	// Asks is the number of requests for turns a second at all entries together.
	Asks float64
}

type rateEntry struct {
	index   int
	address string
	ledger  *quota.Ledger
	limiter *rate.Limiter
	started time.Time
	up      bool
	frozen  time.Time
	side    int
	// known holds the other entries that this one believes alive, missing those that it
	// believes down for less than a minute.
	known, missing map[int]bool
	version        uint64
	waiting        []*rateRequest
}

type rateRequest struct {
	entry   int
	waiter  *quota.Waiter
	end     time.Time
	retried bool
}

type rateSimulation struct {
	options  RateOptions
	random   *rand.Rand
	now      time.Time
	seq      int
	queue    eventQueue
	entries  []*rateEntry
	rate     float64
	upstream fleet.Candidate
	// rates holds the rates that were named, with the time.
	rates    []quota.Limit
	arrivals []time.Time
	result   RateResult
	asks     int
	endedAt  time.Time
}

// RunRate simulates the entries before one upstream that names a rate.
func RunRate(o RateOptions) RateResult {
	s := &rateSimulation{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 31)), now: simStart,
		upstream: fleet.Candidate{Upstream: fleet.Upstream{ID: fmt.Sprint("u-", o.Seed), Service: serviceName, StartedAt: 1}},
	}
	for i := range o.Entries {
		s.entries = append(s.entries, s.newEntry(i, simStart.Add(-time.Minute)))
	}
	for _, e := range s.entries {
		for _, other := range s.entries {
			if other != e {
				e.known[other.index] = true
			}
		}
	}
	s.after(rateNamed, func() { s.name(o.Rate) })
	s.after(rateFault, s.fault)
	s.scheduleArrival()
	for len(s.queue) > 0 && s.queue[0].at.Before(simStart.Add(rateEnd)) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.judge()
	return s.result
}

func (s *rateSimulation) newEntry(i int, started time.Time) *rateEntry {
	e := &rateEntry{
		index: i, address: fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250), ledger: quota.NewLedger(), started: started, up: true,
		known: map[int]bool{}, missing: map[int]bool{},
	}
	e.ledger.Random = s.random.Float64
	return e
}

func (s *rateSimulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// name makes the upstream name a rate; 0 ends that.
func (s *rateSimulation) name(perSecond float64) {
	s.rate = perSecond
	s.rates = append(s.rates, quota.Limit{Rate: perSecond, At: s.now})
	if perSecond == 0 {
		s.endedAt = s.now
	}
}

func (s *rateSimulation) scheduleArrival() {
	load := max(minLoad, rateLoad*s.options.Rate)
	s.after(time.Duration(s.random.ExpFloat64()/load*float64(time.Second)), func() {
		s.arrive(&rateRequest{entry: s.drawEntry()})
		s.scheduleArrival()
	})
}

// drawEntry returns the entry of a request; callers avoid those that are down.
func (s *rateSimulation) drawEntry() int {
	n := len(s.entries)
	for range 10 * n {
		i := s.random.IntN(n)
		switch {
		case s.options.Load == LoadSingle:
			i = 0
		case s.options.Load == LoadSkewed && s.random.Float64() < 0.9:
			i = s.random.IntN(max(1, n/10))
		}
		if s.entries[i].up {
			return i
		}
		if s.options.Load == LoadSingle {
			break
		}
	}
	return slices.IndexFunc(s.entries, func(e *rateEntry) bool { return e.up })
}

// whenAwake runs a task of an entry, later if it is frozen and not at all if it is down.
func (s *rateSimulation) whenAwake(e *rateEntry, run func()) {
	if s.entries[e.index] != e || !e.up {
		return
	}
	if s.now.Before(e.frozen) {
		s.after(e.frozen.Sub(s.now), func() { s.whenAwake(e, run) })
		return
	}
	run()
}

func (s *rateSimulation) arrive(r *rateRequest) {
	if r.entry < 0 {
		return // All entries are down.
	}
	e := s.entries[r.entry]
	s.whenAwake(e, func() {
		if !s.tryNow(e) {
			s.passOver(e, r)
		}
	})
}

// tryNow sends a request if the rule lets it.
func (s *rateSimulation) tryNow(e *rateEntry) bool {
	key := quota.KeyOf(s.upstream.Upstream)
	if s.options.Rule == RuleSplit {
		limit, ok := e.ledger.Find(key)
		if ok && limit.Rate > 0 {
			share := rate.Limit(limit.Rate / float64(len(e.known)+1))
			if e.limiter == nil {
				e.limiter = rate.NewLimiter(share, 1)
				e.limiter.AllowN(s.now, 1)
			}
			e.limiter.SetLimitAt(s.now, share)
			if !e.limiter.AllowN(s.now, 1) {
				return false
			}
		} else {
			e.limiter = nil
		}
		s.send(e)
		return true
	}
	open, passed := e.ledger.Admit(s.now, []fleet.Candidate{s.upstream}, quota.Key{})
	s.ask(e, passed)
	if len(open) == 0 || !e.ledger.Take(s.now, key, quota.Key{}) {
		return false
	}
	s.send(e)
	return true
}

// send sends a request: the upstream gets it, and the response says what it names then.
func (s *rateSimulation) send(e *rateEntry) {
	sentAt := s.now
	s.arrivals = append(s.arrivals, s.now)
	named := s.rate
	s.after(responseTime, func() {
		s.whenAwake(e, func() {
			limit, changed := e.ledger.Observe(s.now, sentAt, quota.KeyOf(s.upstream.Upstream), named, named > 0)
			if changed {
				s.serve(e)
				for _, again := range []time.Duration{0, retell, 3 * retell} {
					s.after(again, func() { s.tellAll(e, limit) })
				}
			}
		})
	})
}

// tellAll passes a limit on to the entries that hear this one.
func (s *rateSimulation) tellAll(from *rateEntry, limit quota.Limit) {
	for _, e := range s.entries {
		if e != from {
			s.message(from, e, gossipDelay, func() {
				if e.ledger.Merge(s.now, limit) {
					s.serve(e)
				}
			})
		}
	}
}

func (s *rateSimulation) message(from, to *rateEntry, delay time.Duration, run func()) {
	if from.side != to.side || s.random.Float64() < messageLoss {
		return
	}
	s.after(delay+time.Duration(s.random.Int64N(int64(delay))), func() {
		if from.side == to.side {
			s.whenAwake(to, run)
		}
	})
}

func (s *rateSimulation) fleetOf(e *rateEntry) quota.Fleet {
	return quota.Fleet{
		Self: e.address, Version: e.version, Count: len(e.known) + 1, Known: len(e.known) + len(e.missing) + 1, StartedAt: e.started,
		Alive: func() []string {
			list := []string{e.address}
			for i := range e.known {
				list = append(list, s.entries[i].address)
			}
			return list
		},
	}
}

func (s *rateSimulation) ask(e *rateEntry, passed []quota.Key) {
	for _, ask := range e.ledger.Asks(s.now, e.address, serviceName, passed) {
		s.asks++
		address := e.ledger.OwnerOf(s.now, ask.Limit.Key, s.fleetOf(e))
		if address == e.address {
			s.answer(e, e.ledger.Grant(s.now, ask, s.fleetOf(e)))
			continue
		}
		owner := s.entries[slices.IndexFunc(s.entries, func(o *rateEntry) bool { return o.address == address })]
		s.message(e, owner, messageDelay, func() {
			a := owner.ledger.Grant(s.now, ask, s.fleetOf(owner))
			s.message(owner, e, messageDelay, func() {
				e.ledger.Merge(s.now, a.Limit)
				s.answer(e, a)
			})
		})
	}
}

func (s *rateSimulation) answer(e *rateEntry, a quota.Answer) {
	next := e.ledger.HandleAnswer(s.now, a)
	s.serve(e)
	s.serveLater(e, a.Limit.Key, next)
}

func (s *rateSimulation) serveLater(e *rateEntry, key quota.Key, next time.Time) {
	if next.IsZero() {
		return
	}
	s.after(next.Sub(s.now), func() {
		s.whenAwake(e, func() {
			next := e.ledger.ServeWaiters(s.now, key)
			s.serve(e)
			s.serveLater(e, key, next)
		})
	})
}

// passOver lets a request wait for a turn, or refuses it.
func (s *rateSimulation) passOver(e *rateEntry, r *rateRequest) {
	if !s.endedAt.IsZero() && s.rate == 0 {
		s.result.Back = s.now.Sub(s.endedAt)
	}
	key := quota.KeyOf(s.upstream.Upstream)
	if s.options.Rule == RuleSplit {
		s.refuse(r, rateReturn)
		return
	}
	r.end = s.now.Add(rateWait)
	if r.waiter = e.ledger.Wait(s.now, serviceName, "", 0, []quota.Key{key}, rateWait); r.waiter == nil {
		s.refuse(r, rateWait)
		return
	}
	e.waiting = append(e.waiting, r)
	s.ask(e, []quota.Key{key})
	s.serve(e)
	s.after(rateWait, func() { s.whenAwake(e, func() { s.serve(e) }) })
}

// serve sends the waiting requests that have got a turn and refuses those without hope.
func (s *rateSimulation) serve(e *rateEntry) {
	key := quota.KeyOf(s.upstream.Upstream)
	var left []*rateRequest
	for _, r := range e.waiting {
		select {
		case turn := <-r.waiter.Turn:
			if turn == key && e.ledger.Take(s.now, key, turn) {
				s.send(e)
			} else {
				s.arrive(r)
			}
			continue
		default:
		}
		if at, known := e.ledger.NextTurn(s.now, []quota.Key{key}); !s.now.Before(r.end) || known && at.After(r.end) {
			e.ledger.Leave(s.now, r.waiter)
			s.refuse(r, max(at.Sub(s.now), 0))
			continue
		}
		left = append(left, r)
	}
	e.waiting = left
}

// refuse refuses a request, whose caller returns once.
func (s *rateSimulation) refuse(r *rateRequest, after time.Duration) {
	e := s.entries[r.entry]
	s.result.Refused++
	if use, ok := e.ledger.Use(s.now, quota.KeyOf(s.upstream.Upstream)); ok && s.options.Rule == RuleTurns && use.Turns > 0 && e.ledger.Take(s.now, use.Key, quota.Key{}) {
		s.result.BesideTurn++
	}
	if !r.retried {
		after = min(rateReturn, max(200*time.Millisecond, after))
		s.after(after+time.Duration(s.random.Float64()/2*float64(after)), func() { s.arrive(&rateRequest{entry: s.drawEntry(), retried: true}) })
	}
}

// learn makes an entry know of a change of another one.
func (s *rateSimulation) learn(e *rateEntry, other int, up bool, within time.Duration) {
	if len(s.entries) >= largeFleet {
		within *= 2
	}
	s.after(time.Duration(s.random.Float64()*float64(within)), func() {
		reached := s.entries[other].up && !s.now.Before(s.entries[other].frozen) && s.entries[other].side == e.side
		if s.entries[e.index] != e || e.index == other || up != reached {
			return
		}
		e.version++
		delete(e.known, other)
		delete(e.missing, other)
		if up {
			e.known[other] = true
		} else {
			e.missing[other] = true
		}
	})
}

// fault injects the fault of the run.
func (s *rateSimulation) fault() {
	some := max(1, len(s.entries)/4)
	switch s.options.Fault {
	case RateJoin:
		for range some {
			s.join(len(s.entries))
		}
	case RateLeave, RateRestart:
		for n := range some {
			i := len(s.entries) - 1 - n
			if n == 0 { // The one that hands out the turns.
				i = s.ownerIndex()
			}
			s.entries[i].up = false
			for _, e := range s.entries {
				if s.options.Fault == RateLeave {
					s.learn(e, i, false, downKnown)
				}
			}
			if s.options.Fault == RateRestart {
				s.after(500*time.Millisecond, func() { s.join(i) })
			}
		}
	case RateFreeze:
		for n := range some {
			i := len(s.entries) - 1 - n
			if n == 0 {
				i = s.ownerIndex()
			}
			s.entries[i].frozen = s.now.Add(freezeTime)
			for _, e := range s.entries {
				s.learn(e, i, false, downKnown)
				s.after(freezeTime, func() { s.learn(e, i, true, joinKnown) })
			}
		}
	case RateCut:
		s.cut()
	case RateHalved:
		s.name(s.options.Rate / 2)
	case RateDoubled:
		s.name(s.options.Rate * 2)
	case RateEnded:
		s.name(0)
	case RateFlapping:
		for i := range 20 {
			s.after(time.Duration(i)*time.Second, func() { s.name([]float64{0, s.options.Rate}[i%2]) })
		}
	}
}

func (s *rateSimulation) ownerIndex() int {
	var members []string
	for _, e := range s.entries {
		if e.up {
			members = append(members, e.address)
		}
	}
	owner := quota.Owner(members, quota.KeyOf(s.upstream.Upstream))
	return slices.IndexFunc(s.entries, func(e *rateEntry) bool { return e.address == owner })
}

// join starts an entry, at an index that is new or that of one that is down.
func (s *rateSimulation) join(i int) {
	e := s.newEntry(i, s.now)
	if i < len(s.entries) {
		s.entries[i] = e
	} else {
		s.entries = append(s.entries, e)
	}
	for _, other := range s.entries {
		if other != e && other.up {
			s.learn(e, other.index, true, joinKnown)
			s.learn(other, i, true, joinKnown)
		}
	}
}

// cut separates the entries into two halves for cutTime.
func (s *rateSimulation) cut() {
	half := func(e *rateEntry) int { return e.index % 2 }
	for _, e := range s.entries {
		e.side = half(e)
		for _, other := range s.entries {
			if half(other) != half(e) {
				s.learn(e, other.index, false, downKnown)
				s.after(cutTime, func() { s.learn(e, other.index, true, joinKnown) })
			}
		}
	}
	s.after(cutTime, func() {
		for _, e := range s.entries {
			e.side = 0
		}
	})
}

// judge computes the figures of the run.
func (s *rateSimulation) judge() {
	first := 0
	from := simStart.Add(rateNamed + rateGrace)
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= rateWindow || s.arrivals[first].Before(from) && first < i {
			first++
		}
		if at.Before(from) {
			continue
		}
		if highest := s.highestRate(s.arrivals[first].Add(-rateTell), at); highest > 0 {
			s.result.Excess = max(s.result.Excess, float64(i-first+1)/(rateFactor*highest*rateWindow.Seconds()+rateSlack))
		}
	}
	s.result.Used = s.used(rateNamed+5*time.Second, rateFault, s.options.Rate)
	later := s.rate
	if later > 0 {
		s.result.UsedLater = s.used(rateFault+10*time.Second, rateEnd, later)
	}
	s.result.Asks = float64(s.asks) / (rateEnd - rateNamed).Seconds()
}

// highestRate returns the highest rate that was named between two times, or 0 if there was a
// time without one.
func (s *rateSimulation) highestRate(from, to time.Time) float64 {
	highest := 0.0
	for i, l := range s.rates {
		if l.At.After(to) || i+1 < len(s.rates) && s.rates[i+1].At.Before(from) {
			continue
		}
		if l.Rate == 0 {
			return 0
		}
		highest = max(highest, l.Rate)
	}
	return highest
}

func (s *rateSimulation) used(from, to time.Duration, perSecond float64) float64 {
	n := 0
	for _, at := range s.arrivals {
		if d := at.Sub(simStart); d >= from && d < to {
			n++
		}
	}
	return float64(n) / (perSecond * (to - from).Seconds())
}
