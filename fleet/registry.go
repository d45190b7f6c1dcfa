package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/store"
)

// lapsedGracePeriod is how long lapsed registrations are kept after the store has
// recovered. Upstreams that are still running register again within that time.
const lapsedGracePeriod = 2 * time.Second

// outageWindow is how long after the store's recovery a removed registration is
// still attributed to the outage.
const outageWindow = 2 * time.Second

type member struct {
	Upstream
	// considered is the position of the last registration that was looked at, also of one that
	// was ignored.
	considered store.Position
	health     health
	// refusedAt is when the process was found to have ended: the one that is started next may run
	// another release.
	refusedAt time.Time
	// lapsed is set when the registration was removed around an outage. lapsedUntil is the
	// end of its grace period if another entry told of the outage; zero if it was this one's
	// own, which may go on.
	lapsed      bool
	lapsedUntil time.Time
}

// Registry holds the upstreams by id.
type Registry struct {
	mu      sync.RWMutex
	members map[string]*member
	// byHash maps the hash of each id to it.
	byHash map[uint64]string
	// releases counts the upstreams of each release.
	releases map[ServiceRelease]int
	// rings holds the upstreams of each service; see Ring.
	rings map[string][]Node
	// leaving holds the processes that said that they are leaving, by the id of the
	// upstream. They outlast the registration, which an outage may remove and bring back.
	leaving map[string]Departure
	// former holds the registrations that were removed, by the id of the upstream. A store that
	// comes back from an older copy may list them again.
	former map[string]formerMember
	// era is the highest era of the store that is known.
	era uint64
	// pauses holds the time that processes asked for without requests, by the id of the
	// upstream. They outlast the registration as well.
	pauses map[string]pause
	// lastOutage is when the store last failed to respond, or when it recovered.
	lastOutage time.Time
	// peerOutage is when it last did so for another entry that told of it.
	peerOutage time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]*member{}, byHash: map[uint64]string{}, releases: map[ServiceRelease]int{}, rings: map[string][]Node{}, leaving: map[string]Departure{}, former: map[string]formerMember{}, pauses: map[string]pause{}}
}

// Change is the effect of a registration or of its removal.
type Change string

// Values of Change.
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

// Put stores a registration and returns its effect. A registration that is older
// than the stored one, or than one that was removed, is ignored; see outdates.
func (r *Registry) Put(u Upstream) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = max(r.era, u.Position.Era)
	m, ok := r.members[u.ID]
	if !ok {
		if f, ok := r.former[u.ID]; ok && f.outdates(u) {
			f.considered = store.Later(f.considered, u.Position)
			r.former[u.ID] = f
			return ChangeStale
		}
		delete(r.former, u.ID)
		r.members[u.ID] = &member{Upstream: u, considered: u.Position}
		r.byHash[xxhash.Sum64String(u.ID)] = u.ID
		r.addNode(u)
		r.countRelease(u, 1)
		return ChangeNew
	}
	if m.outdates(u) {
		m.considered = store.Later(m.considered, u.Position)
		return ChangeStale
	}
	m.considered = u.Position
	change := ChangeNone
	switch {
	case u.StartedAt != m.StartedAt:
		change = ChangeRestarted
		m.health = health{}
		m.refusedAt = time.Time{}
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
	if u.Service != m.Service {
		r.dropNode(m.Upstream)
		r.addNode(u)
	}
	r.countRelease(m.Upstream, -1)
	r.countRelease(u, 1)
	m.Upstream = u
	m.lapsed = false
	return change
}

