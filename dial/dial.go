// Package dial opens and accepts connections with timeouts on progress, checks the heads
// of responses, and disables the retries of the HTTP library.
package dial

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/head"
)

// Timeout bounds the opening of a connection.
const Timeout = time.Second

// Conn is a connection of an HTTP client. It checks the head of each response before the HTTP
// library reads it, since that lets defects pass. Its reads time out when no data arrives, if an idle
// timeout is set: a hung peer still accepts connections, so that only missing data reveals it; the
// total duration of a response is not limited.
type Conn struct {
	ProgressConn
	idleTimeout time.Duration
	response    head.Scanner
}

// ProgressConn is a connection whose read deadline moves while data arrives.
type ProgressConn struct {
	net.Conn
	// readDeadline bounds all reads; zero means no bound.
	readDeadline time.Time
	// progress extends readDeadline; arrived counts the bytes since it last did.
	progress Progress
	arrived  int
}

// Progress is the slowest rate at which a response may arrive beyond the read deadline: whenever
// Bytes of it have arrived, reads have Window from then on. The zero value extends nothing.
type Progress struct {
	Bytes  int
	Window time.Duration
}

// Open connects to address. A read without data for idleTimeout fails. Opening
// fails after Timeout.
func Open(address string, idleTimeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, Timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{ProgressConn: ProgressConn{Conn: conn}, idleTimeout: idleTimeout}, nil
}

// Write writes a part of a request. What is read next is its response.
func (c *Conn) Write(p []byte) (int, error) {
	c.response.Reset()
	c.arrived = 0
	return c.Conn.Write(p)
}

// SetReadDeadline sets a deadline for all reads, beside the idle timeout of each if there is one.
func (c *ProgressConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read reads until the idle timeout, if there is one, or the read deadline. It returns a
// *head.Error before the first byte that no head can have.
func (c *Conn) Read(p []byte) (int, error) {
	if c.idleTimeout > 0 {
		deadline := time.Now().Add(c.idleTimeout)
		if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
			deadline = c.readDeadline
		}
		if err := c.Conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.ProgressConn.Read(p)
	if checked, headErr := c.response.Scan(p[:n]); headErr != nil {
		return checked, headErr
	}
	return n, err
}

// Read reads until the read deadline.
func (c *ProgressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if extendErr := c.extend(n); extendErr != nil && err == nil {
		err = extendErr
	}
	return n, err
}

// extend moves the read deadline after bytes have arrived.
func (c *ProgressConn) extend(n int) error {
	if c.progress.Bytes == 0 || c.readDeadline.IsZero() {
		return nil
	}
	if c.arrived += n; c.arrived < c.progress.Bytes {
		return nil
	}
	c.arrived = 0
	if next := time.Now().Add(c.progress.Window); next.After(c.readDeadline) {
		return c.SetReadDeadline(next)
	}
	return nil
}

// WriteTimeout is how long a write to a caller or an entry may make no progress.
const WriteTimeout = 30 * time.Second

// Listener accepts connections whose writes fail after WriteTimeout without
// progress, so that a peer which stopped reading cannot hold a request slot.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration
}

// Listen listens on a TCP address with the package's WriteTimeout.
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

// acceptedConn is a connection with a timeout on each write.
type acceptedConn struct {
	*net.TCPConn
	writeTimeout time.Duration
}

// Write resets the write deadline and writes.
func (c *acceptedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// IsDialError reports whether a request failed before its connection was open,
// so that it was certainly not sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout)
}

// NeverResend is the RetryIfErr function of every HTTP client. The default of
// fasthttp resends a request whose connection was closed before the first byte
// of a response.
func NeverResend(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

const (
	// With these TCP keep-alive settings, a connection to a host that is down fails
	// after 2 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// OpenKeepAlive connects to address with frequent TCP keep-alive probes, for
// connections that wait long for a response. Opening fails after Timeout.
func OpenKeepAlive(address string) (net.Conn, error) { return OpenProgress(address, Progress{}) }

// OpenProgress connects like OpenKeepAlive. A response that arrives at the rate of progress may
// outlast the read deadline.
func OpenProgress(address string, progress Progress) (net.Conn, error) {
	conn, err := OpenPlain(context.Background(), address, progress)
	if err != nil {
		return nil, err
	}
	return &Conn{ProgressConn: *conn}, nil
}

// OpenPlain connects like OpenProgress, for a protocol other than HTTP. Opening ends with ctx.
func OpenPlain(ctx context.Context, address string, progress Progress) (*ProgressConn, error) {
	d := net.Dialer{
		Timeout:         Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &ProgressConn{Conn: conn, progress: progress}, nil
}
