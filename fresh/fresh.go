// Package fresh decides for how long what an entry does not have counts as absent: a copy of the
// configuration may lack what was written since the store last confirmed it. The package does no
// I/O and takes the time as an argument.
package fresh

import (
	"sync"
	"time"
)

// DefaultApplyTimeout is the time within which a change must be in force where nothing names one.
const DefaultApplyTimeout = 2 * time.Second

// confirmedFraction is the fraction of that time for which a copy counts as confirmed.
const confirmedFraction = 0.9

// ConfirmedTime returns for how long a copy counts as confirmed if a change must be in force within
// a time; 0 means DefaultApplyTimeout.
func ConfirmedTime(applyTimeout time.Duration) time.Duration {
	if applyTimeout == 0 {
		applyTimeout = DefaultApplyTimeout
	}
	return time.Duration(confirmedFraction * float64(applyTimeout))
}

// Confirmation holds the latest time at which the store had nothing newer than a copy. The zero value
// is that of a copy that nothing has confirmed.
type Confirmation struct {
	mu sync.Mutex
	at time.Time
}

// Confirm records that the store had nothing newer at a time: that of the begin of a call, not of its
// answer, which may have been on its way or unread.
func (c *Confirmation) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// Age returns the time since the store had nothing newer, or false if that is not known.
func (c *Confirmation) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, now.Sub(c.at)), !c.at.IsZero()
}
