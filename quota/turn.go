package quota

import (
	"time"

	"cactustide/fleet"
)

const (
	// minHold is the shortest time for which a turn that was granted may be used, maxHold the
	// longest. In between, turns of low rates keep longer: holdTurns times the mean time
	// between two of them.
	minHold   = 500 * time.Millisecond
	maxHold   = 5 * time.Second
	holdTurns = 2.0
	// askTimeout is how long an entry waits for the answer to a request for turns. Turns in a
	// later answer are not used: they belong to another time.
	askTimeout = 400 * time.Millisecond
	// spareWithin is the time within which turns begin that no request waits for: the requests
	// went to other upstreams, the next ones may use the turns.
	spareWithin = 100 * time.Millisecond
	// askShare is the time whose turns an entry asks for at once.
	askShare = 250 * time.Millisecond
	// ramp is the time in which the traffic returns after a limit has ended.
	ramp = 2500 * time.Millisecond
)

// turn is the right to send one request.
type turn struct {
	from, until time.Time
}

// holder holds the turns of one entry for one limited upstream.
type holder struct {
	service string
	turns   []turn
	// askedAt is when turns were last asked for, zero once that was answered; ask is the
	// number of the request.
	askedAt time.Time
	ask     uint64
	// retryAt is when turns may be asked for again.
	retryAt time.Time
	// alarm is when ServeWaiters is expected to be called.
	alarm time.Time
	// credit is the part of a request that the ramp admits.
	credit float64
	// sent, received and passedOver count requests sent, turns received, and choices in which
	// the upstream was passed over.
	sent, received, passedOver int64
}

// hold returns how long a turn may be used.
func hold(rate float64) time.Duration {
	return min(maxHold, minHold+time.Duration(holdTurns/rate*float64(time.Second)))
}

// turnsAtOnce returns the number of turns that an entry may ask for at once.
func turnsAtOnce(rate float64) int { return 1 + int(rate*askShare.Seconds()) }

// dropExpired drops the turns that can no longer be used.
func (h *holder) dropExpired(now time.Time) {
	n := 0
	for _, t := range h.turns {
		if now.Before(t.until) {
			h.turns[n] = t
			n++
		}
	}
	h.turns = h.turns[:n]
}

// usable returns the number of turns that can be used now.
func (h *holder) usable(now time.Time) int {
	h.dropExpired(now)
	n := 0
	for _, t := range h.turns {
		if !now.Before(t.from) {
			n++
		}
	}
	return n
}

