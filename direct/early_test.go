package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cactustide/fakes"
)

// earlyUpstream responds as soon as it has the head of a request, while the upload is still
// being written to it, and then ends the connection.
type earlyUpstream struct {
	listener net.Listener
	response string
	end      func(c *net.TCPConn)
	// receiveBytes is the size of the receive buffer; 0 leaves the system's.
	receiveBytes int
	// received counts the requests.
	received atomic.Int64
}

// newEarlyUpstream replaces the stack's upstreams.
func (s *testStack) newEarlyUpstream(response string, end func(c *net.TCPConn)) *earlyUpstream {
	s.t.Helper()
	return s.startEarlyUpstream(&earlyUpstream{response: response, end: end})
}

func (s *testStack) startEarlyUpstream(u *earlyUpstream) *earlyUpstream {
	s.t.Helper()
	listener, err := fakes.ListenWindow("127.0.0.1:0", u.receiveBytes) // A larger one takes the whole upload.
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	u.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.respond(c.(*net.TCPConn))
		}
	}()
	s.replaceUpstreams("early", listener.Addr().String())
	return u
}

func (u *earlyUpstream) respond(c *net.TCPConn) {
	// A small buffer leaves most of the upload unread.
	q, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		_ = c.Close()
		return
	}
	u.received.Add(1)
	_, _ = io.WriteString(c, strings.ReplaceAll(u.response, "ID", requestID(q))) // A failed write shows in what the caller gets.
	u.end(c)
}

// resetConn closes a connection with a reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func resetAfter(d time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(d)
		resetConn(c)
	}
}

// finishUpload ends the response in order and reads the rest of the upload.
func finishUpload(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// dropUpload ends the response in order and closes the connection a little later without
// reading the rest of the upload, which resets it. The system discards what the other side has not
// acknowledged then, so that it waits for that, for 5 s at most.
func dropUpload(c *net.TCPConn) {
	_ = c.CloseWrite()
	for end := time.Now().Add(5 * time.Second); unacknowledged(c) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	_ = c.Close()
}

// unacknowledged returns the number of bytes that the other side has not acknowledged.
func unacknowledged(c *net.TCPConn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // Closed: none.
	if err != nil {
		return 0
	}
	return n
}

const rawHead10 = "HTTP/1.0 200 OK\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n"

// rawFailure returns the head of a failure to the request.
func rawFailure(status string) string {
	return "HTTP/1.1 " + status + "\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n"
}

// earlyResponses are responses whose end is that of their connection: a caller that gets one
// whole has its status and body.
var earlyResponses = map[string]struct {
	path, response string
	status         int
	body           string
}{
	"plain":          {"/book/a", rawHead + "\r\nhello", 200, "hello"},
	"plain, empty":   {"/book/a", rawHead + "\r\n", 200, ""},
	"plain, large":   {"/book/a", rawHead + "\r\n" + strings.Repeat("x", 300<<10), 200, strings.Repeat("x", 300<<10)},
	"HTTP 1.0":       {"/book/a", rawHead10 + "\r\nhello", 200, "hello"},
	"may be tried":   {"/read/a", rawHead + "\r\nhello", 200, "hello"},
	"stream":         {"/long/a", rawStream + rawEvent, 200, rawEvent},
	"may be resumed": {"/draft/a", rawStream + rawEvent, 200, rawEvent},
	"status 404":     {"/book/a", rawFailure("404 Not Found") + "\r\nhello", 404, "hello"},
	"status 500":     {"/book/a", rawFailure("500 Internal Server Error") + "\r\nhello", 500, "hello"},
}

// sendLarge sends a request with a body of that many bytes.
func (s *testStack) sendLarge(path string, bytes int) callerResponse {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.send(ctx, s.entries[0], callerRequest{
		path: path, key: testKey, body: strings.Repeat("u", bytes),
		stream: strings.HasPrefix(path, "/chat") || strings.HasPrefix(path, "/long") || strings.HasPrefix(path, "/draft"),
	})
}

// TestResetDuringUpload guards against a response without a length that an upstream breaks off
// with a reset while the upload is still being written: the write gets the error, and the end
// that the reader then sees must not pass for the end of the response.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 6
	moments := map[string]func(c *net.TCPConn){
		"at once": resetConn, "after 5 ms": resetAfter(5 * time.Millisecond), "after 60 ms": resetAfter(60 * time.Millisecond),
	}
	for name, test := range earlyResponses {
		for moment, end := range moments {
			t.Run(name+", "+moment, func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 1)
				u := s.newEarlyUpstream(test.response, end)
				complete := 0
				for range attempts {
					got := s.sendLarge(test.path, 1<<20)
					if got.err == nil && got.status == test.status && strings.HasPrefix(test.body, got.body) {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("got a response that looks complete %d times of %d, want an error or an early end", complete, attempts)
				}
				if n := u.received.Load(); n > attempts {
					t.Errorf("got %d requests at the upstream, want at most %d", n, attempts)
				}
			})
		}
	}
}

