package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cactustide/direct"
)

// TestEndlessBytes guards against an upstream in trouble that sends bytes without end, in a
// head or a body: the request must end by its timeout, must not look complete, and the
// entry must not store the bytes.
func TestEndlessBytes(t *testing.T) {
	// socketBytes is what the two ends of a connection may hold.
	const socketBytes = 24 << 20
	tests := map[string]struct {
		response, tail string
		path           string
		// endless bodies of a response that has begun are passed on, not stored.
		passed bool
	}{
		"status line":             {response: "HTTP/1.1 200 ", tail: "O", path: "/book/a"},
		"bytes that are no head":  {response: "", tail: "\x00\x01\x02", path: "/book/a"},
		"field":                   {response: rawHead + "X-Long: ", tail: "x", path: "/book/a"},
		"fields":                  {response: rawHead, tail: "X-Many: x\r\n", path: "/book/a"},
		"informational responses": {response: "", tail: "HTTP/1.1 100 Continue\r\n\r\n", path: "/book/a"},
		"chunk size":              {response: rawHead + "Transfer-Encoding: chunked\r\n\r\n", tail: "0", path: "/book/a"},
		"trailer":                 {response: rawHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", tail: "X-Many: x\r\n", path: "/book/a"},
		"body of an error":        {response: "HTTP/1.1 500 no\r\nCactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n\r\n", tail: "x", path: "/read/a", passed: true},
		"body":                    {response: rawHead + "\r\n", tail: "x", path: "/book/a", passed: true},
		"event":                   {response: rawStream + rawEvent + "id: 2\ndata: ", tail: "x", path: "/chat/a"},
		"line of an event":        {response: rawStream + rawEvent, tail: "data: x\n", path: "/chat/a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			u := s.newRawUpstream(test.response, test.tail)
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			begin := time.Now()
			got := s.sendDiscarding(ctx, s.entries[0], test.path, strings.HasPrefix(test.path, "/chat"))
			if took := time.Since(begin); took > 4*time.Second {
				t.Errorf("got an end after %v, want it by the route's timeout", took)
			}
			if got.status == http.StatusOK && got.err == nil {
				t.Error("got a response that looks complete, want an error or an early end")
			}
			if sent := u.sent.Load(); !test.passed && sent > socketBytes {
				t.Errorf("got %d bytes read from the upstream, want at most %d", sent, socketBytes)
			}
			waitFor(t, "no request in progress", func() bool {
				_, text := s.get(t, s.entries[0], direct.PathStatus)
				return !strings.Contains(text, `"requests"`) || strings.Contains(text, `"requests":"0"`)
			})
		})
	}
}

// sendDiscarding sends a request and discards the body of the response.
func (s *testStack) sendDiscarding(ctx context.Context, e *testEntry, path string, stream bool) callerResponse {
	s.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.settings.Listen+path, strings.NewReader("x"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("Cactustide-Request-Id", "endless-1")
	req.Header.Set("Authorization", "Bearer "+testKey)
	if stream {
		req.Header.Set("Cactustide-Model", "m")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return callerResponse{status: resp.StatusCode, err: err}
}

// TestEndlessTogether guards against many responses that grow without end at once and together
// exceed the memory of an entry: what they keep beyond small responses must be within the part
// of the memory that is meant for responses, and other requests are answered meanwhile.
func TestEndlessTogether(t *testing.T) {
	const (
		memory   = 96 << 20
		requests = 150
		// responses is the part of the memory for responses, freeBytes what each may keep beside.
		responses = memory * 15 / 100
		freeBytes = 16 << 10
	)
	tests := map[string]struct {
		begin string
		// grown is sent after begin and just below the bound of a single one; no more follows.
		grown string
	}{
		"events":               {begin: rawStream + rawEvent + "id: 2\ndata: ", grown: strings.Repeat("x", 1000<<10)},
		"heads":                {begin: rawHead + "X-Long: ", grown: strings.Repeat("x", 250<<10)},
		"heads in short lines": {begin: rawHead, grown: shortLines(250 << 10)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			small := heapOfUnfinished(t, memory, requests, test.begin, "x")
			large := heapOfUnfinished(t, memory, requests, test.begin, test.grown)
			if got, want := large-small, int64(responses+requests*freeBytes); got > want {
				t.Errorf("got %d MB of live heap more than with small responses, want at most %d MB", got>>20, want>>20)
			}
		})
	}
}

// shortLines returns fields of a head with names that differ and no values.
func shortLines(size int) string {
	var b strings.Builder
	for n := int64(0); b.Len() < size; n++ {
		b.WriteString(strconv.FormatInt(n, 36) + ":\n")
	}
	return b.String()
}

// heapOfUnfinished returns the growth of the live heap while responses are not finished of which
// begin and the rest have arrived. Requests beside them must be answered.
func heapOfUnfinished(t *testing.T, memory int64, requests int, begin, rest string) int64 {
	t.Helper()
	s := newStackOf(t, stackOptions{entries: 1, memoryBytes: memory})
	u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
		id := requestID(q)
		if !strings.HasPrefix(q.URL.Path, "/chat") {
			_, err := io.WriteString(c, rawBody(id))
			return err == nil
		}
		_, err := io.WriteString(c, strings.ReplaceAll(begin, "ID", id))
		if err == nil {
			_, err = io.WriteString(c, rest)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, c) // Until the entry closes.
		}
		return false
	})
	s.replaceUpstreams("a-endless", u.listener.Addr().String())
	before := heapBytes()
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range requests {
		group.Go(func() { s.sendDiscarding(ctx, s.entries[0], "/chat/a", true) })
	}
	var largest int64
	for i := range 20 {
		time.Sleep(50 * time.Millisecond)
		// While the bytes arrive, buffers that were replaced by larger ones are not live either.
		if n := heapBytes(); i >= 8 {
			largest = max(largest, n)
		}
		if got := s.send(ctx, s.entries[0], callerRequest{path: "/read/a", key: testKey, body: "x"}); got.status != http.StatusOK {
			t.Errorf("got status %d for a request beside them, want 200", got.status)
		}
	}
	group.Wait()
	waitFor(t, "the memory is released", func() bool { used, _ := s.memory(s.entries[0], "responses"); return used == 0 })
	return largest - before
}
