package fleet

import (
	"time"

	"cactustide/bound"
	"cactustide/store"
)

const (
	// formerRetention is how long a removed registration is remembered. A store comes back from
	// a copy that is some seconds old.
	formerRetention = 10 * time.Minute
	// maxFormer bounds the removed registrations that are remembered.
	maxFormer = 1 << 14
)

// formerMember is an upstream whose registration was removed.
type formerMember struct {
	Upstream
	// considered is the position up to which registrations are from before the removal.
	considered store.Position
	removedAt  time.Time
}

// outdates reports whether a registration is older than the stored one, or is one that was
// ignored before.
func (m *member) outdates(u Upstream) bool {
	if u.Position == m.considered && m.considered != m.Position {
		return true
	}
	return isOutdated(m.Upstream, m.considered, u, u.Sequence < m.Sequence)
}

// outdates reports whether a registration is from before the removal.
func (f *formerMember) outdates(u Upstream) bool {
	if u.Position.Era > f.considered.Era {
		// The copy has the registration as it was at the latest.
		return isOutdated(f.Upstream, f.considered, u, u.Sequence <= f.Sequence)
	}
	if u.Position.IsZero() {
		return false // Only the store tells the order of a removal.
	}
	return !f.considered.Before(u.Position)
}

// isOutdated reports whether a registration is older than a known one. Without a position the
// start times decide, and in one era of the store the positions. After a return of the store from
// an older copy neither of two positions tells which was written later: the start times decide,
// and among those of one process the sequence. A process whose host's clock was set back counts
// once it has written again, as that is later in the new era.
func isOutdated(known Upstream, considered store.Position, u Upstream, lowerSequence bool) bool {
	switch {
	case u.StartedAt == known.StartedAt && lowerSequence:
		return true
	case u.Position.IsZero(), u.Position.Era > considered.Era:
		return u.StartedAt < known.StartedAt
	}
	return u.Position.Before(considered)
}

// recordFormer remembers an upstream whose registration is removed.
func (r *Registry) recordFormer(now time.Time, m *member) {
	if len(r.former) >= maxFormer {
		bound.DropOlder(r.former, func(f formerMember) time.Time { return f.removedAt })
	}
	considered := store.Later(m.considered, store.Position{Era: r.era})
	r.former[m.ID] = formerMember{Upstream: m.Upstream, considered: considered, removedAt: now}
}

// expireFormer forgets the registrations that were removed long ago.
func (r *Registry) expireFormer(now time.Time) {
	for id, f := range r.former {
		if now.Sub(f.removedAt) > formerRetention {
			delete(r.former, id)
		}
	}
}
