package direct_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactustide/direct"
	"cactustide/platform/stand"
)

const leavingHeader = "Server-Leaving: 1\r\n"

// withHeader adds a header to a raw response.
func withHeader(response, header string) string {
	return strings.Replace(response, "\r\n", "\r\n"+header, 1)
}

// TestLeavingResponse guards against requests to an upstream that says in a response of any
// kind that it is leaving: none is sent to that process any more, whatever the store says
// and whether it can be reached, by the entry that got the response and soon by the others.
func TestLeavingResponse(t *testing.T) {
	stream := func(id string) string {
		return "HTTP/1.1 200 OK\r\nCactustide-Request-Id: " + id + "\r\nCactustide-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: " +
			strconv.Itoa(len(stand.EventOf(id, 1))) + "\r\n\r\n" + stand.EventOf(id, 1)
	}
	failed := func(id string) string {
		return "HTTP/1.1 500 x\r\nCactustide-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		path     string
		response func(id string) string
	}{
		"success":             {path: "/book/a", response: rawBody},
		"stream":              {path: "/chat/a", response: stream},
		"refusal":             {path: "/book/a", response: rawRefusal},
		"error":               {path: "/book/a", response: failed},
		"another id":          {path: "/book/a", response: func(id string) string { return withHeader(rawRefusal("earlier"), leavingHeader) + rawBody(id) }},
		"error, tried again":  {path: "/read/a", response: failed},
		"cut after the head":  {path: "/book/a", response: func(id string) string { return rawBody(id)[:len(rawBody(id))-4] }},
		"cut within a stream": {path: "/draft/a", response: func(id string) string { return stream(id)[:len(stream(id))-4] }},
	}
	for name, test := range tests {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, store cut %v", name, cut), func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 2)
				leaves := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
					text := test.response(requestID(q))
					_, err := io.WriteString(c, withHeader(text, leavingHeader))
					return err == nil && !strings.HasPrefix(name, "cut")
				})
				stays := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
					id := requestID(q)
					text := rawBody(id)
					if q.Header.Get("Cactustide-Model") != "" {
						text = stream(id)
					}
					_, err := io.WriteString(c, text)
					return err == nil
				})
				s.replaceUpstreams("a-leaves", leaves.listener.Addr().String())
				waitFor(t, "the second entry follows", func() bool {
					_, text := s.get(t, s.entries[1], direct.PathStatus)
					return strings.Contains(text, `"a-leaves"`) && !strings.Contains(text, s.replicas[0].ID)
				})
				request := callerRequest{path: test.path, key: testKey, body: "x", stream: strings.HasPrefix(test.path, "/chat") || strings.HasPrefix(test.path, "/draft")}
				for _, e := range s.entries {
					e.storeCut.Store(cut)
				}
				s.send(context.Background(), s.entries[0], request)
				sent := len(leaves.received())
				if sent != 1 {
					t.Fatalf("got %d requests at the only upstream, want 1", sent)
				}
				for range 5 {
					if got := s.send(context.Background(), s.entries[0], request); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
						t.Errorf("got status %d from the entry, want 503 with Retry-After: its only upstream is leaving", got.status)
					}
				}
				waitFor(t, "the peer knows", func() bool {
					_, text := s.get(t, s.entries[1], direct.PathStatus)
					return strings.Contains(text, `"leaving":"peer"`)
				})
				s.send(context.Background(), s.entries[1], request)
				if got := len(leaves.received()); got != sent {
					t.Errorf("got %d more requests at the leaving upstream, want none", got-sent)
				}
				if cut {
					return
				}
				s.register("b-stays", stays.listener.Addr().String())
				// A registration of the same process, equal or newer, does not end it.
				s.put("a-leaves", leaves.listener.Addr().String(), 5, 1)
				time.Sleep(300 * time.Millisecond)
				s.send(context.Background(), s.entries[0], request)
				if got := len(leaves.received()); got != sent {
					t.Errorf("got %d more requests after a registration of the same process, want none", got-sent)
				}
				s.put("a-leaves", leaves.listener.Addr().String(), 1, 2)
				s.store.Delete("servers/b-stays")
				waitFor(t, "requests to the new process", func() bool {
					s.send(context.Background(), s.entries[0], request)
					return len(leaves.received()) > sent
				})
			})
		}
	}
}

