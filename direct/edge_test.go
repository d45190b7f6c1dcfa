package direct_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/direct"
)

// TestSlowHead: a head that takes longer than the configuration allows closes its
// connection; an idle connection, or a body that takes as long, does not.
func TestSlowHead(t *testing.T) {
	s := newStack(t, 1)
	head := func(id string) string {
		return fmt.Sprintf("POST /book/a HTTP/1.1\r\nHost: %s\r\nCactustide-Request-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n", testHost, id, testKey)
	}
	// The test configuration allows 3 s for a head.
	const pause = 4500 * time.Millisecond
	for name, c := range map[string]struct {
		first, rest string
		want        bool
	}{
		"slow head":       {first: head("slow-head"), rest: "\r\nab", want: false},
		"slow body":       {first: head("slow-body") + "\r\na", rest: "b", want: true},
		"idle, then fast": {rest: head("late-head") + "\r\nab", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.entries[0].settings.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, c.first); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
			_, _ = io.WriteString(conn, c.rest) // The connection may be closed; reading the response shows it.
			if err := conn.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if got := err == nil; got != c.want {
				t.Errorf("got a response %v (%v), want %v", got, err, c.want)
			}
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
}

// TestSlowReader: a caller who reads slowly gets the complete response and does not
// delay other callers.
func TestSlowReader(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	conn, err := net.Dial("tcp", e.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(1024); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /draft/slow HTTP/1.1\r\nHost: %s\r\nCactustide-Request-Id: slow-reader\r\n"+
		"Authorization: Bearer %s\r\nCactustide-Model: m\r\nCactustide-Token-Usage: 100,20\r\nCactustide-Prompt-Prefix: aa:60,bb:40\r\n\r\n", testHost, testKey); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for b := make([]byte, 8); ; time.Sleep(time.Millisecond) {
		n, err := resp.Body.Read(b)
		got.Write(b[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("got %q, then %v", got.String(), err)
		}
		if other := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey}); other.status != http.StatusOK {
			t.Fatalf("got status %d for another caller meanwhile, want 200", other.status)
		}
	}
	if want := s.fullStream("slow-reader"); got.String() != want {
		t.Errorf("got stream %q, want %q", got.String(), want)
	}
}

// truncatingUpstream sends the first bytes of a response and then closes or resets
// the connection.
type truncatingUpstream struct {
	listener net.Listener
	response string
	reset    bool
	// bytes is the number of bytes that it sends.
	bytes atomic.Int64
}

// serve responds to one request on each connection.
func (c *truncatingUpstream) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			q, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			response := strings.ReplaceAll(c.response, "ID", q.Header.Get("Cactustide-Request-Id"))
			_, _ = io.WriteString(conn, response[:c.bytes.Load()]) // The entry may have closed the connection.
			if c.reset {
				time.Sleep(time.Millisecond)         // The bytes before a reset arrive.
				_ = conn.(*net.TCPConn).SetLinger(0) // Makes Close send a reset.
			}
		}()
	}
}

// TestTruncatedAtEachByte: when the connection to an upstream ends or is reset after any
// byte of the response, its head included, a caller must never get the part as a complete
// success.
func TestTruncatedAtEachByte(t *testing.T) {
	const (
		body = "hello world"
		head = "HTTP/1.1 200 OK\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n"
		last = "0\r\n\r\n"
		// idGrowth is by how many bytes an id is longer than its placeholder in the response.
		idGrowth = 6
	)
	for name, c := range map[string]struct {
		response string
		// omittable is the number of bytes at the end without which the response is still
		// complete.
		omittable int
		// unframed responses end with their connection: what comes after the head may be
		// short unless the connection is reset.
		unframed bool
	}{
		"length":         {response: head + "Content-Length: 11\r\n\r\n" + body},
		"chunked":        {response: head + "Transfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n5\r\nworld\r\n" + last, omittable: len(last) - 1},
		"unframed":       {response: head + "X-Last: 1\r\n\r\n" + body, unframed: true},
		"length first":   {response: "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n\r\n" + body},
		"after a 100":    {response: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 11\r\n\r\n" + body},
		"of an old HTTP": {response: "HTTP/1.0 200 OK\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n\r\n" + body, unframed: true},
	} {
		for _, reset := range []bool{true, false} {
			if c.unframed && reset {
				continue // TestUnframed has these.
			}
			t.Run(fmt.Sprintf("%s reset=%v", name, reset), func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 1)
				u := s.newTruncatingUpstream(c.response, reset)
				length := len(c.response) + idGrowth
				for n := 0; n <= length; n++ {
					u.bytes.Store(int64(n))
					got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: strconv.Itoa(n)})
					complete := got.status == http.StatusOK && got.err == nil
					if complete && !c.unframed && (got.body != body || n < length-c.omittable) {
						t.Errorf("%d of %d bytes: got a success with body %q", n, length, got.body)
					}
					if n < length-len(body) && c.unframed && got.status == http.StatusOK {
						t.Errorf("%d of %d bytes, within the head: got a success with body %q", n, length, got.body)
					}
					if n == length && !complete {
						t.Errorf("all bytes: got status %d, body %q, %v; want the complete response", got.status, got.body, got.err)
					}
				}
			})
		}
	}
}

// newTruncatingUpstream replaces the stack's upstreams.
func (s *testStack) newTruncatingUpstream(response string, reset bool) *truncatingUpstream {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	u := &truncatingUpstream{listener: listener, response: response, reset: reset}
	go u.serve()
	s.replaceUpstreams("cutter", listener.Addr().String())
	return u
}

// replaceUpstreams registers one upstream in place of the stack's.
func (s *testStack) replaceUpstreams(id, address string) {
	s.t.Helper()
	s.register(id, address)
	for _, r := range s.replicas {
		s.store.Delete(r.StoreKey())
	}
	waitFor(s.t, "only "+id+" registered", func() bool {
		_, text := s.get(s.t, s.entries[0], direct.PathStatus)
		return strings.Contains(text, `"`+id+`"`) && !strings.Contains(text, s.replicas[0].ID) && !strings.Contains(text, s.replicas[1].ID)
	})
}

// register registers one more upstream and waits until the first entry knows it.
func (s *testStack) register(id, address string) {
	s.t.Helper()
	s.put(id, address, 1, 1)
	waitFor(s.t, id+" registered", func() bool {
		_, text := s.get(s.t, s.entries[0], direct.PathStatus)
		return strings.Contains(text, `"`+id+`"`)
	})
}

// put writes the registration of an upstream, with its number and the start of its process.
func (s *testStack) put(id, address string, sequence, born int) {
	s.t.Helper()
	registration, err := json.Marshal(map[string]any{
		"service": "desk", "address": address, "zone": "zone-a", "version": "v1",
		"slots": 4, "state": "ready", "cold-remaining-ms": 0, "seq": sequence, "born": born,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("servers/"+id, registration)
}
