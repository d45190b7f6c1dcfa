package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/platform/stand"
)

func TestEntryResponses(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	cases := map[string]struct {
		request callerRequest
		want    int
	}{
		"plain":             {callerRequest{path: "/read/a", key: testKey}, http.StatusOK},
		"public route":      {callerRequest{path: "/open/a"}, http.StatusOK},
		"no key":            {callerRequest{path: "/read/a"}, http.StatusUnauthorized},
		"unknown key":       {callerRequest{path: "/read/a", key: "other"}, http.StatusUnauthorized},
		"no route":          {callerRequest{path: "/else/a", key: testKey}, http.StatusNotFound},
		"partial prefix":    {callerRequest{path: "/read", key: testKey}, http.StatusNotFound},
		"body too large":    {callerRequest{path: "/book/a", key: testKey, body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
		"body at the limit": {callerRequest{path: "/book/a", key: testKey, body: strings.Repeat("x", 1<<20)}, http.StatusOK},
		"head too large":    {callerRequest{path: "/read/a", key: testKey, header: map[string]string{"X-Fill": strings.Repeat("x", 17000)}}, http.StatusRequestHeaderFieldsTooLarge},
		"no id":             {callerRequest{path: "/read/a", key: testKey, header: map[string]string{"Cactustide-Request-Id": ""}}, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := s.send(context.Background(), e, c.request)
			if got.err != nil || got.status != c.want {
				t.Errorf("got status %d, error %v, want %d", got.status, got.err, c.want)
			}
			if c.want == http.StatusOK && got.body != stand.BodyOf(got.id) {
				t.Errorf("got body %q, want the replica's", got.body)
			}
			if c.want != http.StatusOK && s.runs(got.id) != 0 {
				t.Errorf("got %d runs of a refused request, want 0", s.runs(got.id))
			}
		})
	}
}

func TestHeaders(t *testing.T) {
	s := newStack(t, 1)
	got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a?x=%2F1", key: testKey, body: "b", header: map[string]string{
		"X-Own": "kept", "Cactustide-Tenant": "forged", "Cactustide-Hold": "h", "Kv-From": "k", "Cactustide-Pin-Ms": "5",
		"Connection": "x-hop", "X-Hop": "dropped", "Cactustide-Request-Priority": "0",
	}})
	if got.status != http.StatusOK {
		t.Fatalf("got status %d, want 200", got.status)
	}
	run := append(s.replicas[0].ExecutedRequests(), s.replicas[1].ExecutedRequests()...)[0]
	if want := "/book/a?x=%2F1"; run.RequestURI != want {
		t.Errorf("got target %q, want %q", run.RequestURI, want)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", "Cactustide-Tenant": "team-one", "Cactustide-Request-Id": got.id,
		"Cactustide-Hold": "", "Kv-From": "", "Cactustide-Pin-Ms": "", "X-Hop": "", "Authorization": "", "Cactustide-Request-Priority": "",
	} {
		if value := run.Header.Get(name); value != want {
			t.Errorf("got %s %q, want %q", name, value, want)
		}
	}
	remaining, err := strconv.Atoi(run.Header.Get("Cactustide-Deadline-Ms"))
	if err != nil || remaining <= 0 || remaining > 2000 {
		t.Errorf("got %d ms remaining, want at most the route's 2000", remaining)
	}
}