// TestStalledUpload guards against a response without a length taken as complete when the upstream
// neither reads the upload nor ends the connection: the write then fails by its own timeout.
func TestStalledUpload(t *testing.T) {
	for name, test := range earlyResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			u := s.startEarlyUpstream(&earlyUpstream{response: test.response, end: resetAfter(5 * time.Second), receiveBytes: 4 << 10})
			got := s.sendLarge(test.path, 1<<20)
			if got.err == nil && got.status == test.status && strings.HasPrefix(test.body, got.body) {
				t.Errorf("got a response that looks complete, want an error or an early end")
			}
			if n := u.received.Load(); n != 1 {
				t.Errorf("got the request %d times at the upstream, want 1", n)
			}
		})
	}
}

// TestFramedResetDuringUpload checks that a response with a length or chunks whose last byte
// came before the reset is whole, and one that was cut is not.
func TestFramedResetDuringUpload(t *testing.T) {
	tests := map[string]struct {
		response string
		complete bool
	}{
		"length":            {rawHead + "Content-Length: 5\r\n\r\nhello", true},
		"length, cut":       {rawHead + "Content-Length: 6\r\n\r\nhello", false},
		"chunks":            {rawHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		"chunks, cut":       {rawHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		"chunks, last only": {rawHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", false},
		"head, cut":         {rawHead, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			u := s.newEarlyUpstream(test.response, resetAfter(20*time.Millisecond))
			got := s.sendLarge("/book/a", 1<<20)
			complete := got.err == nil && got.status == http.StatusOK && got.body == "hello"
			if complete != test.complete {
				t.Errorf("got status %d, body %q, error %v, want complete: %v", got.status, got.body, got.err, test.complete)
			}
			if n := u.received.Load(); n != 1 {
				t.Errorf("got the request %d times at the upstream, want 1", n)
			}
		})
	}
}

// TestResponseDuringUpload checks that a response which comes before the upload was read, and
// whose connection ends in order, is passed on whole.
func TestResponseDuringUpload(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){"upload read": finishUpload, "upload not read": dropUpload}
	for name, test := range earlyResponses {
		for end, f := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 1)
				u := s.startEarlyUpstream(&earlyUpstream{response: test.response, end: f, receiveBytes: 4 << 10})
				for _, size := range []int{64 << 10, 512 << 10, 1 << 20} {
					got := s.sendLarge(test.path, size)
					if got.err != nil || got.status != test.status || got.body != test.body {
						t.Errorf("upload of %d bytes: got status %d, %d bytes, error %v, want the whole response", size, got.status, len(got.body), got.err)
					}
				}
				if n := u.received.Load(); n != 3 {
					t.Errorf("got %d requests at the upstream, want 3", n)
				}
			})
		}
	}
}

// TestRefusedResponseLogged checks that the log states why a response was refused.
func TestRefusedResponseLogged(t *testing.T) {
	tests := map[string]struct {
		response string
		end      func(c *net.TCPConn)
		want     string
	}{
		"reset": {rawHead + "\r\nhello", resetConn, "connection reset by peer"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			s := newStackOf(t, stackOptions{entries: 1, log: &log})
			s.newEarlyUpstream(test.response, test.end)
			const requests = 6
			for range requests {
				s.sendLarge("/book/a", 1<<20)
			}
			if got := strings.Count(log.String(), test.want); got < requests {
				t.Errorf("got %q %d times in the log, want it for each of %d requests", test.want, got, requests)
			}
		})
	}
}

// lockedBuffer is a buffer that an entry logs to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
