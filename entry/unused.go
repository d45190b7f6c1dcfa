package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// unusedInterval is the time between two passes that close unused connections during a stop.
const unusedInterval = 100 * time.Millisecond

// unusedConns holds the callers' connections that have carried no byte yet. The HTTP library
// waits 5 s for their first request, also when it shuts down.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track follows the connection states of the HTTP library.
func (u *unusedConns) track(c net.Conn, state fasthttp.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != fasthttp.StateNew {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = map[net.Conn]struct{}{}
	}
	u.conns[c] = struct{}{}
}

func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close() // No request was read from it.
	}
}

// closeUntil closes unused connections until done is closed.
func (u *unusedConns) closeUntil(done <-chan struct{}) {
	for {
		u.closeAll()
		select {
		case <-done:
			return
		case <-time.After(unusedInterval):
		}
	}
}
