package retry

import (
	"sync"
	"time"
)

const (
	// crashWindow is how long before a refused connection an exchange may have
	// broken off to be blamed for the crash.
	crashWindow = time.Second
	// maxAborts bounds what is remembered of one upstream.
	maxAborts = 256
	// repeatWindow is how long a break makes the next one of the same request suspicious.
	repeatWindow = 30 * time.Second
)

// AbortTracker remembers the requests whose exchange broke off lately. A break alone
// is no crash: upstreams lose answers and reset connections as well.
type AbortTracker struct {
	mu         sync.Mutex
	byUpstream map[string][]abort
	// lastAbort is when the exchange of a request last broke off anywhere.
	lastAbort map[uint64]time.Time
	prunedAt  time.Time
}

type abort struct {
	at          time.Time
	fingerprint uint64
}

// NewAbortTracker returns an empty memory.
func NewAbortTracker() *AbortTracker {
	return &AbortTracker{byUpstream: map[string][]abort{}, lastAbort: map[uint64]time.Time{}}
}

// Record records that the exchange of a request with an upstream broke off. It
// reports whether the same request broke off lately, too: then it is worth to
// look whether the upstream crashed.
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

// TakeAborted returns the requests that were running when an upstream crashed,
// which shows now that its port refuses connections.
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
