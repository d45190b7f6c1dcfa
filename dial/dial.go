// Package dial opens the connections to upstreams and agents, and keeps the HTTP
// library from sending anything twice.
package dial

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Timeout bounds the opening of a connection.
const Timeout = time.Second

// Conn fails a read after a time without data. A peer that is frozen still
// accepts connections, so only progress tells; a long answer is not cut.
type Conn struct {
	net.Conn
	idleTimeout time.Duration
}

// Open connects to address. Reads fail after idle without data.
func Open(address string, idleTimeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, Timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, idleTimeout: idleTimeout}, nil
}

// Read sets the deadline anew before each read.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// WriteTimeout is how long a write to a caller or an entry may make no progress.
const WriteTimeout = 30 * time.Second

// Listener accepts connections whose writes fail after a time without progress,
// so that a peer which stopped reading cannot hold a run's slot.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration
}

// Listen listens on address with the limit on writes.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, WriteTimeout: WriteTimeout}, nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &acceptedConn{TCPConn: tcp, writeTimeout: l.WriteTimeout}, nil
}

// acceptedConn is an accepted connection with a limit on each write.
type acceptedConn struct {
	*net.TCPConn
	writeTimeout time.Duration
}

// Write sets the deadline anew before each write.
func (c *acceptedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// IsDialError reports whether a request failed before a connection was open, so
// that it was certainly not sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout)
}

// NeverResend is the retry rule of every HTTP client of the product. The
// library's own rule would send a request again whose connection closed before
// the first byte of an answer.
func NeverResend(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

const (
	// probeIdle, probeGap and probeCount bound how long a connection to a host that
	// went silent stays open: 2 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// OpenKeepAlive connects to address with short keep-alive probes, for connections that
// wait long for an answer.
func OpenKeepAlive(address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return d.Dial("tcp", address)
}
