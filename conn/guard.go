package conn

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// guardInterval is the time between two looks at a connection whose bytes are not all
	// acknowledged. It is well below ackTimeout, so that a closed window is seen in time.
	guardInterval = 200 * time.Millisecond
	// deadProbes is the number of probes of a closed window without an answer that show that the
	// host does not respond. The system sends them at growing intervals.
	deadProbes = 2
)

// guard watches a connection that carries a request. TCP_USER_TIMEOUT ends a connection whose
// bytes are not acknowledged, as of a host that is down, but also one whose window is closed, as of
// a peer that reads the request late and acknowledges each probe. While the window is closed the
// guard takes the timeout away and finds a host that does not respond by its probes.
type guard struct {
	conn *Conn
	end  chan struct{}
	done sync.WaitGroup
	// dead is set once the host did not answer the probes of a closed window.
	dead atomic.Bool
}

func (g *guard) foundDead() bool { return g != nil && g.dead.Load() }

// hasUnacknowledged reports whether bytes were written that the peer has not acknowledged.
func (g *guard) hasUnacknowledged() bool {
	if g == nil {
		return false
	}
	info, err := g.info()
	return err == nil && (info.Unacked > 0 || info.Notsent_bytes > 0)
}

// Guard watches the connection until it is put back or discarded, or until all bytes that were
// written before a look are acknowledged. It must be called before the request is written.
func (c *Conn) Guard() {
	c.endGuard()
	c.guard = &guard{conn: c, end: make(chan struct{})}
	c.guard.done.Go(c.guard.watch)
}

func (c *Conn) endGuard() {
	if c.guard == nil {
		return
	}
	close(c.guard.end)
	c.guard.done.Wait()
	c.guard = nil
}

func (g *guard) watch() {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	lifted := false
	defer func() {
		if lifted {
			g.setAckTimeout(ackTimeout)
		}
	}()
	for {
		select {
		case <-g.end:
			return
		case <-ticker.C:
		}
		info, err := g.info()
		if err != nil {
			return // The system does not tell; its timeout stays.
		}
		closed := info.Unacked == 0 && info.Notsent_bytes > 0
		sinceAck := time.Duration(info.Last_ack_recv) * time.Millisecond
		switch {
		case closed && info.Probes >= deadProbes && sinceAck > ackTimeout:
			g.dead.Store(true)
			_ = g.conn.SetDeadline(time.Unix(1, 0)) // Ends reads and writes, which report it.
			return
		case closed && !lifted:
			lifted = g.setAckTimeout(0)
		case !closed && lifted:
			lifted = !g.setAckTimeout(ackTimeout)
		case info.Unacked == 0 && info.Notsent_bytes == 0 && g.conn.isIdleWriter():
			return
		}
	}
}

// isIdleWriter reports whether no write is in progress.
func (c *Conn) isIdleWriter() bool {
	if !c.writing.TryLock() {
		return false
	}
	c.writing.Unlock()
	return true
}

// control calls a function with the descriptor of the connection.
func (g *guard) control(f func(fd int) error) error {
	source, ok := g.conn.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

func (g *guard) info() (info *unix.TCPInfo, err error) {
	err = g.control(func(fd int) error {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// setAckTimeout sets TCP_USER_TIMEOUT, 0 for the system's own bounds, and reports whether it did.
func (g *guard) setAckTimeout(timeout time.Duration) bool {
	return g.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}) == nil
}

// IsUnreachable reports whether an error shows that the host at the other end does not respond.
func IsUnreachable(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