// pop takes one turn, the one that ends first, and reports whether there was one.
func (h *holder) pop(now time.Time) bool {
	h.dropExpired(now)
	best := -1
	for i, t := range h.turns {
		if !now.Before(t.from) && (best < 0 || t.until.Before(h.turns[best].until)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	h.turns = append(h.turns[:best], h.turns[best+1:]...)
	return true
}

// Admit divides candidates into those that may get a request now and those that are passed
// over because they name a rate and there is no turn. held is the process whose turn the
// request itself has. After the end of a limit a growing part of the requests is admitted, or
// all of them if there is no other candidate. The elements of list are overwritten.
func (l *Ledger) Admit(now time.Time, list []fleet.Candidate, held Key) (open []fleet.Candidate, passed []Key) {
	if l.size.Load() == 0 {
		return list, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var ramping []fleet.Candidate
	open = list[:0]
	for _, c := range list {
		key := KeyOf(c.Upstream)
		r, ok := l.records[key]
		switch {
		case !ok || key == held:
			open = append(open, c)
		case r.Rate == 0 && !r.ramps(now):
			open = append(open, c)
		case r.Rate == 0:
			ramping = append(ramping, c)
		case r.usable(now) > 0:
			open = append(open, c)
		default:
			r.passedOver++
			passed = append(passed, key)
		}
	}
	if len(open) == 0 {
		open = ramping
	}
	return open, passed
}

// ramps reports whether a request is passed over since the limit has ended only just now.
func (r *record) ramps(now time.Time) bool {
	elapsed := now.Sub(r.At)
	if elapsed >= ramp {
		return false
	}
	r.credit += max(0, elapsed.Seconds()/ramp.Seconds())
	if r.credit < 1 {
		return true
	}
	r.credit--
	return false
}

// Take uses a turn for a request that is about to be sent, and reports whether it may be sent.
// held is the process whose turn the request itself has.
func (l *Ledger) Take(now time.Time, key, held Key) bool {
	if l.size.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok || r.Rate == 0 {
		return true
	}
	if key != held && !r.pop(now) {
		return false
	}
	r.sent++
	return true
}

// GiveBack returns a turn that a request has and does not use.
func (l *Ledger) GiveBack(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[key]; ok && r.Rate > 0 {
		r.turns = append(r.turns, turn{from: now, until: now.Add(minHold)})
		l.serveWaiters(now, r)
	}
}

// Ask is a request for turns, to the entry that hands them out for an upstream.
type Ask struct {
	// From is the address of the entry that asks.
	From string
	// Limit is what the sender knows.
	Limit Limit
	Count int
	// Within is the time within which the turns are to begin.
	Within time.Duration
	// Number tells the requests of one entry apart.
	Number uint64
}

// Answer is the answer to an Ask.
type Answer struct {
	// Limit is what the sender knows.
	Limit  Limit
	Number uint64
	// Count turns were granted, which begin one after the other from First to Last from now.
	Count       int
	First, Last time.Duration
	// Retry is the time after which to ask again, if no turn was granted.
	Retry time.Duration
}

// Asks returns the requests for turns that are due, for the processes of a service that were
// passed over.
func (l *Ledger) Asks(now time.Time, from, service string, passed []Key) []Ask {
	if len(passed) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var asks []Ask
	for _, key := range passed {
		r, ok := l.records[key]
		if !ok || r.Rate == 0 {
			continue
		}
		r.service = service
		r.dropExpired(now)
		want := min(max(1, len(l.waiters[service])), turnsAtOnce(r.Rate)) - len(r.turns)
		waiting := !r.askedAt.IsZero() && now.Sub(r.askedAt) < askTimeout
		if want <= 0 || waiting || now.Before(r.retryAt) {
			continue
		}
		r.ask++
		r.askedAt = now
		asks = append(asks, Ask{From: from, Limit: r.Limit, Count: want, Within: l.longestWait(now, service), Number: r.ask})
	}
	return asks
}

// HandleAnswer records the answer to a request for turns, and returns when ServeWaiters is to
// be called; zero if a call at that time is expected already or no turn is to come.
func (l *Ledger) HandleAnswer(now time.Time, a Answer) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[a.Limit.Key]
	if !ok || r.ask != a.Number || r.askedAt.IsZero() || now.Sub(r.askedAt) > askTimeout {
		return time.Time{}
	}
	r.askedAt = time.Time{}
	if a.Count <= 0 || r.Rate == 0 {
		r.retryAt = now.Add(time.Duration((0.75 + l.Random()/2) * float64(a.Retry)))
		l.notifyWaiters(r.service)
		return time.Time{}
	}
	r.retryAt = time.Time{}
	r.received += int64(a.Count)
	count := min(a.Count, turnsAtOnce(r.Rate))
	for i := range count {
		from := now.Add(a.First + (a.Last-a.First)*time.Duration(i)/time.Duration(max(1, count-1)))
		r.turns = append(r.turns, turn{from: from, until: from.Add(hold(r.Rate))})
	}
	l.serveWaiters(now, r)
	l.notifyWaiters(r.service)
	return r.nextAlarm(now)
}

// nextAlarm returns when the next turn begins, unless a call at that time or before is
// expected already; zero if none is to come.
func (h *holder) nextAlarm(now time.Time) time.Time {
	var next time.Time
	for _, t := range h.turns {
		if now.Before(t.from) && (next.IsZero() || t.from.Before(next)) {
			next = t.from
		}
	}
	if next.IsZero() || now.Before(h.alarm) && !h.alarm.After(next) {
		return time.Time{}
	}
	h.alarm = next
	return next
}

// Use is the use of a limit by this entry.
type Use struct {
	Limit
	// Turns is the number of turns that can be used now or soon.
	Turns int
	// Sent counts requests, Received turns, PassedOver choices without a turn, Granted turns that
	// this entry handed out.
	Sent, Received, PassedOver, Granted int64
	// Grants is set if this entry hands out the turns.
	Grants bool
}

// Use returns the use of the limit of a process.
func (l *Ledger) Use(now time.Time, key Key) (Use, bool) {
	if l.size.Load() == 0 {
		return Use{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok {
		return Use{}, false
	}
	r.dropExpired(now)
	return Use{
		Limit: r.Limit, Turns: len(r.turns), Sent: r.sent, Received: r.received, PassedOver: r.passedOver,
		Granted: r.granted, Grants: !r.ownedSince.IsZero(),
	}, true
}
