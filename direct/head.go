package direct

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// States of a caller's connection.
const (
	connBusy int32 = iota
	// connWaiting: between two requests, nothing of the next one was read.
	connWaiting
	// connEnded: closed while it waited; what arrives now is not read.
	connEnded
)

// callerConn is a caller's connection that knows whether a request has begun to
// arrive, and since when.
type callerConn struct {
	net.Conn
	state atomic.Int32
	// began is when the first byte of a head came, in nanoseconds; 0 while none did
	// or when the head is read.
	began atomic.Int64
}

// Read notes the first byte of a head. What comes after the connection was ended
// counts as not read, so that its caller may send it again.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.state.CompareAndSwap(connWaiting, connBusy) {
		c.began.Store(time.Now().UnixNano())
	} else if c.state.Load() == connEnded {
		return 0, io.EOF
	}
	return n, err
}

// note follows the server's state of the connection. It reports a request as
// active when its head is read.
func (c *callerConn) note(state http.ConnState) {
	c.began.Store(0)
	if state == http.StateNew || state == http.StateIdle {
		c.state.Store(connWaiting)
	}
}

// end closes the connection unless a request has begun to arrive.
func (c *callerConn) end() {
	if c.state.CompareAndSwap(connWaiting, connEnded) {
		_ = c.Close() // It carries nothing; an error changes nothing.
	}
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
