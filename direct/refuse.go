package direct

import (
	"time"

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

// logConfig adds to a log line which configuration an answer rests on, and whether a newer one can
// exist that is not known here.
func (e *Entry) logConfig(now time.Time, logger *meter.Logger) *meter.Logger {
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
