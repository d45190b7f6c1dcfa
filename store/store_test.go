package store

import (
	"errors"
	"net"
	"testing"
	"time"

	"cactustide/fakes"
)

// newRawClient returns a client of a service whose connections a function serves.
func newRawClient(t *testing.T, serve func(c *net.TCPConn)) *Client {
	t.Helper()
	server, err := fakes.NewRawServer(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return New(server.Address)
}

// TestBrokenHead guards against a response with a broken head taken for one of the service: it says
// neither what a key holds nor whether a write took effect.
func TestBrokenHead(t *testing.T) {
	for name, response := range fakes.BrokenHeads("X-Consul-Index: 3\r\n", `[{"Key":"k","Value":"eA==","ModifyIndex":3}]`) {
		t.Run("get, "+name, func(t *testing.T) {
			c := newRawClient(t, fakes.Respond(response))
			if got, err := c.Get("k"); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
	for name, response := range fakes.BrokenHeads("", "true") {
		t.Run("swap, "+name, func(t *testing.T) {
			c := newRawClient(t, fakes.Respond(response))
			written, err := c.Swap("k", []byte("x"), 0)
			var typed *Error
			if !errors.As(err, &typed) || typed.Kind != KindAmbiguous {
				t.Errorf("got written %v and error %v, want an error of kind %s", written, err, KindAmbiguous)
			}
		})
	}
}

// TestReset checks that a response which is broken off with a reset is an error, also while a large
// value is being written.
func TestReset(t *testing.T) {
	responses := map[string]string{
		"unframed": "HTTP/1.1 200 OK\r\n\r\ntrue",
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntrue",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n",
		"status":   "HTTP/1.1 500 Internal Server Error\r\n\r\ntrue",
	}
	for name, response := range responses {
		for moment, after := range map[string]time.Duration{"at once": 0, "after 5 ms": 5 * time.Millisecond} {
			t.Run(name+", "+moment, func(t *testing.T) {
				c := newRawClient(t, fakes.ResetAfter(response, after))
				for range 20 {
					written, err := c.Swap("k", make([]byte, 1<<20), 0)
					var typed *Error
					if !errors.As(err, &typed) || typed.Kind != KindAmbiguous {
						t.Fatalf("got written %v and error %v, want an error of kind %s", written, err, KindAmbiguous)
					}
				}
			})
		}
	}
}

// TestClosedConnection guards against a reading that fails because the service has closed the connection
// since the last call, and against a write that is sent twice for that reason.
func TestClosedConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Consul-Index: 3\r\nContent-Length: 44\r\n\r\n" + `[{"Key":"k","Value":"eA==","ModifyIndex":3}]`
	c := newRawClient(t, fakes.Respond(response))
	for i := range 3 {
		if got, err := c.Get("k"); err != nil || got.Version != 3 {
			t.Errorf("call %d: got %+v, error %v, want version 3", i, got, err)
		}
		time.Sleep(20 * time.Millisecond) // The connection is closed.
	}
	_, err := c.Swap("k", []byte("x"), 0)
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != KindAmbiguous {
		t.Errorf("got error %v of a write, want one of kind %s", err, KindAmbiguous)
	}
}
