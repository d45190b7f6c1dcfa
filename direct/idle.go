package direct

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idleMargin is how much longer than the configured limit a caller's idle
// connection stays open, as a factor. Callers reuse connections up to the limit.
const idleMargin = 1.5

// idleSet knows the callers' connections that carry no request, or only a part of
// a head. The HTTP server's own limits cannot change while it runs.
type idleSet struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
	heads map[*callerConn]struct{}
	// longest is the largest limit seen so far, because callers may still go by it.
	longest time.Duration
	// open counts the connections; above limit new ones are closed unread, which
	// lets callers come back elsewhere.
	open  int
	limit int
}

func (s *idleSet) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if caller, ok := c.(*callerConn); ok {
		caller.note(state)
		if state == http.StateNew || state == http.StateIdle {
			s.heads[caller] = struct{}{}
		} else {
			delete(s.heads, caller)
		}
	}
	switch state {
	case http.StateNew:
		if s.open++; s.open > s.limit {
			_ = c.Close() // Nothing was read from it.
		}
		return
	case http.StateIdle:
		s.since[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
	delete(s.since, c)
}

// sweep closes the connections that were idle for longer than the limit, and
// those on which a head has taken longer than its limit.
func (s *idleSet) sweep(now time.Time, limit, head time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.heads {
		if c.isSlow(now, head) {
			_ = c.Close() // No request was read from it.
		}
	}
	if limit > 0 {
		s.longest = max(s.longest, limit)
		limit = time.Duration(idleMargin * float64(s.longest))
	}
	for c, since := range s.since {
		if now.Sub(since) < limit {
			continue
		}
		if caller, ok := c.(*callerConn); ok {
			caller.end()
		} else {
			_ = c.Close() // It carries nothing; an error changes nothing.
		}
	}
}

// bodies bounds the memory of request bodies in progress.
type bodies struct {
	limit int64
	used  atomic.Int64
}

// take reserves memory and reports whether there was room.
func (b *bodies) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodies) give(n int64) { b.used.Add(-n) }