// Remove handles the removal of a registration from the store. Around an outage
// of the store the upstream is marked as lapsed instead of being dropped, because
// the store may have lost the registration.
func (r *Registry) Remove(now time.Time, id string) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || m.lapsed {
		return ChangeNone
	}
	own := !r.lastOutage.IsZero() && now.Sub(r.lastOutage) < outageWindow
	told := !r.peerOutage.IsZero() && now.Sub(r.peerOutage) < outageWindow
	if !m.Draining && (own || told) {
		m.lapsed, m.lapsedUntil = true, time.Time{}
		if !own {
			m.lapsedUntil = r.peerOutage.Add(lapsedGracePeriod)
		}
		return ChangeLapsed
	}
	r.drop(now, id)
	return ChangeRemoved
}

func (r *Registry) drop(now time.Time, id string) {
	r.recordFormer(now, r.members[id])
	r.countRelease(r.members[id].Upstream, -1)
	r.dropNode(r.members[id].Upstream)
	delete(r.members, id)
	delete(r.byHash, xxhash.Sum64String(id))
}

// Replace stores a complete list of registrations, removes all others and returns
// the changes by id.
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

// RecordOutage records that the store failed to respond, or that it recovered.
func (r *Registry) RecordOutage(now time.Time) {
	r.mu.Lock()
	r.lastOutage = now
	r.mu.Unlock()
}

// RecordReturn records that the store came back from an older copy, in which registrations may be
// missing: for them it counts as an outage that ends now.
func (r *Registry) RecordReturn(now time.Time, era uint64) {
	r.mu.Lock()
	r.era = max(r.era, era)
	r.lastOutage = now
	r.mu.Unlock()
}

// RecordPeerOutage records that the store recovered for another entry at a time. It never
// lengthens the grace period of a registration that has lapsed.
func (r *Registry) RecordPeerOutage(at time.Time) {
	r.mu.Lock()
	if at.After(r.peerOutage) {
		r.peerOutage = at
	}
	r.mu.Unlock()
}

// lapseEnded reports whether the grace period of a lapsed registration is over.
func (r *Registry) lapseEnded(now time.Time, m *member) bool {
	if m.lapsedUntil.IsZero() {
		return now.Sub(r.lastOutage) >= lapsedGracePeriod
	}
	return !now.Before(m.lapsedUntil)
}

// OutageAge returns the time since the last outage of this entry, or false if there was none for so long
// that a removed registration is not attributed to it.
func (r *Registry) OutageAge(now time.Time) (time.Duration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	age := now.Sub(r.lastOutage)
	return max(0, age), !r.lastOutage.IsZero() && age < outageWindow
}

// Expire drops the lapsed registrations that were not renewed within the grace
// period after the store's recovery, and returns their ids, sorted.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireDepartures(now)
	r.expirePauses(now)
	r.expireFormer(now)
	var removed []string
	for id, m := range r.members {
		if m.lapsed && r.lapseEnded(now, m) {
			r.drop(now, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// RecordRefused records that a process of an upstream has ended: it refused a connection, or another
// process answers in its place.
func (r *Registry) RecordRefused(now time.Time, id string, startedAt int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[id]; ok && m.StartedAt == startedAt {
		m.refusedAt = now
	}
}

// registerTime is the time within which a process that has started is registered.
const registerTime = 5 * time.Second

// ForgetRefused forgets the connections that were refused long before the store had nothing
// newer: a process started since would have registered.
func (r *Registry) ForgetRefused(confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if !m.refusedAt.IsZero() && confirmedAt.Sub(m.refusedAt) > registerTime {
			m.refusedAt = time.Time{}
		}
	}
}

// release returns the release that the upstream runs; empty if that is not known.
func (m *member) release() string {
	if !m.refusedAt.IsZero() {
		return ""
	}
	return m.Release
}

// ReleaseOf returns the release that the process of an upstream runs; empty if that is not
// known: the registration is another process's, or gone, or the process has ended.
func (r *Registry) ReleaseOf(u Upstream) string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[u.ID]
	if !ok || m.StartedAt != u.StartedAt {
		return ""
	}
	return m.release()
}

// ServiceRelease is a release of a service.
type ServiceRelease struct {
	Service, Release string
}

func releaseOf(u Upstream) ServiceRelease {
	return ServiceRelease{Service: u.Service, Release: u.Release}
}

// Releases returns the releases of the registered upstreams, in no order.
func (r *Registry) Releases() []ServiceRelease {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Collect(maps.Keys(r.releases))
}

// countRelease counts an upstream of a release more, or one less.
func (r *Registry) countRelease(u Upstream, n int) {
	key := releaseOf(u)
	if r.releases[key] += n; r.releases[key] <= 0 {
		delete(r.releases, key)
	}
}

// Find returns the upstream with the id.
func (r *Registry) Find(id string) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[id]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}

