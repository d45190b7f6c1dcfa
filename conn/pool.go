// Package conn pools TCP connections to upstreams. A connection carries one
// request at a time, and is not reused once it was closed or has unread bytes.
package conn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindFull: the connection limit of the upstream is reached.
	KindFull Kind = "full"
	// KindDial: the connection could not be opened; nothing was sent.
	KindDial Kind = "dial"
	// KindBroken: the connection failed under a write, so that its end is none in order.
	KindBroken Kind = "broken"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return "conn: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// dialTimeout bounds the opening of a connection. Nothing was sent by then, so
	// that another upstream can be tried; TCP retransmits a lost SYN only after 1 s.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is the TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	// before the connection fails. On a data centre network that is seven
	// retransmissions. The system applies it to a closed window too; see Guard.
	ackTimeout = 1500 * time.Millisecond
	// TCP keep-alive probes find a host that is down within 2 s, also while a
	// connection waits for a response.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// readBufferBytes fits the head of a response and a typical event.
	readBufferBytes = 4 << 10
)

// Conn is a connection of a Pool.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused reports whether the connection has carried a request before.
	Reused bool
	// StartedAt is the start of the process at the other end, Unix milliseconds; 0 if it was not
	// asked. It holds as long as the connection: a process that is started later does not have it.
	StartedAt int64
	// writing is held during a write and guards writeErr, the error of the first one that failed.
	writing  sync.Mutex
	writeErr error
	// guard watches the connection while it carries a request; nil if none does.
	guard *guard
	// readLeft bounds what is still read of a head if readLimited, bytes and lineBytes for each
	// line. headEnded is set after the empty line at its end, lineEmpty if the line that is being
	// read has no byte yet.
	readLeft    int
	readLimited bool
	headEnded   bool
	lineEmpty   bool
	// freeLeft bounds what is read of it before reserve is called, if that is not nil.
	freeLeft  int
	reserve   func() bool
	address   string
	idleSince time.Time
	expires   time.Time
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn
	open   map[string]int
	opened atomic.Int64
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*Conn{}, open: map[string]int{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns a connection to address: the most recently used idle one if it was
// idle for at most maxIdle, otherwise a new one. It fails with KindFull if
// maxOpen connections to the address are open.
func (p *Pool) Get(now time.Time, address string, maxIdle time.Duration, maxOpen int) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) <= maxIdle && now.Before(c.expires) && c.isReusable() {
			c.Reused = true
			return c, nil
		}
		p.Discard(c)
	}
	return p.Open(address, maxOpen)
}

// Open returns a connection to address that has carried no request. If maxOpen connections
// to the address are open, an idle one is closed for it; it fails with KindFull if none is
// idle.
func (p *Pool) Open(address string, maxOpen int) (*Conn, error) {
	for !p.reserve(address, maxOpen) {
		c := p.popIdle(address)
		if c == nil {
			return nil, &Error{Op: "open " + address, Kind: KindFull, Err: errs.New("limit of %d open connections reached", maxOpen)}
		}
		p.Discard(c)
	}
	raw, err := dialUpstream(address)
	if err != nil {
		p.release(address)
		return nil, &Error{Op: "open " + address, Kind: KindDial, Err: err}
	}
	p.opened.Add(1)
	c := &Conn{Conn: raw, address: address}
	c.Reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// ErrReadLimit is returned by reads beyond the limit that LimitRead set.
var ErrReadLimit = errs.New("more bytes than allowed")

// ErrReadMemory is returned by reads for which there is no memory.
var ErrReadMemory = errs.New("no memory for more bytes")

// lineBytes is what a line of a head takes beyond its own bytes: a parser stores each field in a
// map, with a list of its values.
const lineBytes = 128

// LimitRead limits the head that is read next to n bytes, where each line counts for lineBytes
// more; then reads fail. It keeps a peer that sends without end from filling the memory of a
// parser without a limit of its own. Before more than free bytes of the n are passed on, reserve is
// asked for memory once; reads fail if there is none.
func (c *Conn) LimitRead(n, free int, reserve func() bool) {
	c.readLeft, c.readLimited = n, true
	c.freeLeft, c.reserve = free, reserve
	c.headEnded, c.lineEmpty = false, false
}

// UnlimitRead removes the limit.
func (c *Conn) UnlimitRead() { c.readLimited, c.reserve = false, nil }

// Write writes to the connection. It may be called while another goroutine reads.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection, within the limit. It returns io.EOF only if the peer ended the
// connection in order, and an error of kind KindBroken if it failed under a write.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.readLimited {
		return c.readChecked(p)
	}
	if c.readLeft <= 0 {
		return 0, ErrReadLimit
	}
	n, err := c.readChecked(p[:min(len(p), c.readLeft)])
	used := n + lineBytes*c.countLines(p[:n])
	c.readLeft -= used
	c.freeLeft -= used
	if c.freeLeft <= 0 && c.reserve != nil {
		if !c.reserve() {
			return 0, ErrReadMemory
		}
		c.reserve = nil
	}
	return n, err
}

