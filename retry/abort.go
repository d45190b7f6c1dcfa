package retry

import (
	"sync"
	"time"
)

const (
	// crashWindow is how long before a refused connection an exchange may have
	// been aborted to be attributed to the crash.
	crashWindow = time.Second
	// maxAborts bounds the aborted exchanges stored for one upstream.
	maxAborts = 256
	// repeatWindow is how long after an aborted exchange another one of the same
	// request counts as repeated.
	repeatWindow = 30 * time.Second
)

// AbortTracker records the requests whose exchange with an upstream ended before
// the response was complete. A single aborted exchange does not indicate a crash:
// upstreams lose responses and reset connections as well.
type AbortTracker struct {
	mu         sync.Mutex
	byUpstream map[string][]abort
	// lastAbort is when the exchange of a request was last aborted, at any upstream.
	lastAbort map[uint64]time.Time
	prunedAt  time.Time
}

type abort struct {
	at          time.Time
	fingerprint uint64
}

// NewAbortTracker returns an empty tracker.
func NewAbortTracker() *AbortTracker {
	return &AbortTracker{byUpstream: map[string][]abort{}, lastAbort: map[uint64]time.Time{}}
}

// Record stores that the exchange of a request with an upstream was aborted. It
// reports whether an exchange of the same request was aborted within the last
// repeatWindow; the caller then checks whether the upstream crashed.
func (t *AbortTracker) Record(now time.Time, upstream string, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) > repeatWindow {
		t.prunedAt = now
		for p, at := range t.lastAbort {
			if now.Sub(at) > repeatWindow {
				delete(t.lastAbort, p)
			}
		}
		for u, list := range t.byUpstream {
			if now.Sub(list[len(list)-1].at) > repeatWindow {
				delete(t.byUpstream, u)
			}
		}
	}
	at, ok := t.lastAbort[fingerprint]
	t.lastAbort[fingerprint] = now
	list := t.byUpstream[upstream]
	for len(list) > 0 && (now.Sub(list[0].at) > crashWindow || len(list) >= maxAborts) {
		list = list[1:]
	}
	t.byUpstream[upstream] = append(list, abort{at: now, fingerprint: fingerprint})
	return ok && now.Sub(at) <= repeatWindow
}

// TakeAborted removes the aborted exchanges of an upstream that refuses
// connections, and returns the fingerprints of the requests whose exchange was
// aborted within the last crashWindow: they were running when it crashed.
func (t *AbortTracker) TakeAborted(now time.Time, upstream string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fingerprints []uint64
	for _, x := range t.byUpstream[upstream] {
		if now.Sub(x.at) <= crashWindow {
			fingerprints = append(fingerprints, x.fingerprint)
		}
	}
	delete(t.byUpstream, upstream)
	return fingerprints
}