func TestFaults(t *testing.T) {
	const complete, incomplete = "whole", "broken"
	cases := map[string]struct {
		path   string
		fault  stand.Fault
		status int
		body   string
		runs   int
	}{
		"idempotent, failed":             {"/read/a", stand.FaultServerError, 200, complete, 2},
		"idempotent, reset":              {"/read/a", stand.FaultReset, 200, complete, 2},
		"idempotent, truncated":          {"/read/a", stand.FaultTruncate, 200, complete, 2},
		"idempotent, garbage":            {"/read/a", stand.FaultGarbage, 200, complete, 2},
		"idempotent, refused":            {"/read/a", stand.FaultRefuse, 200, complete, 1},
		"non-idempotent, refused":        {"/book/a", stand.FaultRefuse, 200, complete, 1},
		"idempotent, not signed":         {"/read/a", stand.FaultUnsigned, 200, complete, 2},
		"non-idempotent, not signed":     {"/book/a", stand.FaultUnsigned, 502, "", 1},
		"non-idempotent, reset":          {"/book/a", stand.FaultReset, 502, "", 1},
		"non-idempotent, truncated":      {"/book/a", stand.FaultTruncate, 502, "", 1},
		"non-idempotent, garbage":        {"/book/a", stand.FaultGarbage, 502, "", 1},
		"non-idempotent, failed":         {"/book/a", stand.FaultServerError, 500, "failed\n", 1},
		"non-idempotent, extra response": {"/book/a", stand.FaultExtraResponse, 200, complete, 1},
		"stream, truncated":              {"/chat/a", stand.FaultTruncate, 200, incomplete, 1},
		"stream, reset":                  {"/chat/a", stand.FaultReset, 502, "", 1},
		"stream, refused":                {"/chat/a", stand.FaultRefuse, 200, complete, 1},
		"resumable stream, truncated":    {"/draft/a", stand.FaultTruncate, 200, complete, 2},
		"resumable stream, reset":        {"/draft/a", stand.FaultReset, 200, complete, 2},
		"resumable stream, failed":       {"/draft/a", stand.FaultServerError, 200, complete, 2},
		"resumable stream, refused":      {"/draft/a", stand.FaultRefuse, 200, complete, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			stream := !strings.HasPrefix(c.path, "/read") && !strings.HasPrefix(c.path, "/book")
			// An open connection, so that late responses could be read by the next request.
			for range 3 {
				s.send(context.Background(), s.entries[0], callerRequest{path: "/read/warm", key: testKey})
			}
			s.failFirst(c.fault)
			got := s.send(context.Background(), s.entries[0], callerRequest{path: c.path, key: testKey, stream: stream, body: "b"})
			if got.status != c.status {
				t.Fatalf("got status %d, error %v, want %d", got.status, got.err, c.status)
			}
			if n := s.runs(got.id); n != c.runs {
				t.Errorf("got %d runs, want %d", n, c.runs)
			}
			want := stand.BodyOf(got.id)
			if stream {
				want = s.fullStream(got.id)
			}
			switch c.body {
			case complete:
				if got.err != nil || got.body != want {
					t.Errorf("got body %q, error %v, want %q", got.body, got.err, want)
				}
			case incomplete:
				if got.err == nil || !strings.HasPrefix(want, got.body) || len(got.body) == len(want) {
					t.Errorf("got body %q, error %v, want a part and an error", got.body, got.err)
				}
			}
			if c.status == http.StatusOK && got.header.Get("Cactustide-Response-Signature") == "" {
				t.Error("got no signature, want the replica's")
			}
			for range 5 {
				next := s.send(context.Background(), s.entries[0], callerRequest{path: "/read/next", key: testKey})
				if next.status != http.StatusOK || next.body != stand.BodyOf(next.id) {
					t.Errorf("got %d %q after the fault, want the request's own response", next.status, next.body)
				}
			}
		})
	}
}

func TestEarlyResponse(t *testing.T) {
	s := newStack(t, 1)
	s.failFirst(stand.FaultEarlyResponse)
	got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: strings.Repeat("x", 900<<10)})
	if got.status != http.StatusInternalServerError {
		t.Errorf("got status %d, error %v, want the replica's 500", got.status, got.err)
	}
	for range 5 {
		next := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/next", key: testKey, body: "b"})
		if next.status != http.StatusOK || next.body != stand.BodyOf(next.id) {
			t.Errorf("got %d %q after an early response, want the request's own response", next.status, next.body)
		}
	}
}

func TestCallerDisconnects(t *testing.T) {
	for name, path := range map[string]string{"plain": "/book/a", "stream": "/chat/a"} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			s.failFirst(stand.FaultNoResponse)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			s.send(ctx, s.entries[0], callerRequest{path: path, key: testKey, stream: path == "/chat/a"})
			disconnectedAt := time.Now()
			waitFor(t, "the replica detects that the caller disconnected", func() bool {
				for _, r := range s.replicas {
					for _, run := range r.ExecutedRequests() {
						if run.CallerDisconnected {
							return true
						}
					}
				}
				return false
			})
			if elapsed := time.Since(disconnectedAt); elapsed > 400*time.Millisecond {
				t.Errorf("got %v until the replica detected it, want below 400ms", elapsed)
			}
		})
	}
}

