// Package fleet knows the upstreams: which are registered, which leave, which
// are suspected. It does no I/O and takes the time as an argument.
package fleet

import "time"

// Upstream is what an upstream registered of itself.
type Upstream struct {
	ID      string
	Service string
	// Address is IP and port.
	Address string
	Centre  string
	Slots   int
	// Draining upstreams finish what they have and get nothing new.
	Draining bool
	// Sequence rises with each registration of one lifetime.
	Sequence int64
	// StartedAt is the start of the lifetime, Unix milliseconds. The same id with
	// another StartedAt is another process that knows nothing of the one before.
	StartedAt int64
	// Revision of the registration in the platform's store.
	Revision uint64
}

// Suspicion bounds.
const (
	// initialBan is how long an upstream gets no new work after a sign that its
	// host is away; each further sign doubles it up to lastBan.
	initialBan = 400 * time.Millisecond
	maxBan     = 3 * time.Second
	// outcomeHalfLife is the time after which half of the outcomes seen is forgotten, so
	// that an upstream which got no work is tried again.
	outcomeHalfLife = 5 * time.Second
	// priorSuccesses is the number of successes that a new upstream starts with.
	priorSuccesses = 4.0
)

// health is what requests showed of an upstream.
type health struct {
	bannedUntil time.Time
	banDuration time.Duration
	// succeeded and failed count outcomes, older ones for less.
	succeeded float64
	failed    float64
	// decayedAt is when the counts were last decayed.
	decayedAt time.Time
}
