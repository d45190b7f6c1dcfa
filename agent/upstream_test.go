package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/setup"
	"cactustide/wire"
)

// TestResponseCut guards against a response whose head or body ends midway being passed on as
// complete: an upstream sends the first bytes of a response and closes the connection.
func TestResponseCut(t *testing.T) {
	const body = "hello world"
	tests := map[string]struct {
		response string
		// complete is the number of bytes from which on the response is complete.
		complete int
	}{
		"length":   {response: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\n" + body, complete: -1},
		"chunked":  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n", complete: -1},
		"unframed": {response: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body, complete: len("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")},
		"stream":   {response: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\ndata: [DONE]\n\n", complete: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.NewCutServer(test.response)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			u := newUpstream(setup.Upstream{Address: server.Address, Kind: setup.KindPlain}, 1<<20, func() uint64 { return 1 })
			defer u.close()
			for n := range len(test.response) + 1 {
				server.SetLength(n)
				got := u.run(context.Background(), &wire.Job{Method: http.MethodGet, Path: "/a", Id: fmt.Sprint(n), Once: true}, 1, responseReceiver{
					onHead: func(int, string) {}, onData: func([]byte, int64) error { return nil },
				})
				want := n == len(test.response) || test.complete >= 0 && n >= test.complete
				if got.complete && !want {
					t.Errorf("%d of %d bytes: got a complete response with body %q, want an error", n, len(test.response), got.body)
				}
				if n == len(test.response) && !got.complete {
					t.Errorf("all bytes: got error %v, want a complete response", got.err)
				}
			}
		})
	}
}

// startRaw starts an upstream whose connections a function serves.
func startRaw(t *testing.T, serve func(c *net.TCPConn)) *upstream {
	t.Helper()
	server, err := fakes.NewRawServer(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	u := newUpstream(setup.Upstream{Address: server.Address, Kind: setup.KindPlain}, 1<<20, func() uint64 { return 1 })
	t.Cleanup(u.close)
	return u
}

// startBroken starts an upstream that sends a response to each request.
func startBroken(t *testing.T, response string) *upstream {
	t.Helper()
	return startRaw(t, fakes.Respond(response))
}

// TestBrokenHead guards against a response whose head has a defect that the HTTP library lets pass:
// nothing of it may be passed on, the request counts as one that may have run and the error states why.
func TestBrokenHead(t *testing.T) {
	for name, response := range fakes.BrokenHeads("", "hello") {
		t.Run(name, func(t *testing.T) {
			u := startBroken(t, response)
			got := u.run(context.Background(), &wire.Job{Method: http.MethodGet, Path: "/a", Id: "1", Once: true}, 1, responseReceiver{
				onHead: func(status int, _ string) { t.Errorf("got status %d passed on, want nothing", status) },
				onData: func(p []byte, _ int64) error {
					t.Errorf("got %q passed on, want nothing", p)
					return nil
				},
			})
			if got.complete || got.unsent || got.fenced || got.err == nil {
				t.Fatalf("got %+v, want an error of a request that may have run", got)
			}
			if text := got.err.Error(); !strings.Contains(text, "no status of a response") && !strings.Contains(text, "no name of a field") && !strings.Contains(text, "malformed mime header line") {
				t.Errorf("got error %q, want the defect", text)
			}
		})
	}
}

// TestNoBody guards against an upstream that ends the process with a response whose status allows no
// body.
func TestNoBody(t *testing.T) {
	for name, response := range map[string]string{
		"204": "HTTP/1.1 204 No Content\r\n\r\n",
		"304": "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
		"205": "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startBroken(t, response)
			status := 0
			got := u.run(context.Background(), &wire.Job{Method: http.MethodGet, Path: "/a", Id: "1", Once: true}, 1, responseReceiver{
				onHead: func(s int, _ string) { status = s }, onData: func([]byte, int64) error { return nil },
			})
			if !got.complete || fmt.Sprint(status) != name || len(got.body) > 0 {
				t.Errorf("got %+v and status %d, want a complete response without a body", got, status)
			}
		})
	}
}

