package direct

import (
	"net/http"
	"time"

	"cactustide/fresh"
	"cactustide/meter"
	"cactustide/store"
)

// configPrefix is the index of the prefix with the configuration.
const configPrefix = 0

// configOrigin says how the configuration in force reached the entry.
type configOrigin struct {
	at       time.Time
	source   source
	position store.Position
}

// withConfig adds to a log line which configuration an answer rests on, and whether a newer one can
// exist that is not known here.
func (e *Entry) withConfig(now time.Time, logger *meter.Logger) *meter.Logger {
	if c := e.configOrigin.Load(); c != nil {
		logger = logger.With("since", now.Sub(c.at).Milliseconds()).With("source", string(c.source)).With("era", c.position.Era).With("revision", c.position.Revision)
	}
	items := e.itemCaches[configPrefix]
	position, _ := items.state()
	logger = logger.With("copy", position.Revision).With("highest", e.peerVersion.Load())
	if age, ok := items.confirmedAge(now); ok {
		logger = logger.With("confirmed", age.Milliseconds())
	}
	if _, downSince := items.storeTimes(); !downSince.IsZero() {
		logger = logger.With("down", now.Sub(downSince).Milliseconds())
	}
	return logger
}

// confirmedTime returns for how long a copy counts as confirmed.
func (e *Entry) confirmedTime() time.Duration {
	return fresh.ConfirmedTime(e.settings.Load().ApplyTimeout)
}

// confirmedFor returns for how much longer the entry has each configuration that must be in force;
// negative if it may lack one.
func (e *Entry) confirmedFor(now time.Time) time.Duration {
	age, ok := e.itemCaches[configPrefix].confirmedAge(now)
	if !ok {
		return -e.confirmedTime()
	}
	return e.confirmedTime() - age
}

// isConfigConfirmed reports whether the entry has each configuration that must be in force by now.
func (e *Entry) isConfigConfirmed(now time.Time) bool { return e.confirmedFor(now) >= 0 }

// refuseUnknown returns the status and the reason for a request whose route or key a version of the
// configuration does not have. A newer one may have it if this one was not confirmed for long: then
// the caller may find it at another entry.
func (e *Entry) refuseUnknown(now time.Time, version uint64, status int, reason string) (int, string) {
	// The version is read last: the confirmation may be that of one that came in between.
	isCurrent := func() bool { return e.isConfigConfirmed(now) && e.rules.Version() == version }
	if isCurrent() {
		return status, reason
	}
	c := e.itemCaches[configPrefix]
	c.settling.RLock() // An answer that is being applied may confirm the version.
	defer c.settling.RUnlock()
	if isCurrent() {
		return status, reason
	}
	return http.StatusServiceUnavailable, reasonUnconfirmed
}
