package fleet

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lapsedGracePeriod is how long after the store's return registrations that vanished
// around an outage are kept. Upstreams that live register again within that time.
const lapsedGracePeriod = 2 * time.Second

// outageWindow is how long after the store's return a removal still counts as
// caused by the outage.
const outageWindow = 2 * time.Second

type member struct {
	Upstream
	hash   uint64
	health health
	// lapsed is set when the registration vanished around an outage.
	lapsed bool
}

// Registry holds the upstreams by id.
type Registry struct {
	mu      sync.RWMutex
	members map[string]*member
	// lastOutage is when the store last failed to answer, or answered again.
	lastOutage time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{members: map[string]*member{}} }

// Change says what a registration changed.
type Change string

// Changes.
const (
	ChangeNone      Change = ""
	ChangeNew       Change = "new"
	ChangeRestarted Change = "reborn"
	ChangeMoved     Change = "moved"
	ChangeDrain     Change = "draining"
	ChangeReady     Change = "ready"
	ChangeRemoved   Change = "gone"
	ChangeLapsed    Change = "lapsed"
	ChangeStale     Change = "old"
	ChangeRenewed   Change = "renewed"
)

// Put records a registration and says what it changed. One that is older than
// what is known of the same lifetime is ignored.
func (r *Registry) Put(u Upstream) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[u.ID]
	if !ok {
		r.members[u.ID] = &member{Upstream: u, hash: xxhash.Sum64String(u.ID)}
		return ChangeNew
	}
	if u.StartedAt < m.StartedAt || (u.Revision != 0 && u.Revision < m.Revision) {
		return ChangeStale
	}
	if u.StartedAt == m.StartedAt && u.Sequence < m.Sequence {
		return ChangeStale
	}
	change := ChangeNone
	switch {
	case u.StartedAt != m.StartedAt:
		change = ChangeRestarted
		m.health = health{}
	case u.Address != m.Address || u.Service != m.Service:
		change = ChangeMoved
		m.health = health{}
	case u.Draining && !m.Draining:
		change = ChangeDrain
	case !u.Draining && m.Draining:
		change = ChangeReady
	case m.lapsed:
		change = ChangeRenewed
	}
	m.Upstream = u
	m.lapsed = false
	return change
}

// Remove records that a registration vanished. Around an outage of the store
// the upstream is kept for a while, because the store may have lost it.
func (r *Registry) Remove(now time.Time, id string) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || m.lapsed {
		return ChangeNone
	}
	if !m.Draining && !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < outageWindow {
		m.lapsed = true
		return ChangeLapsed
	}
	delete(r.members, id)
	return ChangeRemoved
}

// Replace records the whole list and returns the changes by id.
func (r *Registry) Replace(now time.Time, list []Upstream) map[string]Change {
	changes := map[string]Change{}
	listed := map[string]bool{}
	for _, u := range list {
		listed[u.ID] = true
		if c := r.Put(u); c != ChangeNone {
			changes[u.ID] = c
		}
	}
	for _, id := range r.ids() {
		if listed[id] {
			continue
		}
		if c := r.Remove(now, id); c != ChangeNone {
			changes[id] = c
		}
	}
	return changes
}

func (r *Registry) ids() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ids := make([]string, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// RecordOutage records that the store failed to answer, or answered again.
func (r *Registry) RecordOutage(now time.Time) {
	r.mu.Lock()
	r.lastOutage = now
	r.mu.Unlock()
}

// Expire drops the lapsed registrations that did not come back after the store
// did, and returns their ids.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastOutage) < lapsedGracePeriod {
		return nil
	}
	var removed []string
	for id, m := range r.members {
		if m.lapsed {
			delete(r.members, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Find returns the upstream of that id.
func (r *Registry) Find(id string) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[id]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}

// FindHash returns the upstream whose id has that hash.
func (r *Registry) FindHash(hash uint64) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, m := range r.members {
		if m.hash == hash {
			return m.Upstream, true
		}
	}
	return Upstream{}, false
}

// Count returns the number of upstreams known.
func (r *Registry) Count() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.members)
}

// State is an upstream with what is believed of it.
type State struct {
	Candidate
	// Lapsed upstreams lost their registration in an outage of the store.
	Lapsed bool
}

// States returns all upstreams by id.
func (r *Registry) States(now time.Time) []State {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]State, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, State{Candidate: m.candidate(now), Lapsed: m.lapsed})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Candidate is an upstream that may get a request.
type Candidate struct {
	Upstream
	// FailureRate is the estimated share of requests that fail there.
	FailureRate float64
	// Banned upstreams showed signs of being away a moment ago.
	Banned bool
}

// Candidates returns the upstreams of a service that may get new work, by id.
func (r *Registry) Candidates(now time.Time, service string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Candidate
	for _, m := range r.members {
		if m.Service != service || m.Draining {
			continue
		}
		list = append(list, m.candidate(now))
	}
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (m *member) candidate(now time.Time) Candidate {
	return Candidate{Upstream: m.Upstream, FailureRate: m.health.failureRate(now), Banned: now.Before(m.health.bannedUntil)}
}

// decay forgets old outcomes.
func (h *health) decay(now time.Time) {
	if d := now.Sub(h.decayedAt); d > 0 {
		keep := math.Exp2(-float64(d) / float64(outcomeHalfLife))
		h.succeeded *= keep
		h.failed *= keep
		h.decayedAt = now
	}
}

// failureRate is the estimated failureRate of requests that fail, drawn towards none while
// few were seen.
func (h *health) failureRate(now time.Time) float64 {
	keep := math.Exp2(-max(0, float64(now.Sub(h.decayedAt))) / float64(outcomeHalfLife))
	return keep * h.failed / (keep*(h.succeeded+h.failed) + priorSuccesses)
}

// RecordOutcomes notes how requests ended at an upstream, here or at other entries.
func (r *Registry) RecordOutcomes(now time.Time, id string, succeeded, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok {
		return
	}
	m.health.decay(now)
	m.health.succeeded += float64(succeeded)
	m.health.failed += float64(failed)
	if succeeded > 0 {
		m.health.banDuration = 0
		m.health.bannedUntil = time.Time{}
	}
}

// Ban keeps new work away from an upstream whose host shows no sign of life.
// It returns for how long.
func (r *Registry) Ban(now time.Time, id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok {
		return 0
	}
	if now.Before(m.health.bannedUntil) {
		return m.health.bannedUntil.Sub(now)
	}
	m.health.banDuration = min(maxBan, max(initialBan, 2*m.health.banDuration))
	m.health.bannedUntil = now.Add(m.health.banDuration)
	return m.health.banDuration
}

// BanUntil keeps new work away from an upstream that another entry doubts.
func (r *Registry) BanUntil(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[id]; ok && until.After(m.health.bannedUntil) {
		m.health.bannedUntil = until
	}
}