// TestBrokenHealth guards against a broken response taken for the answer of a healthy upstream.
func TestBrokenHealth(t *testing.T) {
	tests := fakes.BrokenHeads("", "hello")
	tests["length, cut"] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello"
	tests["chunks, cut"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			if err := startBroken(t, response).checkHealth(); err == nil {
				t.Error("got a healthy upstream, want an error")
			}
		})
	}
}

// TestHealthBody checks answers to a health check with status 200 by how their body ends.
func TestHealthBody(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nhello"
	tests := map[string]struct {
		serve   func(c *net.TCPConn)
		healthy bool
	}{
		"closed in order": {func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = io.WriteString(c, unframed)
		}, true},
		"reset":       {fakes.ResetAfter(unframed, 20*time.Millisecond), false},
		"silent":      {fakes.ResetAfter(unframed, 4*time.Second), false},
		"no response": {fakes.ResetAfter("", 4*time.Second), false},
		"no body": {func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startRaw(t, test.serve)
			begin := time.Now()
			if err := u.checkHealth(); (err == nil) != test.healthy {
				t.Errorf("got error %v, want a healthy upstream: %v", err, test.healthy)
			}
			if took := time.Since(begin); took > healthTimeout+time.Second {
				t.Errorf("got a result after %v, want it within %v", took, healthTimeout)
			}
		})
	}
}

// TestResetDuringUpload checks that a response without a length whose connection is reset while the
// upload is being written does not look complete.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 30
	responses := map[string]string{
		"plain":      "HTTP/1.1 200 OK\r\n\r\nhello",
		"empty":      "HTTP/1.1 200 OK\r\n\r\n",
		"large":      "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 300<<10),
		"HTTP 1.0":   "HTTP/1.0 200 OK\r\n\r\nhello",
		"stream":     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
		"status 404": "HTTP/1.1 404 Not Found\r\n\r\nhello",
		"status 500": "HTTP/1.1 500 Internal Server Error\r\n\r\nhello",
	}
	for name, response := range responses {
		for moment, after := range map[string]time.Duration{"at once": 0, "after 5 ms": 5 * time.Millisecond} {
			t.Run(name+", "+moment, func(t *testing.T) {
				t.Parallel()
				u := startRaw(t, fakes.ResetAfter(response, after))
				for n := range attempts {
					got := u.run(context.Background(), &wire.Job{Method: http.MethodPost, Path: "/a", Id: fmt.Sprint(n), Body: make([]byte, 1<<20), Once: true}, 1, responseReceiver{
						onHead: func(int, string) {}, onData: func([]byte, int64) error { return nil },
					})
					if got.complete || got.unsent {
						t.Fatalf("got complete %v, unsent %v, want a response that broke off", got.complete, got.unsent)
					}
				}
			})
		}
	}
}

// TestResponseDuringUpload checks that a response which comes before the upload was read is passed on
// whole if its connection ends in order.
func TestResponseDuringUpload(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"upload read":     func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"upload not read": func(*net.TCPConn) { time.Sleep(30 * time.Millisecond) },
	}
	for name, response := range map[string]string{
		"unframed":   "HTTP/1.1 200 OK\r\n\r\nhello",
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"status 413": "HTTP/1.1 413 Content Too Large\r\n\r\nhello",
	} {
		for end, f := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				u := startRaw(t, func(c *net.TCPConn) {
					_, _ = c.Read(make([]byte, 512))
					_, _ = io.WriteString(c, response)
					_ = c.CloseWrite()
					f(c)
				})
				got := u.run(context.Background(), &wire.Job{Method: http.MethodPost, Path: "/a", Id: "1", Body: make([]byte, 1<<20), Once: true}, 1, responseReceiver{
					onHead: func(int, string) {}, onData: func([]byte, int64) error { return nil },
				})
				if !got.complete || string(got.body) != "hello" {
					t.Errorf("got complete %v, body %q, error %v, want the whole response", got.complete, got.body, got.err)
				}
			})
		}
	}
}
