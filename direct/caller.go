package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// States of a caller's connection.
const (
	connBusy int32 = iota
	// connIdle: between two requests, no byte of the next one was read.
	connIdle
	// connClosed: closed while idle; bytes that arrive later are not read.
	connClosed
)

// callerConn is a caller's connection. It records whether a request has begun to
// arrive, and when.
type callerConn struct {
	net.Conn
	state    atomic.Int32
	openedAt time.Time
	// headStarted is when the first byte of a head was read, nanoseconds since openedAt;
	// 0 before that and once the head is complete.
	headStarted atomic.Int64
}

func newCallerConn(now time.Time, c net.Conn) *callerConn {
	return &callerConn{Conn: c, openedAt: now}
}

// Read records the first byte of a head. Bytes that arrive after closeIfIdle count
// as not read, so that the caller may send the request again.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.state.CompareAndSwap(connIdle, connBusy) {
		c.headStarted.Store(max(1, int64(time.Since(c.openedAt))))
	} else if c.state.Load() == connClosed {
		return 0, io.EOF
	}
	return n, err
}

// setState follows the connection states of the HTTP server, which reports a request
// as active when its head is read.
func (c *callerConn) setState(state http.ConnState) {
	c.headStarted.Store(0)
	if state == http.StateNew || state == http.StateIdle {
		c.state.Store(connIdle)
	}
}

// closeIfIdle closes the connection unless a request has begun to arrive, and reports whether it did.
func (c *callerConn) closeIfIdle() bool {
	if !c.state.CompareAndSwap(connIdle, connClosed) {
		return false
	}
	_ = c.Close() // The connection carries no request.
	return true
}

// headTimedOut reports whether a head has taken longer than timeout; 0 means none.
func (c *callerConn) headTimedOut(now time.Time, timeout time.Duration) bool {
	started := c.headStarted.Load()
	return started != 0 && timeout > 0 && now.Sub(c.openedAt)-time.Duration(started) > timeout
}

// resetOnClose makes the connection end with a reset when it is closed.
func (c *callerConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // A connection that has failed is reset already.
	}
}

type callerConnKey struct{}

// withCallerConn returns the context of the requests on a caller's connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// breakOff ends a response of which the caller has a part, so that the caller sees that it is not
// complete. It does not return: it ends the handler, upon which the HTTP server closes the connection. To
// a caller of HTTP/1.0 a close in order would be the end of the response: that one gets a reset.
func breakOff(q *request) {
	if q.endsWithConn && q.caller != nil {
		q.caller.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(time.Now(), c), nil
}
