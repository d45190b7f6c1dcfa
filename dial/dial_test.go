package dial

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestNeverResend counts the connections to a server that closes each one
// without a response. The default of fasthttp sends a PUT several times.
func TestNeverResend(t *testing.T) {
	tests := map[string]struct {
		retryIf fasthttp.RetryIfErrFunc
		resends bool
	}{
		"default":     {resends: true},
		"NeverResend": {retryIf: NeverResend},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					received.Add(1)
					_, _ = conn.Read(make([]byte, 1))
					_ = conn.Close()
				}
			}()
			client := &fasthttp.Client{RetryIfErr: test.retryIf}
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + l.Addr().String() + "/")
			req.Header.SetMethod(fasthttp.MethodPut)
			if err := client.DoTimeout(req, resp, 2*time.Second); err == nil {
				t.Fatal("got a response, want an error")
			}
			if got := received.Load() > 1; got != test.resends {
				t.Errorf("got %d sends, want more than one: %v", received.Load(), test.resends)
			}
		})
	}
}

// TestReadFailsWithoutProgress checks that the timeout applies to each read, not
// to the complete response.
func TestReadFailsWithoutProgress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			for range 4 {
				_, _ = conn.Write([]byte("x"))
				time.Sleep(50 * time.Millisecond)
			}
		}
	}()
	conn, err := Open(l.Addr().String(), 150*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := 0
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			break
		}
		got++
	}
	if got != 4 {
		t.Errorf("got %d bytes before the failure, want all 4", got)
	}
}

// TestWriteFailsWithoutReader checks that writes fail when the peer does not
// read.
func TestWriteFailsWithoutReader(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.WriteTimeout = 100 * time.Millisecond
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	begin := time.Now()
	for err == nil && time.Since(begin) < 10*time.Second {
		_, err = conn.Write(make([]byte, 1<<20))
	}
	if err == nil {
		t.Error("got writes without a reader for ten seconds, want an error")
	}
}

// TestIsDialError checks that only failed dials count.
func TestIsDialError(t *testing.T) {
	_, err := Open("127.0.0.1:1", time.Second)
	if !IsDialError(err) {
		t.Errorf("got no dial error for %v, want one", err)
	}
	if IsDialError(net.ErrClosed) {
		t.Error("got a dial error for a closed connection, want none")
	}
}

// TestReadDeadline checks that a deadline which ends before the idle timeout ends a read.
func TestReadDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, idleTimeout := range map[string]time.Duration{"idle timeout": time.Minute, "no idle timeout": 0} {
		t.Run(name, func(t *testing.T) {
			conn, err := Open(l.Addr().String(), idleTimeout)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			result := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				result <- err
			}()
			select {
			case err := <-result:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got error %v, want the deadline's", err)
				}
			case <-time.After(2 * time.Second):
				t.Error("got no end of the read after 2 s, want one after 50 ms")
			}
		})
	}
}
