package agent

import (
	"context"
	"fmt"
	"net/http"
	"testing"

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
