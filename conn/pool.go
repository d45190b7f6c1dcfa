// Package conn keeps connections to upstreams. Each one carries one request at
// a time, and none is used again that was closed or holds bytes nobody asked for.
package conn

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Kind tells the errors of this package apart.
type Kind string

// Kinds of errors.
const (
	// KindFull: the upstream's connections are all in use.
	KindFull Kind = "full"
	// KindDial: no connection could be opened; nothing was sent.
	KindDial Kind = "dial"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "conn: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// dialTimeout bounds the opening of a connection. Nothing was sent by then, so
	// another upstream can take over; a lost first packet comes again after 1 s only.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the host counts
	// as away: seven retransmissions on a network of a data centre.
	ackTimeout = 1500 * time.Millisecond
	// Probes of a connection that waits for an answer find a lost host within 2 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// readBufferBytes holds an answer's head and a usual event, bytes.
	readBufferBytes = 4 << 10
)

// Conn is an open connection.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused says that the connection carried a request before.
	Reused    bool
	address   string
	idleSince time.Time
	expires   time.Time
}

// Pool holds the idle connections by address.
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

// Get returns a connection to address: the one used last if it was idle for at
// most fresh, else a new one. At most limit connections are open at a time.
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
	if !p.reserve(address, maxOpen) {
		return nil, &Error{Op: "open " + address, Kind: KindFull, Err: errs.New("%d connections are open", maxOpen)}
	}
	raw, err := dialUpstream(address)
	if err != nil {
		p.release(address)
		return nil, &Error{Op: "open " + address, Kind: KindDial, Err: err}
	}
	p.opened.Add(1)
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBufferBytes), address: address}, nil
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

// Put gives a connection back whose answer was read to its end. keep is how
// long the upstream keeps it open while idle.
func (p *Pool) Put(now time.Time, c *Conn, idleTimeout time.Duration) {
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

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close() // Nothing more is read or written; an error changes nothing.
	p.release(c.address)
}

// Sweep closes connections that were idle for longer than their upstream keeps
// them.
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

// Close closes the idle connections; those in use close when they come back.
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

// isReusable reports whether an idle connection is open and has nothing to read.
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
