package direct

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimeoutFactor multiplies the longest configured idle timeout, for which callers
// reuse connections; a caller's idle connection stays open for the product.
const idleTimeoutFactor = 1.5

// connTracker tracks the callers' connections and closes those that are idle or send
// a head too slowly. The HTTP server's own limits cannot change while it runs.
type connTracker struct {
	mu           sync.Mutex
	idleSince    map[net.Conn]time.Time
	awaitingHead map[*callerConn]struct{}
	// maxIdleTimeout is the longest idle timeout configured so far; callers may still
	// apply it.
	maxIdleTimeout time.Duration
	// open counts the connections. Above limit a new one takes the place of the one that was
	// idle for longest; without an idle one it is closed unread, which makes callers try another
	// entry.
	open  int
	limit int
}

func (t *connTracker) trackState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if caller, ok := c.(*callerConn); ok {
		caller.setState(state)
		if state == http.StateNew || state == http.StateIdle {
			t.awaitingHead[caller] = struct{}{}
		} else {
			delete(t.awaitingHead, caller)
		}
	}
	switch state {
	case http.StateNew:
		if t.open++; t.open > t.limit && !t.closeLongestIdle() {
			_ = c.Close() // Nothing was read from it.
		}
		return
	case http.StateIdle:
		t.idleSince[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		t.open--
	}
	delete(t.idleSince, c)
}

// closeLongestIdle closes the connection that was idle for longest, and reports whether there was
// one. The caller holds the lock.
func (t *connTracker) closeLongestIdle() bool {
	for {
		var longest *callerConn
		var since time.Time
		for c, at := range t.idleSince {
			if caller, ok := c.(*callerConn); ok && (longest == nil || at.Before(since)) {
				longest, since = caller, at
			}
		}
		if longest == nil {
			return false
		}
		delete(t.idleSince, longest)
		if longest.closeIfIdle() {
			return true
		}
	}
}

// isFull reports whether new connections are closed.
func (t *connTracker) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open >= t.limit && len(t.idleSince) == 0
}

// sweep closes the connections that were idle for longer than idleTimeoutFactor times
// the longest idle timeout, and those on which a head has taken longer than
// headTimeout. An idleTimeout of 0 closes all idle connections; a headTimeout of 0
// means no bound.
func (t *connTracker) sweep(now time.Time, idleTimeout, headTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.awaitingHead {
		if c.headTimedOut(now, headTimeout) {
			_ = c.Close() // No request was read from it.
		}
	}
	if idleTimeout > 0 {
		t.maxIdleTimeout = max(t.maxIdleTimeout, idleTimeout)
		idleTimeout = time.Duration(idleTimeoutFactor * float64(t.maxIdleTimeout))
	}
	for c, since := range t.idleSince {
		if now.Sub(since) < idleTimeout {
			continue
		}
		if caller, ok := c.(*callerConn); ok {
			caller.closeIfIdle()
		} else {
			_ = c.Close() // The connection carries no request.
		}
	}
}
