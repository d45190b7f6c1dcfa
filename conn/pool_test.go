package conn

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// listen accepts connections and passes them to the test.
func listen(t *testing.T) (address string, accepted chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

func TestReuse(t *testing.T) {
	cases := map[string]struct {
		idleTimeout, idleFor, maxIdle time.Duration
		// whileIdle is what the upstream does while the connection is idle.
		whileIdle func(net.Conn)
		want      bool
	}{
		"reusable":            {time.Minute, time.Second, time.Minute, nil, true},
		"idle for too long":   {time.Minute, 2 * time.Second, time.Second, nil, false},
		"idle timeout passed": {time.Second, 2 * time.Second, time.Minute, nil, false},
		"closed":              {time.Minute, time.Second, time.Minute, func(c net.Conn) { _ = c.Close() }, false},
		"unread bytes":        {time.Minute, time.Second, time.Minute, func(c net.Conn) { _, _ = io.WriteString(c, "x") }, false},
		"no keep-alive":       {0, time.Second, time.Minute, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			p := NewPool()
			defer p.Close()
			now := time.Unix(1000, 0)
			first, err := p.Get(now, address, c.maxIdle, 2)
			if err != nil {
				t.Fatal(err)
			}
			server := <-accepted
			defer func() { _ = server.Close() }()
			p.Put(now, first, c.idleTimeout)
			if c.whileIdle != nil {
				c.whileIdle(server)
				time.Sleep(50 * time.Millisecond)
			}
			second, err := p.Get(now.Add(c.idleFor), address, c.maxIdle, 2)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(second)
			if second.Reused != c.want {
				t.Errorf("got reused %v, want %v", second.Reused, c.want)
			}
		})
	}
}

func TestLimit(t *testing.T) {
	address, _ := listen(t)
	p := NewPool()
	now := time.Unix(1000, 0)
	a, err := p.Get(now, address, 0, 2)
	if err != nil {
		t.Fatal(err)
	}
	b, err := p.Get(now, address, 0, 2)
	if err != nil {
		t.Fatal(err)
	}
	var full *Error
	if _, err := p.Get(now, address, 0, 2); !errors.As(err, &full) || full.Kind != KindFull {
		t.Errorf("got error %v, want kind full", err)
	}
	p.Discard(a)
	c, err := p.Get(now, address, 0, 2)
	if err != nil {
		t.Errorf("got error %v after one was closed, want none", err)
	}
	p.Discard(b)
	p.Discard(c)
	p.Close()
}

func TestSweep(t *testing.T) {
	address, accepted := listen(t)
	p := NewPool()
	now := time.Unix(1000, 0)
	c, err := p.Get(now, address, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(now, c, time.Second)
	p.Sweep(now.Add(2 * time.Second))
	server := <-accepted
	if err := server.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v at the upstream, want EOF", err)
	}
}

func TestDialRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := NewPool()
	var failed *Error
	if _, err := p.Get(time.Unix(1000, 0), address, 0, 1); !errors.As(err, &failed) || failed.Kind != KindDial {
		t.Errorf("got error %v, want kind dial", err)
	}
	if !p.reserve(address, 1) {
		t.Error("got a connection counted after a failed dial, want none")
	}
}

// TestOpen checks that a connection which must be new takes the place of an idle one at
// the limit, and never of one in use.
func TestOpen(t *testing.T) {
	address, accepted := listen(t)
	p := NewPool()
	defer p.Close()
	now := time.Unix(1000, 0)
	first, err := p.Get(now, address, time.Minute, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = (<-accepted).Close() }()
	var typed *Error
	if _, err := p.Open(address, 1); !errors.As(err, &typed) || typed.Kind != KindFull {
		t.Errorf("got error %v with the only connection in use, want %s", err, KindFull)
	}
	p.Put(now, first, time.Minute)
	second, err := p.Open(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = (<-accepted).Close() }()
	defer p.Discard(second)
	if second == first || second.Reused {
		t.Error("got the idle connection, want a new one")
	}
	if _, err := first.Write([]byte("x")); err == nil {
		t.Error("got no error on the connection that was replaced, want it closed")
	}
}

