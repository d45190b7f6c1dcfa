package quota

import (
	"slices"
	"time"
)

// fairEvery is the number of turns of which one goes to the request that has waited longest,
// whatever its tier.
const fairEvery = 4

// Waiter is a request that waits for a turn of any limited upstream of its service.
type Waiter struct {
	// Turn receives the process whose turn the request gets; a zero key means that an upstream
	// has become free without one. News receives a value after each answer.
	Turn chan Key
	News chan struct{}

	service, team string
	tier          int
	end           time.Time
}

// Wait adds a request that waits for a turn of the processes, for at most limit. It returns
// nil if those before it take all turns of that time.
func (l *Ledger) Wait(now time.Time, service, team string, tier int, keys []Key, limit time.Duration) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	turns := 0.0
	for _, key := range keys {
		if r, ok := l.records[key]; ok {
			turns += float64(len(r.turns)) + r.Rate*limit.Seconds()
		}
	}
	ahead := 0
	for _, w := range l.waiters[service] {
		if w.tier <= tier {
			ahead++
		}
	}
	if float64(ahead) >= max(1, turns) {
		return nil
	}
	w := &Waiter{Turn: make(chan Key, 1), News: make(chan struct{}, 1), service: service, team: team, tier: tier, end: now.Add(limit)}
	l.waiters[service] = append(l.waiters[service], w)
	for _, key := range keys {
		if r, ok := l.records[key]; ok {
			l.serveWaiters(now, r)
		}
	}
	return w
}

// longestWait returns for how long some request of a service will wait.
func (l *Ledger) longestWait(now time.Time, service string) time.Duration {
	longest := spareWithin
	for _, w := range l.waiters[service] {
		longest = max(longest, w.end.Sub(now))
	}
	return longest
}

// Leave removes a request that waits no longer. A turn that it got meanwhile is returned.
func (l *Ledger) Leave(now time.Time, w *Waiter) {
	l.mu.Lock()
	l.removeWaiter(w)
	l.mu.Unlock()
	select {
	case key := <-w.Turn:
		l.GiveBack(now, key)
	default:
	}
}

func (l *Ledger) removeWaiter(w *Waiter) {
	list := slices.DeleteFunc(l.waiters[w.service], func(other *Waiter) bool { return other == w })
	if len(list) == 0 {
		delete(l.waiters, w.service)
		return
	}
	l.waiters[w.service] = list
}

// ServeWaiters hands turns of a process that have begun to the requests that wait, and returns
// when it is to be called next; zero if that is not needed.
func (l *Ledger) ServeWaiters(now time.Time, key Key) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok {
		return time.Time{}
	}
	l.serveWaiters(now, r)
	return r.nextAlarm(now)
}

func (l *Ledger) serveWaiters(now time.Time, r *record) {
	for len(l.waiters[r.service]) > 0 && r.usable(now) > 0 {
		w := l.nextWaiter(r.service)
		r.pop(now)
		l.removeWaiter(w)
		l.recordTurn(now, w.team)
		w.Turn <- r.Key // The request gets one key: it is no longer in the list.
	}
}

// maxTeams bounds the teams whose last turn is known.
const maxTeams = 4096

func (l *Ledger) recordTurn(now time.Time, team string) {
	if len(l.lastTurns) >= maxTeams {
		clear(l.lastTurns)
	}
	l.lastTurns[team] = now
	l.given++
}

// nextWaiter returns the request that gets the next turn: the highest tier first, in it the
// team whose last turn is longest ago. One turn of fairEvery goes to the one that has waited
// longest.
func (l *Ledger) nextWaiter(service string) *Waiter {
	list := l.waiters[service]
	best := list[0] // The longest waiting one.
	if l.given%fairEvery == fairEvery-1 {
		return best
	}
	for _, w := range list[1:] {
		if w.tier < best.tier || w.tier == best.tier && l.lastTurns[w.team].Before(l.lastTurns[best.team]) {
			best = w
		}
	}
	return best
}

// releaseWaiters lets all requests of a service choose again.
func (l *Ledger) releaseWaiters(service string) {
	for _, w := range l.waiters[service] {
		w.Turn <- Key{}
	}
	delete(l.waiters, service)
}

// notifyWaiters tells the requests of a service that an answer has come.
func (l *Ledger) notifyWaiters(service string) {
	for _, w := range l.waiters[service] {
		select {
		case w.News <- struct{}{}:
		default:
		}
	}
}

// NextTurn returns when a turn of one of the processes is likely; false if that is not known
// yet, as an answer is awaited.
func (l *Ledger) NextTurn(now time.Time, keys []Key) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	known := true
	note := func(at time.Time) {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, key := range keys {
		r, ok := l.records[key]
		if !ok || r.Rate == 0 {
			note(now)
			continue
		}
		r.dropExpired(now)
		switch {
		case len(r.turns) > 0:
			note(r.turns[0].from)
		case !r.askedAt.IsZero() && now.Sub(r.askedAt) < askTimeout:
			known = false
		case now.Before(r.retryAt):
			note(r.retryAt)
		default:
			note(now)
		}
	}
	return first, known || !first.IsZero() && !first.After(now)
}
