package direct_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestBrokenOffForHTTP10 guards against a response that broke off looking complete to a caller of
// HTTP/1.0, for which the end of the connection is that of the response.
func TestBrokenOffForHTTP10(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	size := fmt.Sprintf("%x\r\n", len(large))
	tests := map[string]struct {
		path, response string
		end            func(c *net.TCPConn)
		// body is that of a whole response.
		body string
	}{
		"large, chunks":            {path: "/book/a", response: rawHead + "Transfer-Encoding: chunked\r\n\r\n" + size + large + "\r\n"},
		"large, reset":             {path: "/book/a", response: rawHead + "\r\n" + large, end: resetAfter(50 * time.Millisecond)},
		"stream, in an event":      {path: "/chat/a", response: rawStream + rawEvent + "id: 2"},
		"stream, chunks":           {path: "/chat/a", response: rawHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(rawEvent)) + rawEvent + "\r\n"},
		"stream, reset":            {path: "/chat/a", response: rawStream + rawEvent, end: resetAfter(50 * time.Millisecond)},
		"whole, length":            {path: "/book/a", response: rawHead + "Content-Length: 5\r\n\r\nhello", body: "hello"},
		"whole, large":             {path: "/book/a", response: rawHead + "\r\n" + large, body: large},
		"whole, stream":            {path: "/chat/a", response: rawStream + rawEvent, body: rawEvent},
		"whole, stream, in chunks": {path: "/chat/a", response: rawHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(rawEvent)) + rawEvent + "\r\n0\r\n\r\n", body: rawEvent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			if test.end == nil {
				test.end = finishUpload
			}
			s.newEarlyUpstream(test.response, test.end)
			c, err := net.Dial("tcp", s.entries[0].settings.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCactustide-Request-Id: a\r\nCactustide-Model: m\r\nContent-Length: 1\r\n\r\nx", test.path, testHost, testKey)
			_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
			got, err := io.ReadAll(c)
			head, body, _ := strings.Cut(string(got), "\r\n\r\n")
			if !strings.HasPrefix(head, "HTTP/1.0 200 ") && len(got) > 0 {
				t.Fatalf("got %.200q, want a response that has begun", got)
			}
			if complete := err == nil; complete != (test.body != "") || complete && body != test.body {
				t.Errorf("got %d bytes of the body and error %v, want complete: %v", len(body), err, test.body != "")
			}
		})
	}
}