// TestLimitRead checks what a head may be, by its bytes and its lines, and that lines after its end
// do not count.
func TestLimitRead(t *testing.T) {
	const limit, free = 4096, 1024
	tests := map[string]struct {
		sent     string
		reserved bool
		err      error
	}{
		"small":                 {"HTTP/1.1 200 OK\r\na: b\r\n\r\n", false, nil},
		"long line":             {strings.Repeat("x", 2000), true, nil},
		"longer line":           {strings.Repeat("x", limit+1), true, ErrReadLimit},
		"some short lines":      {strings.Repeat("a:\n", 6), false, nil},
		"more short lines":      {strings.Repeat("a:\n", 12), true, nil},
		"many short lines":      {strings.Repeat("a:\n", 40), true, ErrReadLimit},
		"lines after the end":   {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("\n", 400), false, nil},
		"empty line at the end": {"HTTP/1.1 200 OK\n\n" + strings.Repeat("a\n", 300), false, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			p := NewPool()
			defer p.Close()
			c, err := p.Open(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(c)
			reserved := false
			c.LimitRead(limit, free, func() bool {
				reserved = true
				return true
			})
			u := <-accepted
			if _, err := io.WriteString(u, test.sent); err != nil {
				t.Fatal(err)
			}
			_ = u.Close()
			_, err = io.Copy(io.Discard, c.Reader)
			if !errors.Is(err, test.err) || reserved != test.reserved {
				t.Errorf("got %v, memory reserved %v, want %v and %v", err, reserved, test.err, test.reserved)
			}
		})
	}
}

// TestReadAfterFailedWrite checks what a read returns at the end of a connection whose write has
// failed before: the system reports a reset once, and the write has got the report.
func TestReadAfterFailedWrite(t *testing.T) {
	tests := map[string]struct {
		// end ends the connection on the side of the upstream.
		end func(c *net.TCPConn)
		// want is the error of the read after the bytes that arrived; nil means an end in order.
		want error
	}{
		"reset":                    {func(c *net.TCPConn) { _ = c.SetLinger(0) }, syscall.ECONNRESET},
		"closed with unread bytes": {func(*net.TCPConn) {}, syscall.ECONNRESET},
		"ended in order, then reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		}, nil},
		"ended in order, then closed with unread bytes": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			p := NewPool()
			defer p.Close()
			c, err := p.Open(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(c)
			server := (<-accepted).(*net.TCPConn)
			if _, err := io.WriteString(c, "request"); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(server, "part")
			time.Sleep(20 * time.Millisecond)
			test.end(server)
			_ = server.Close()
			time.Sleep(20 * time.Millisecond)
			for end := time.Now().Add(2 * time.Second); err == nil && time.Now().Before(end); {
				_, err = io.WriteString(c, "rest of the request")
			}
			if err == nil {
				t.Fatal("got no error of a write, want one")
			}
			body, got := io.ReadAll(c.Reader)
			if string(body) != "part" || !errors.Is(got, test.want) {
				t.Errorf("got %q and error %v after a write failed with %v, want what arrived and error %v", body, got, err, test.want)
			}
		})
	}
}

// TestReadDuringWrite checks the end of a connection that is reset while a large request is
// being written: whichever side gets the error, a read never reports an end in order.
func TestReadDuringWrite(t *testing.T) {
	const attempts = 200
	address, accepted := listen(t)
	p := NewPool()
	defer p.Close()
	request := make([]byte, 1<<20)
	ended := 0
	for range attempts {
		c, err := p.Open(address, 1)
		if err != nil {
			t.Fatal(err)
		}
		server := (<-accepted).(*net.TCPConn)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write(request)
			written <- err
		}()
		_, _ = io.ReadFull(server, make([]byte, 100))
		_, _ = io.WriteString(server, "part")
		_ = server.SetLinger(0)
		_ = server.Close()
		if _, err := io.ReadAll(c.Reader); err == nil {
			ended++
		}
		p.Discard(c)
		<-written
	}
	if ended > 0 {
		t.Errorf("got an end in order %d times of %d, want an error", ended, attempts)
	}
}

// TestReadEndDuringWrite checks that the end of a response in order ends the read while the
// peer does not read the request, and that the write does not go on.
func TestReadEndDuringWrite(t *testing.T) {
	address, accepted := listen(t)
	p := NewPool()
	defer p.Close()
	c, err := p.Open(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Discard(c)
	server := (<-accepted).(*net.TCPConn)
	defer func() { _ = server.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	_, _ = io.WriteString(server, "whole")
	_ = server.CloseWrite()
	body, err := io.ReadAll(c.Reader)
	if string(body) != "whole" || err != nil {
		t.Errorf("got %q and error %v, want the whole response", body, err)
	}
	select {
	case err := <-written:
		if err == nil {
			t.Error("got the whole request written, want an error")
		}
	case <-time.After(ackTimeout / 2): // Later it would fail on its own.
		t.Error("the write still blocks, want it ended with the read")
	}
}
