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
	// connIdle: between two requests, nothing of the next one was read.
	connIdle
	// connClosed: closed while it waited; what arrives now is not read.
	connClosed
)

// callerConn is a caller's connection that knows whether a request has begun to
// arrive, and since when.
type callerConn struct {
	net.Conn
	state atomic.Int32
	// headStarted is when the first byte of a head came, in nanoseconds; 0 while none did
	// or when the head is read.
	headStarted atomic.Int64
}

// Read notes the first byte of a head. What comes after the connection was ended
// counts as not read, so that its caller may send it again.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.state.CompareAndSwap(connIdle, connBusy) {
		c.headStarted.Store(time.Now().UnixNano())
	} else if c.state.Load() == connClosed {
		return 0, io.EOF
	}
	return n, err
}

// setState follows the server's state of the connection. It reports a request as
// active when its head is read.
func (c *callerConn) setState(state http.ConnState) {
	c.headStarted.Store(0)
	if state == http.StateNew || state == http.StateIdle {
		c.state.Store(connIdle)
	}
}

// closeIfIdle closes the connection unless a request has begun to arrive.
func (c *callerConn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		_ = c.Close() // It carries nothing; an error changes nothing.
	}
}

// headTimedOut reports whether a head has taken longer than the limit.
func (c *callerConn) headTimedOut(now time.Time, limit time.Duration) bool {
	began := c.headStarted.Load()
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