// FindHash returns the upstream whose id has the hash (64-bit xxHash).
func (r *Registry) FindHash(hash uint64) (Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[r.byHash[hash]]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}

// Count returns the number of upstreams, draining and lapsed ones included.
func (r *Registry) Count() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.members)
}

// States returns all upstreams, sorted by id.
func (r *Registry) States(now time.Time) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Candidate, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, r.candidate(now, m))
	}
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Candidate is an upstream with its estimated health.
type Candidate struct {
	Upstream
	// FailureRate is the estimated fraction of requests that fail there, from 0 to 1.
	FailureRate float64
	// Banned is set while the upstream is suspected to be unreachable.
	Banned bool
	// Lapsed is set if the registration was removed around an outage of the store.
	Lapsed bool
	// Leaving is set if the process said that it is leaving, with the source.
	Leaving Source
	// LeavingSince is when it said so.
	LeavingSince time.Time
	// PausedUntil is the end of the time that the process asked for without requests; zero
	// without one.
	PausedUntil time.Time
}

// Candidates returns the upstreams of a service that accept new requests, banned
// ones included, sorted by id. Those that are leaving or paused are left out.
func (r *Registry) Candidates(now time.Time, service string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Candidate
	for _, m := range r.members {
		if m.Service != service || !r.accepts(now, m) {
			continue
		}
		list = append(list, r.candidate(now, m))
	}
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (r *Registry) candidate(now time.Time, m *member) Candidate {
	c := Candidate{
		Upstream: m.Upstream, FailureRate: m.health.failureRate(now), Banned: now.Before(m.health.bannedUntil), Lapsed: m.lapsed,
		PausedUntil: r.pausedUntil(now, m.Upstream),
	}
	if r.isLeaving(m) {
		c.Leaving, c.LeavingSince = r.leaving[m.ID].Source, r.leaving[m.ID].At
	}
	return c
}

// decay scales the outcome counts down to now.
func (h *health) decay(now time.Time) {
	if d := now.Sub(h.decayedAt); d > 0 {
		factor := math.Exp2(-float64(d) / float64(outcomeHalfLife))
		h.succeeded *= factor
		h.failed *= factor
		h.decayedAt = now
	}
}

// failureRate returns the estimated fraction of requests that fail. The prior of
// priorSuccesses pulls it towards zero while there are few outcomes.
func (h *health) failureRate(now time.Time) float64 {
	factor := math.Exp2(-max(0, float64(now.Sub(h.decayedAt))) / float64(outcomeHalfLife))
	return factor * h.failed / (factor*(h.succeeded+h.failed) + priorSuccesses)
}

// RecordOutcomes adds finished requests of an upstream, from this or another
// entry. A success lifts the ban and resets its duration.
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

// Ban bans an upstream whose host seems unreachable, and returns how long the
// ban will last; 0 means that the upstream is unknown. A ban in force isn't extended.
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

// BanUntil bans an upstream that another entry suspects, and reports whether it was not
// banned yet. It never shortens a ban.
func (r *Registry) BanUntil(now time.Time, id string, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	if !ok || !until.After(m.health.bannedUntil) {
		return false
	}
	wasBanned := now.Before(m.health.bannedUntil)
	m.health.bannedUntil = until
	return !wasBanned
}
