package direct

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idleLimitFactor times the longest configured limit is how long a caller's idle
// connection stays open. Callers reuse connections up to the limit.
const idleLimitFactor = 1.5

// connTracker tracks the callers' connections and closes those that are idle or send
// a head too slowly. The HTTP server's own limits cannot change while it runs.
type connTracker struct {
	mu           sync.Mutex
	idleSince    map[net.Conn]time.Time
	awaitingHead map[*callerConn]struct{}
	// longestLimit is the largest limit so far; callers may still apply it.
	longestLimit time.Duration
	// open counts the connections; above limit, new ones are closed unread, which makes
	// callers try another entry.
	open  int
	limit int
}

func (s *connTracker) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if caller, ok := c.(*callerConn); ok {
		caller.setState(state)
		if state == http.StateNew || state == http.StateIdle {
			s.awaitingHead[caller] = struct{}{}
		} else {
			delete(s.awaitingHead, caller)
		}
	}
	switch state {
	case http.StateNew:
		if s.open++; s.open > s.limit {
			_ = c.Close() // Nothing was read from it.
		}
		return
	case http.StateIdle:
		s.idleSince[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
	delete(s.idleSince, c)
}

// sweep closes the connections that were idle for longer than idleLimitFactor times
// the longest limit, and those on which a head has taken longer than head. A limit of
// 0 closes all idle connections; a head of 0 means no bound.
func (s *connTracker) sweep(now time.Time, limit, head time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.awaitingHead {
		if c.headTimedOut(now, head) {
			_ = c.Close() // No request was read from it.
		}
	}
	if limit > 0 {
		s.longestLimit = max(s.longestLimit, limit)
		limit = time.Duration(idleLimitFactor * float64(s.longestLimit))
	}
	for c, since := range s.idleSince {
		if now.Sub(since) < limit {
			continue
		}
		if caller, ok := c.(*callerConn); ok {
			caller.closeIfIdle()
		} else {
			_ = c.Close() // The connection carries no request.
		}
	}
}

// memoryLimiter bounds the memory of request bodies in progress, bytes.
type memoryLimiter struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether they were available.
func (b *memoryLimiter) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *memoryLimiter) release(n int64) { b.used.Add(-n) }