func TestTimeout(t *testing.T) {
	s := newStack(t, 1)
	s.failFirst(stand.FaultNoResponse)
	start := time.Now()
	got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey})
	if elapsed := time.Since(start); got.status != http.StatusGatewayTimeout || elapsed > 2250*time.Millisecond {
		t.Errorf("got status %d after %v, want 504 at the route's 2s", got.status, elapsed)
	}
}

func TestDrain(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	for _, r := range s.replicas {
		r.EventGap = 120 * time.Millisecond
	}
	got := make(chan callerResponse, 1)
	go func() {
		got <- s.send(context.Background(), e, callerRequest{path: "/chat/a", key: testKey, stream: true})
	}()
	waitFor(t, "the stream runs", func() bool { return len(s.replicas[0].ExecutedRequests())+len(s.replicas[1].ExecutedRequests()) > 0 })
	done := make(chan struct{})
	go func() {
		e.Drain(5 * time.Second)
		close(done)
	}()
	waitFor(t, "not ready", func() bool { return !s.isReady(e) })
	during := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey})
	if during.status != http.StatusOK || during.header.Get("Connection") != "close" && during.header.Get("Connection") != "" {
		t.Errorf("got status %d while the load balancer may still send, want 200", during.status)
	}
	a := <-got
	if a.err != nil || a.body != s.fullStream(a.id) {
		t.Errorf("got body %q, error %v, want the complete stream", a.body, a.err)
	}
	<-done
	e.Close()
	e.closed = true
}

func TestConfigVersions(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	status := func() int {
		return s.send(context.Background(), e, callerRequest{path: "/new/a", key: testKey}).status
	}
	added := append([]stand.Route{{Host: testHost, Prefix: "/new/", Kind: "idempotent", Service: "desk", Timeout: time.Second, MaxAttempts: 1}}, testRoutes...)
	s.store.Put("op/config", testConfig(5, added))
	waitFor(t, "the new route", func() bool { return status() == http.StatusOK })
	s.store.Put("op/config", testConfig(3, testRoutes))
	s.store.Put("op/config", []byte("{not json"))
	time.Sleep(200 * time.Millisecond)
	if got := status(); got != http.StatusOK {
		t.Errorf("got status %d after an older and an invalid version, want 200", got)
	}
	s.store.Compact()
	s.store.Put("op/config", testConfig(6, testRoutes))
	waitFor(t, "the route is dropped", func() bool { return status() == http.StatusNotFound })
}

func TestDrainingUpstream(t *testing.T) {
	s := newStack(t, 1)
	e := s.entries[0]
	draining := s.replicas[0]
	s.store.Put(draining.StoreKey(), draining.Registration("draining"))
	time.Sleep(200 * time.Millisecond)
	before := len(draining.ExecutedRequests())
	for range 20 {
		if got := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey}); got.status != http.StatusOK {
			t.Errorf("got status %d, want 200", got.status)
		}
	}
	if got := len(draining.ExecutedRequests()) - before; got != 0 {
		t.Errorf("got %d requests at a draining upstream, want 0", got)
	}
}

// TestRelay: one entry cannot reach the store while the operator changes the
// configuration and an upstream drains. The entry must get both from its peers.
func TestRelay(t *testing.T) {
	s := newStack(t, 3)
	cutEntry := s.entries[2]
	waitFor(t, "entries see each other", func() bool {
		for _, e := range s.entries {
			if e.AliveEntries() != 3 {
				return false
			}
		}
		return true
	})
	cutEntry.storeCut.Store(true)
	time.Sleep(150 * time.Millisecond)
	added := append([]stand.Route{{Host: testHost, Prefix: "/new/", Kind: "idempotent", Service: "desk", Timeout: time.Second, MaxAttempts: 1}}, testRoutes...)
	s.store.Put("op/config", testConfig(7, added))
	s.store.Put(s.replicas[0].StoreKey(), s.replicas[0].Registration("draining"))
	start := time.Now()
	waitFor(t, "the version reaches the entry without the store", func() bool {
		return s.send(context.Background(), cutEntry, callerRequest{path: "/new/a", key: testKey}).status == http.StatusOK
	})
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("got %v, want below 2s", elapsed)
	}
	time.Sleep(700 * time.Millisecond)
	before := len(s.replicas[0].ExecutedRequests())
	for range 20 {
		s.send(context.Background(), cutEntry, callerRequest{path: "/read/a", key: testKey})
	}
	if got := len(s.replicas[0].ExecutedRequests()) - before; got != 0 {
		t.Errorf("got %d requests at a draining upstream, want 0", got)
	}
	offline := s.newEntry(3)
	offline.storeCut.Store(true)
	waitFor(t, "an entry without the store starts from its peers", func() bool { return s.isReady(offline) })
}

