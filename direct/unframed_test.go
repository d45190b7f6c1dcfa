package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// rawUpstream sends a response and then, if tail is set, the tail again and again until the
// connection is closed. Without a tail it closes the connection.
type rawUpstream struct {
	listener net.Listener
	response string
	tail     string
	// sent counts the bytes that the connections took.
	sent atomic.Int64
}

func (u *rawUpstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.respond(c)
	}
}

func (u *rawUpstream) respond(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // The response matters, not the request.
	if _, err := io.WriteString(c, strings.ReplaceAll(u.response, "ID", q.Header.Get("Cactustide-Request-Id"))); err != nil || u.tail == "" {
		return
	}
	block := bytes.Repeat([]byte(u.tail), 1+32<<10/len(u.tail))
	for {
		n, err := c.Write(block)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// newRawUpstream replaces the stack's upstreams.
func (s *testStack) newRawUpstream(response, tail string) *rawUpstream {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	u := &rawUpstream{listener: listener, response: response, tail: tail}
	go u.serve()
	s.replaceUpstreams("raw", listener.Addr().String())
	return u
}

const (
	rawHead   = "HTTP/1.1 200 OK\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n"
	rawStream = rawHead + "Content-Type: text/event-stream\r\n\r\n"
	rawEvent  = "id: 1\ndata: a\n\n"
)

// TestUnframed checks responses with neither a length nor chunks, which end with their
// connection: they are passed on whole, and a stream that ends inside an event, or before
// its first one, does not look complete.
func TestUnframed(t *testing.T) {
	tests := map[string]struct {
		response string
		path     string
		want     string
		complete bool
	}{
		"plain":                {response: rawHead + "\r\nhello", path: "/book/a", want: "hello", complete: true},
		"plain, empty":         {response: rawHead + "\r\n", path: "/book/a", want: "", complete: true},
		"plain, large":         {response: rawHead + "\r\n" + strings.Repeat("x", 300<<10), path: "/book/a", want: strings.Repeat("x", 300<<10), complete: true},
		"stream":               {response: rawStream + rawEvent + "id: 2\ndata: b\n\n", path: "/chat/a", want: rawEvent + "id: 2\ndata: b\n\n", complete: true},
		"inside an event":      {response: rawStream + rawEvent + "id: 2\nda", path: "/chat/a", want: rawEvent},
		"before the last line": {response: rawStream + rawEvent + "id: 2\ndata: b\n", path: "/chat/a", want: rawEvent},
		"inside the first":     {response: rawStream + "id: 1", path: "/chat/a"},
		"before any event":     {response: rawStream, path: "/chat/a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			s.newRawUpstream(test.response, "")
			got := s.send(context.Background(), s.entries[0], callerRequest{path: test.path, key: testKey, stream: strings.HasPrefix(test.path, "/chat")})
			complete := got.status == http.StatusOK && got.err == nil
			if complete != test.complete {
				t.Errorf("got status %d, body %.80q, error %v, want complete: %v", got.status, got.body, got.err, test.complete)
			}
			if got.status == http.StatusOK && got.body != test.want {
				t.Errorf("got body %.80q, want %.80q", got.body, test.want)
			}
		})
	}
}