// TestPausedUpstream guards against requests to an upstream that refused one with the time
// for which it wants no others.
func TestPausedUpstream(t *testing.T) {
	const slack = 30 * time.Millisecond
	tests := map[string]struct {
		after string
		// status of the refusal; 0 means 503.
		status int
		// pause is how long no request may arrive, others for how many requests to send.
		pause time.Duration
		path  string
	}{
		"a second":          {after: "1", pause: time.Second, path: "/book/a"},
		"429":               {after: "1", status: http.StatusTooManyRequests, pause: time.Second, path: "/book/a"},
		"a fraction":        {after: "0.7", pause: 700 * time.Millisecond, path: "/book/a"},
		"resent by entry":   {after: "1.0", pause: time.Second, path: "/read/a"},
		"very long":         {after: "1e300", pause: 1500 * time.Millisecond, path: "/book/a"},
		"not a number":      {after: "soon", path: "/book/a"},
		"NaN":               {after: "NaN", path: "/book/a"},
		"negative":          {after: "-3", path: "/book/a"},
		"a date":            {after: "Sat, 05 Dec 2026 06:00:00 GMT", path: "/book/a"},
		"nothing":           {after: "", path: "/book/a"},
		"zero":              {after: "0", path: "/book/a"},
		"shorter than wait": {after: "0.15", pause: 150 * time.Millisecond, path: "/book/a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			var refusedAt time.Time
			var early, later int
			u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
				if refusedAt.IsZero() {
					refusedAt = time.Now()
					refusal := withHeader(rawRefusal(requestID(q)), "Retry-After: "+test.after+"\r\n")
					if test.status != 0 {
						refusal = strings.Replace(refusal, "503", strconv.Itoa(test.status), 1)
					}
					_, err := io.WriteString(c, refusal)
					return err == nil
				}
				if time.Since(refusedAt) < test.pause-slack {
					early++
				} else {
					later++
				}
				_, err := io.WriteString(c, rawBody(requestID(q)))
				return err == nil
			})
			s.replaceUpstreams("a-pauses", u.listener.Addr().String())
			first := s.send(context.Background(), s.entries[0], callerRequest{path: test.path, key: testKey, body: "x"})
			begin := time.Now()
			refused := 0
			for time.Since(begin) < min(test.pause, time.Second) {
				got := s.send(context.Background(), s.entries[0], callerRequest{path: test.path, key: testKey, body: "x"})
				switch got.status {
				case http.StatusOK:
				case http.StatusServiceUnavailable:
					refused++
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					if left := time.Until(refusedAt.Add(test.pause)).Seconds(); err != nil || test.pause <= time.Second && after > left+0.3 {
						t.Errorf("got Retry-After %q, want the rest of the pause, %.3f s", got.header.Get("Retry-After"), left)
					}
				default:
					t.Errorf("got status %d, want 200 or 503", got.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if early > 0 {
				t.Errorf("got %d requests within the pause, want none", early)
			}
			if test.pause >= time.Second && refused == 0 {
				t.Error("got no refusal within the pause, want some")
			}
			if name == "shorter than wait" && first.status != http.StatusOK {
				t.Errorf("got status %d for the refused request, want it served after the short pause", first.status)
			}
			if name != "very long" {
				waitFor(t, "requests after the pause", func() bool {
					s.send(context.Background(), s.entries[0], callerRequest{path: test.path, key: testKey, body: "x"})
					return later > 0
				})
			}
		})
	}
}
