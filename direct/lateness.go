package direct

import (
	"sync"
	"time"
)

const (
	// learnTime is how long a peer must have been heard before the lateness of its messages counts:
	// in a process that stood still, the first ones may all have waited.
	learnTime = time.Second
	// offsetWindow is the time for which the smallest offset of a peer's clock is kept at least.
	// Clocks drift apart meanwhile.
	offsetWindow = 10 * time.Minute
	// maxSenders bounds the peers whose clocks are known.
	maxSenders = 8192
)

// lateness measures for how long messages of peers were on their way or unread, beyond the fastest
// one of each peer. The clocks of hosts need not agree.
type lateness struct {
	start   time.Time
	mu      sync.Mutex
	senders map[uint64]*senderClock
}

// senderClock holds the smallest offsets between this clock and a peer's, in the present window
// and the one before.
type senderClock struct {
	heardAt, windowAt time.Time
	least, previous   time.Duration
}

func newLateness(now time.Time) *lateness {
	return &lateness{start: now, senders: map[uint64]*senderClock{}}
}

// measure returns the lateness of a message with a clock reading as in wire.Gossip, or false if it
// is not known.
func (l *lateness) measure(now time.Time, process, clock uint64) (time.Duration, bool) {
	if clock == 0 {
		return 0, false
	}
	offset := now.Sub(l.start) - time.Duration(clock)*time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.senders[process]
	if !ok {
		if len(l.senders) >= maxSenders {
			clear(l.senders)
		}
		s = &senderClock{heardAt: now, windowAt: now, least: offset, previous: offset}
		l.senders[process] = s
	}
	if now.Sub(s.windowAt) > offsetWindow {
		s.previous, s.least, s.windowAt = s.least, offset, now
	}
	s.least = min(s.least, offset)
	return offset - min(s.least, s.previous), now.Sub(s.heardAt) >= learnTime
}
