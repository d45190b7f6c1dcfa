package retry

import (
	"sync"
	"time"
)

const (
	// crashWindow is how long before a refused connection an exchange may have
	// broken off to be blamed for the crash.
	crashWindow = time.Second
	// maxBreaks bounds what is remembered of one upstream.
	maxBreaks = 256
	// seenLife is how long a break makes the next one of the same request suspicious.
	seenLife = 30 * time.Second
)

// AbortTracker remembers the requests whose exchange broke off lately. A break alone
// is no crash: upstreams lose answers and reset connections as well.
type AbortTracker struct {
	mu     sync.Mutex
	recent map[string][]broken
	// seen is when the exchange of a request last broke off anywhere.
	seen   map[uint64]time.Time
	pruned time.Time
}

type broken struct {
	at    time.Time
	print uint64
}

// NewAbortTracker returns an empty memory.
func NewAbortTracker() *AbortTracker {
	return &AbortTracker{recent: map[string][]broken{}, seen: map[uint64]time.Time{}}
}

// Record records that the exchange of a request with an upstream broke off. It
// reports whether the same request broke off lately, too: then it is worth to
// look whether the upstream crashed.
func (b *AbortTracker) Record(now time.Time, upstream string, print uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.pruned) > seenLife {
		b.pruned = now
		for p, at := range b.seen {
			if now.Sub(at) > seenLife {
				delete(b.seen, p)
			}
		}
		for u, list := range b.recent {
			if now.Sub(list[len(list)-1].at) > seenLife {
				delete(b.recent, u)
			}
		}
	}
	at, ok := b.seen[print]
	b.seen[print] = now
	list := b.recent[upstream]
	for len(list) > 0 && (now.Sub(list[0].at) > crashWindow || len(list) >= maxBreaks) {
		list = list[1:]
	}
	b.recent[upstream] = append(list, broken{at: now, print: print})
	return ok && now.Sub(at) <= seenLife
}

// TakeAborted returns the requests that were running when an upstream crashed,
// which shows now that its port refuses connections.
func (b *AbortTracker) TakeAborted(now time.Time, upstream string) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var prints []uint64
	for _, x := range b.recent[upstream] {
		if now.Sub(x.at) <= crashWindow {
			prints = append(prints, x.print)
		}
	}
	delete(b.recent, upstream)
	return prints
}