// TestRawRequests sends bytes that an HTTP client library would not send.
func TestRawRequests(t *testing.T) {
	s := newStack(t, 1)
	head := func(id, more string) string {
		return fmt.Sprintf("POST /book/a HTTP/1.1\r\nHost: %s\r\nCactustide-Request-Id: %s\r\nAuthorization: Bearer %s\r\n%s\r\n", testHost, id, testKey, more)
	}
	inner := head("smuggled", "Content-Length: 1\r\n") + "x"
	cases := map[string]struct {
		send string
		runs map[string]int
	}{
		"both lengths": {
			head("raw1", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(inner))) + "0\r\n\r\n" + inner,
			map[string]int{"smuggled": 0},
		},
		"two lengths":             {head("raw2", "Content-Length: 1\r\nContent-Length: 2\r\n") + "xy", map[string]int{"raw2": 0}},
		"chunk size is no number": {head("raw3", "Transfer-Encoding: chunked\r\n") + "zz\r\nx\r\n0\r\n\r\n", map[string]int{"raw3": 0}},
		"chunk cut":               {head("raw4", "Transfer-Encoding: chunked\r\n") + "5\r\nab", map[string]int{"raw4": 0}},
		"unknown coding":          {head("raw5", "Transfer-Encoding: gzip\r\n") + "x", map[string]int{"raw5": 0}},
		"pipelined":               {head("raw6", "Content-Length: 1\r\n") + "x" + head("raw7", "Content-Length: 1\r\n") + "y", map[string]int{"raw6": 1, "raw7": 1}},
		"chunked":                 {head("raw8", "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n", map[string]int{"raw8": 1}},
		"space before the colon":  {head("raw9", "X-A : b\r\nContent-Length: 1\r\n") + "x", map[string]int{"raw9": 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.entries[0].settings.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, c.send); err != nil {
				t.Fatal(err)
			}
			// A caller that closes its side counts as disconnected, and its request may not run.
			if tcp, ok := conn.(*net.TCPConn); ok && !expectsRuns(c.runs) {
				if err := tcp.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			for {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					break
				}
			}
			for id, want := range c.runs {
				if got := s.runs(id); got != want {
					t.Errorf("got %d runs of %s, want %d", got, id, want)
				}
			}
		})
	}
}

func expectsRuns(runs map[string]int) bool {
	for _, n := range runs {
		if n > 0 {
			return true
		}
	}
	return false
}

// TestResumeFails: a stream that ended early and cannot be resumed must never look
// complete, whatever the next upstream responds.
func TestResumeFails(t *testing.T) {
	for name, second := range map[string]stand.Fault{"failed": stand.FaultServerError, "reset": stand.FaultReset, "refused": stand.FaultRefuse, "garbage": stand.FaultGarbage} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			var requests atomic.Int64
			for _, r := range s.replicas {
				r.SetFault(func(string) stand.Fault {
					if requests.Add(1) == 1 {
						return stand.FaultTruncate
					}
					return second
				})
			}
			got := s.send(context.Background(), s.entries[0], callerRequest{path: "/draft/a", key: testKey, stream: true})
			if got.status != http.StatusOK || got.err == nil || !strings.HasPrefix(s.fullStream(got.id), got.body) {
				t.Errorf("got status %d, body %q, error %v, want an incomplete stream and an error", got.status, got.body, got.err)
			}
		})
	}
}
