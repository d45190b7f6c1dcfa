package conn

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cactustide/fakes"
)

// windowBytes is a small receive buffer: a peer that does not read closes its window soon.
const windowBytes = 8 << 10

// newWindowServer serves one connection with a small receive buffer.
func newWindowServer(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := fakes.ListenWindow("127.0.0.1:0", windowBytes)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-done })
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// dropAll makes the kernel drop all that arrives for a connection, as if its host were dead.
func dropAll(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: 1, Filter: &filter[0]}
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil || optErr != nil {
		t.Errorf("got errors %v and %v, want the filter attached", err, optErr)
	}
}

// TestClosedWindow guards against a connection that is taken for dead because its peer reads a
// long body late, though it acknowledges each probe and responds meanwhile (TWICE, LOST, review/13
// and 14).
func TestClosedWindow(t *testing.T) {
	for _, bytes := range []int{16 << 10, 100_000, 1 << 20, 4 << 20} {
		for _, late := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d bytes, read after %v", bytes, late), func(t *testing.T) {
				t.Parallel()
				address := newWindowServer(t, func(c *net.TCPConn) {
					for begin := time.Now(); time.Since(begin) < late; time.Sleep(100 * time.Millisecond) {
						if _, err := io.WriteString(c, "."); err != nil {
							return
						}
					}
					if n, err := io.CopyN(io.Discard, c, int64(bytes)); err != nil {
						t.Errorf("got %d bytes of the body, error %v, want all", n, err)
					}
					_, _ = io.WriteString(c, "!") // The reader reports it.
				})
				p := NewPool()
				defer p.Close()
				c, err := p.Open(address, 1)
				if err != nil {
					t.Fatal(err)
				}
				defer p.Discard(c)
				c.Guard()
				written := make(chan error, 1)
				go func() {
					_, err := c.Write(make([]byte, bytes))
					written <- err
				}()
				begin := time.Now()
				got, err := c.Reader.ReadBytes('!')
				if err != nil {
					t.Errorf("got %d bytes, error %v after %v, want the whole response", len(got), err, time.Since(begin))
				}
				if err := <-written; err != nil {
					t.Errorf("got error %v of the write, want none", err)
				}
			})
		}
	}
}

// TestDeadPeer guards the time within which a dead host is found, with an open window and a closed
// one: bytes are not acknowledged, or probes are not answered.
func TestDeadPeer(t *testing.T) {
	tests := map[string]struct {
		bytes int
		alive time.Duration
		limit time.Duration
	}{
		"at once, small request":  {bytes: 1000, limit: 3 * time.Second},
		"at once, large request":  {bytes: 1 << 20, limit: 3 * time.Second},
		"window closed for 0.3 s": {bytes: 1 << 20, alive: 300 * time.Millisecond, limit: 4 * time.Second},
		"window closed for 2 s":   {bytes: 1 << 20, alive: 2 * time.Second, limit: 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			died := make(chan time.Time, 1)
			end := make(chan struct{})
			address := newWindowServer(t, func(c *net.TCPConn) {
				time.Sleep(test.alive)
				dropAll(t, c)
				died <- time.Now()
				<-end
			})
			defer close(end)
			p := NewPool()
			defer p.Close()
			c, err := p.Open(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(c)
			if test.alive == 0 {
				<-died
				died <- time.Now()
			}
			c.Guard()
			go func() { _, _ = c.Write(make([]byte, test.bytes)) }() // The reader reports the end.
			if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			_, err = c.Reader.ReadByte()
			elapsed := time.Since(<-died)
			if !IsUnreachable(err) || elapsed > test.limit {
				t.Errorf("got error %v after %v, want that the host does not respond within %v", err, elapsed, test.limit)
			}
		})
	}
}

// TestDiscardBehindWindow guards against a peer that does not hear for long that its request was
// given up, since the end waits behind its closed window (GONE).
func TestDiscardBehindWindow(t *testing.T) {
	for name, bytes := range map[string]int{"all in the kernel": 100_000, "write in progress": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			heard := make(chan time.Time, 1)
			address := newWindowServer(t, func(c *net.TCPConn) {
				raw, err := c.SyscallConn()
				if err != nil {
					t.Error(err)
				}
				for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
					list := []unix.PollFd{{}} // Errors and the end are told without being asked for; it neither reads nor writes.
					_ = raw.Control(func(fd uintptr) {
						list[0].Fd = int32(fd)
						_, err = unix.Poll(list, 0)
					})
					if err == nil && list[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0 {
						break
					}
				}
				heard <- time.Now()
			})
			p := NewPool()
			defer p.Close()
			c, err := p.Open(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			c.Guard()
			go func() { _, _ = c.Write(make([]byte, bytes)) }() // It ends with the connection.
			time.Sleep(300 * time.Millisecond)
			discarded := time.Now()
			p.Discard(c)
			if got := (<-heard).Sub(discarded); got > 500*time.Millisecond {
				t.Errorf("the peer heard after %v that the request was given up, want within 0.5 s", got)
			}
		})
	}
}
