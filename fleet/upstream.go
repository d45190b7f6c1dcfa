// Package fleet keeps the registry of upstreams: their registrations, whether they
// are draining, and their health. It does no I/O and takes the time as an argument.
package fleet

import (
	"time"

	"cactustide/store"
)

// Upstream is the registration of an upstream.
type Upstream struct {
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	Centre  string
	// Release is the version of the upstream's software; empty if unknown.
	Release string
	Slots   int
	// Draining upstreams finish their running requests and get no new ones.
	Draining bool
	// Sequence increases with each registration of the same process.
	Sequence int64
	// StartedAt is the start time of the process, Unix milliseconds. The same id with
	// another start time is a new process without the state of the previous one.
	StartedAt int64
	// Position is that of the registration in the platform's store; zero if unknown.
	Position store.Position
}

// Bans and decay of outcomes.
const (
	// initialBan is how long an upstream gets no new requests after its host seemed
	// unreachable; each further suspicion doubles it, up to maxBan.
	initialBan = 400 * time.Millisecond
	maxBan     = 3 * time.Second
	// outcomeHalfLife is the half-life of outcome counts, so that an upstream that
	// gets no requests is tried again.
	outcomeHalfLife = 5 * time.Second
	// priorSuccesses is the number of successes that a new upstream starts with.
	priorSuccesses = 4.0
)

// health is the state of an upstream as derived from the outcomes of requests.
type health struct {
	bannedUntil time.Time
	banDuration time.Duration
	// succeeded and failed count outcomes with exponential decay.
	succeeded float64
	failed    float64
	// decayedAt is the time up to which the counts are decayed.
	decayedAt time.Time
}
