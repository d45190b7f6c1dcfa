package direct

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerConn is a caller's connection that knows since when a request's head is
// being read from it.
type callerConn struct {
	net.Conn
	// waiting is set between requests; began is when the first byte of a head came
	// since then, in nanoseconds, or 0.
	waiting atomic.Bool
	began   atomic.Int64
}

// Read notes the first byte of a head.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.waiting.Load() {
		c.began.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// note follows the server's state of the connection. It reports a request as
// active when its head is read.
func (c *callerConn) note(state http.ConnState) {
	c.began.Store(0)
	c.waiting.Store(state == http.StateNew || state == http.StateIdle)
}

// isSlow reports whether a head has taken longer than the limit.
func (c *callerConn) isSlow(now time.Time, limit time.Duration) bool {
	began := c.began.Load()
	return began != 0 && limit > 0 && now.UnixNano()-began > int64(limit)
}

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}
