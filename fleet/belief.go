package fleet

import (
	"time"
)

// Source is how an entry learned something about an upstream.
type Source string

// Values of Source.
const (
	// SourceResponse: the upstream said so in a response to this entry.
	SourceResponse Source = "response"
	// SourcePeer: another entry passed it on.
	SourcePeer Source = "peer"
)

const (
	// leavingRetention is how long it is remembered that a process is leaving after its
	// registration is gone; the registration may come back with the store.
	leavingRetention = 10 * time.Minute
	// maxLeaving bounds the processes that are remembered as leaving.
	maxLeaving = 4096
	// maxPauses bounds the pauses that are remembered.
	maxPauses = 4096
	// MaxPause bounds the time that an upstream may ask for without requests.
	MaxPause = 5 * time.Minute
)

// Departure states that a process of an upstream is leaving. It holds for that process
// alone: a registration with another start time ends it, and none with the same one.
type Departure struct {
	Upstream string
	// StartedAt is the start time of the process, as in Upstream.
	StartedAt int64
	Source    Source
	// At is when the process said so.
	At time.Time
}

// pause is the time that an upstream's process asked for without requests from this entry.
type pause struct {
	startedAt int64
	until     time.Time
}

// MarkLeaving records that a process is leaving and reports whether that is new. One that
// has been replaced is ignored.
func (r *Registry) MarkLeaving(d Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[d.Upstream]; ok && m.StartedAt != d.StartedAt {
		return false
	}
	if old, ok := r.leaving[d.Upstream]; ok && old.StartedAt == d.StartedAt {
		return false
	}
	if len(r.leaving) >= maxLeaving {
		r.dropOldestDeparture()
	}
	r.leaving[d.Upstream] = d
	return true
}

func (r *Registry) dropOldestDeparture() {
	var oldest string
	for id, d := range r.leaving {
		if oldest == "" || d.At.Before(r.leaving[oldest].At) {
			oldest = id
		}
	}
	delete(r.leaving, oldest)
}

// expireDepartures forgets the processes that said long ago that they are leaving and
// whose registration is gone.
func (r *Registry) expireDepartures(now time.Time) {
	for id, d := range r.leaving {
		m, ok := r.members[id]
		if replaced := ok && m.StartedAt != d.StartedAt; replaced || !ok && now.Sub(d.At) > leavingRetention {
			delete(r.leaving, id)
		}
	}
}

// Departures returns the processes that are leaving, in no order.
func (r *Registry) Departures() []Departure {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Departure, 0, len(r.leaving))
	for _, d := range r.leaving {
		list = append(list, d)
	}
	return list
}

func (r *Registry) isLeaving(m *member) bool {
	d, ok := r.leaving[m.ID]
	return ok && d.StartedAt == m.StartedAt
}

// Pause keeps requests of this entry from a process for the time that it asked for, at
// most MaxPause, and returns the end. A pause in force is never shortened.
func (r *Registry) Pause(now time.Time, id string, startedAt int64, length time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || m.StartedAt != startedAt {
		return time.Time{}
	}
	until := now.Add(min(length, MaxPause))
	old, ok := r.pauses[id]
	if ok && old.startedAt == startedAt && old.until.After(until) {
		return old.until
	}
	if !ok && len(r.pauses) >= maxPauses {
		r.dropFirstPause()
	}
	r.pauses[id] = pause{startedAt: startedAt, until: until}
	return until
}

// dropFirstPause forgets the pause that ends first.
func (r *Registry) dropFirstPause() {
	var first string
	for id, p := range r.pauses {
		if first == "" || p.until.Before(r.pauses[first].until) {
			first = id
		}
	}
	delete(r.pauses, first)
}

// expirePauses forgets the pauses that have ended.
func (r *Registry) expirePauses(now time.Time) {
	for id, p := range r.pauses {
		if !now.Before(p.until) {
			delete(r.pauses, id)
		}
	}
}

// pausedUntil returns the end of the pause of an upstream's process; zero without one.
func (r *Registry) pausedUntil(now time.Time, u Upstream) time.Time {
	p, ok := r.pauses[u.ID]
	if !ok || p.startedAt != u.StartedAt || !now.Before(p.until) {
		return time.Time{}
	}
	return p.until
}

// Withdrawal is the reason why an upstream that was chosen gets no request after all.
type Withdrawal string

// Values of Withdrawal.
const (
	WithdrawalNone     Withdrawal = ""
	WithdrawalLeaving  Withdrawal = "leaving"
	WithdrawalPaused   Withdrawal = "paused"
	WithdrawalDraining Withdrawal = "draining"
	// WithdrawalMisrouted: it does not belong to a service of the request's route.
	WithdrawalMisrouted Withdrawal = "misrouted"
	// WithdrawalReplaced: its process is another one, which runs another release.
	WithdrawalReplaced Withdrawal = "replaced"
	// WithdrawalUnidentified: it is not known whether its process is the one that is registered.
	WithdrawalUnidentified Withdrawal = "unidentified"
	// WithdrawalLimited: there is no turn for the rate that the upstream names.
	WithdrawalLimited Withdrawal = "limited"
)

// Withdrawn reports whether a chosen upstream has been withdrawn since. It is asked when
// the connection is open, right before the request is sent.
func (r *Registry) Withdrawn(now time.Time, u Upstream) Withdrawal {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if d, ok := r.leaving[u.ID]; ok && d.StartedAt == u.StartedAt {
		return WithdrawalLeaving
	}
	m, ok := r.members[u.ID]
	switch {
	case !r.pausedUntil(now, u).IsZero():
		return WithdrawalPaused
	case !ok || m.StartedAt != u.StartedAt:
		return WithdrawalNone
	case m.Draining:
		return WithdrawalDraining
	}
	return WithdrawalNone
}

// NextResume returns when the first of the paused upstreams of a service takes requests
// again, or false if none is paused. A release limits it to upstreams that run that one.
func (r *Registry) NextResume(now time.Time, service, release string) (time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var first time.Time
	for _, m := range r.members {
		if m.Service != service || m.Draining || r.isLeaving(m) || release != "" && release != m.release() {
			continue
		}
		if until := r.pausedUntil(now, m.Upstream); !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first, !first.IsZero()
}

// Census counts the upstreams of a service by what keeps requests from them.
type Census struct {
	Registered, Draining, Leaving, Paused, Lapsed, Banned int
}

// Census returns how many upstreams of a service there are, and what keeps requests from
// them.
func (r *Registry) Census(now time.Time, service string) Census {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var c Census
	for _, m := range r.members {
		if m.Service != service {
			continue
		}
		c.Registered++
		switch {
		case m.Draining:
			c.Draining++
		case r.isLeaving(m):
			c.Leaving++
		case !r.pausedUntil(now, m.Upstream).IsZero():
			c.Paused++
		case now.Before(m.health.bannedUntil):
			c.Banned++
		}
		if m.lapsed {
			c.Lapsed++
		}
	}
	return c
}
