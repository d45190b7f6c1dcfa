package retry

import (
	"sync"
	"time"
)

const (
	// crashWindow is how long before a refused connection an exchange may have
	// been aborted to be attributed to the crash.
	crashWindow = time.Second
	// beginPeriod is how long after its first event a response counts as just begun.
	beginPeriod = time.Second
	// maxAborts bounds the aborted exchanges stored for one upstream.
	maxAborts = 256
	// abortsInterval is the time between two passes that remove old aborted exchanges.
	abortsInterval = 30 * time.Second
)

// AbortTracker records the requests whose exchange with an upstream ended before
// the response was complete. An aborted exchange alone does not indicate a crash:
// upstreams lose responses and reset connections as well.
type AbortTracker struct {
	mu         sync.Mutex
	byUpstream map[string][]Abort
	prunedAt   time.Time
}

// Abort is an exchange that ended before the response was complete.
type Abort struct {
	// Began is when the request was sent, At when the exchange ended.
	Began, At time.Time
	// StartedAt is the start of the upstream's process, Unix milliseconds.
	StartedAt   int64
	Fingerprint uint64
	// Request is a hash of the request's id.
	Request uint64
	// Responded is when the response began; zero if it had not.
	Responded time.Time
	// Parts are the shared parts of the prompt.
	Parts []string
}

// isLate reports whether the response had begun long before the exchange ended.
func (x Abort) isLate() bool { return !x.Responded.IsZero() && x.At.Sub(x.Responded) > beginPeriod }

// NewAbortTracker returns an empty tracker.
func NewAbortTracker() *AbortTracker {
	return &AbortTracker{byUpstream: map[string][]Abort{}}
}

// Record stores an aborted exchange with an upstream, which ended now.
func (t *AbortTracker) Record(now time.Time, upstream string, x Abort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) > abortsInterval {
		t.prunedAt = now
		for u, list := range t.byUpstream {
			if now.Sub(list[len(list)-1].At) > crashWindow {
				delete(t.byUpstream, u)
			}
		}
	}
	list := t.byUpstream[upstream]
	for len(list) > 0 && (now.Sub(list[0].At) > crashWindow || len(list) >= maxAborts) {
		list = list[1:]
	}
	x.At = now
	t.byUpstream[upstream] = append(list, x)
}

// TakeAborted removes the aborted exchanges of an upstream that refuses
// connections, and returns those within the last crashWindow: these requests were
// running when it crashed.
func (t *AbortTracker) TakeAborted(now time.Time, upstream string) []Abort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []Abort
	for _, x := range t.byUpstream[upstream] {
		if now.Sub(x.At) <= crashWindow {
			recent = append(recent, x)
		}
	}
	delete(t.byUpstream, upstream)
	return recent
}
