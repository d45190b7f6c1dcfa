package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cactustide/fakes"
)

// relay is a TCP relay that injects network faults.
type relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // Delay before each write, nanoseconds.
	// stalled holds back all data; upStalled and downStalled hold back one direction.
	stalled, upStalled, downStalled atomic.Bool
	// readsLate holds back what follows the first lateReadBytes of a connection to the target.
	readsLate atomic.Bool
	mu        sync.Mutex
	conns     map[net.Conn]bool
	wg        sync.WaitGroup
}

// lateReadBytes are read at once by an upstream that reads late, so that small requests pass.
const lateReadBytes = 32 << 10

// acceptPause is the time between two tries to accept a connection.
const acceptPause = 20 * time.Millisecond

// newRelay starts a relay. receiveBytes is the receive buffer of its connections; 0 for the system's.
func newRelay(listen, target string, receiveBytes int) (*relay, error) {
	l, err := fakes.ListenWindow(listen, receiveBytes)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	r.wg.Go(r.accept)
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause) // Such as too many open descriptors; some are closed soon.
			continue
		}
		targetConn, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			reset(c)
			continue
		}
		r.track(c, targetConn)
		var directions sync.WaitGroup
		directions.Go(func() { r.copy(c, targetConn, func(int) bool { return r.downStalled.Load() }) })
		directions.Go(func() {
			r.copy(targetConn, c, func(read int) bool { return r.upStalled.Load() || read > lateReadBytes && r.readsLate.Load() })
		})
		r.wg.Go(func() {
			directions.Wait()
			r.release(c, targetConn)
		})
	}
}

// release closes the two connections of a pair whose directions have both ended.
func (r *relay) release(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // It may have been reset.
		delete(r.conns, c)
	}
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// copy forwards data from one connection to the other. It forwards a reset as a
// reset and the end of the data as a half-close. isHeld reports whether data is held back after a
// number of bytes.
func (r *relay) copy(to, from net.Conn, isHeld func(read int) bool) {
	buffer := make([]byte, 16<<10)
	read := 0
	for {
		n, err := from.Read(buffer)
		read += n
		time.Sleep(time.Duration(r.delay.Load()))
		for r.stalled.Load() || isHeld(read) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // It may be closed already.
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// resetAll resets every open connection.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
		delete(r.conns, c)
	}
}

func (r *relay) clearFaults() {
	r.delay.Store(0)
	r.stalled.Store(false)
	r.upStalled.Store(false)
	r.downStalled.Store(false)
	r.readsLate.Store(false)
}

func (r *relay) close() {
	r.clearFaults()
	_ = r.listener.Close() // The relay is no longer used; a failed close changes nothing.
	r.resetAll()
	r.wg.Wait()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