// readChecked reads from the connection. The system reports the failure of a connection once: if a
// write gets the report, reads see the same end as after a peer that closed the connection in order.
func (c *Conn) readChecked(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.guard.foundDead() {
		return n, &Error{Op: "read", Kind: KindBroken, Err: syscall.ETIMEDOUT}
	}
	if err != io.EOF {
		return n, err
	}
	// A connection whose end was read is not used again, so that a write in progress can be ended. Its
	// error is known afterwards.
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return n, &Error{Op: "read", Kind: KindBroken, Err: err}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if failedUnderWrite(c.writeErr) {
		return n, &Error{Op: "read", Kind: KindBroken, Err: c.writeErr}
	}
	return n, io.EOF
}

// failedUnderWrite reports whether the first failed write shows that the connection failed. EPIPE
// does not: the peer had ended its side in order before it reset the connection, or a read has
// got the report.
func failedUnderWrite(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// countLines counts the lines that end in the next bytes of a head. What follows the empty line
// at its end is not counted.
func (c *Conn) countLines(p []byte) int {
	count := 0
	for _, b := range p {
		switch {
		case c.headEnded:
			return count
		case b == '\n':
			count++
			c.headEnded = c.lineEmpty
			c.lineEmpty = true
		case b != '\r':
			c.lineEmpty = false
		}
	}
	return count
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) reserve(address string, maxOpen int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= maxOpen {
		return false
	}
	p.open[address]++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Put returns a connection to the pool after the response was read completely.
// idleTimeout is the time for which the upstream keeps an idle connection open;
// 0 closes it.
func (p *Pool) Put(now time.Time, c *Conn, idleTimeout time.Duration) {
	c.endGuard()
	if c.Reader.Buffered() > 0 || idleTimeout <= 0 || c.SetDeadline(time.Time{}) != nil {
		p.Discard(c)
		return
	}
	c.idleSince, c.expires = now, now.Add(idleTimeout)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// Discard closes a connection. One that is guarded is reset if bytes are on their way: behind a
// closed window its peer would not hear of the end.
func (p *Pool) Discard(c *Conn) {
	if c.guard.hasUnacknowledged() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Else it closes in order.
		}
	}
	c.endGuard()
	_ = c.Close() // The connection is not used again.
	p.release(c.address)
}

// Sweep closes the idle connections whose idle timeout has passed.
func (p *Pool) Sweep(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Discard(c)
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		p.Discard(c)
	}
}

// Close closes the idle connections. Those in use are closed by Put.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	addresses := make([]string, 0, len(p.idle))
	for address := range p.idle {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.CloseIdle(address)
	}
}

func dialUpstream(address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	return d.Dial("tcp", address)
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func (c *Conn) isReusable() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
