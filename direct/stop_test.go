package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestPlannedStop guards against requests that a stopping entry takes late in its grace
// period and cuts off at the end of it. Callers go on sending until the entry is gone, as a
// load balancer does that has not noticed. Each request that reached an upstream gets an
// answer or an end that its caller can tell, and a refused one has not run.
func TestPlannedStop(t *testing.T) {
	tests := map[string]struct {
		path  string
		grace time.Duration
		// latency is the time that a plain request takes, gap that between two events.
		latency, gap time.Duration
		// served is set if requests that are taken before the entry refuses must be served.
		served bool
	}{
		"non-idempotent, 1 s":       {path: "/book/a", grace: time.Second, latency: 150 * time.Millisecond, served: true},
		"non-idempotent, 2 s":       {path: "/book/a", grace: 2 * time.Second, latency: 300 * time.Millisecond, served: true},
		"non-idempotent, 3 s":       {path: "/book/a", grace: 3 * time.Second, latency: 300 * time.Millisecond, served: true},
		"idempotent, 2 s":           {path: "/read/a", grace: 2 * time.Second, latency: 300 * time.Millisecond, served: true},
		"longer than the grace":     {path: "/book/a", grace: 2 * time.Second, latency: 1900 * time.Millisecond},
		"stream, 2 s":               {path: "/chat/a", grace: 2 * time.Second, gap: 40 * time.Millisecond, served: true},
		"resumable stream, 3 s":     {path: "/draft/a", grace: 3 * time.Second, gap: 60 * time.Millisecond, served: true},
		"stream longer than it, 2s": {path: "/chat/a", grace: 2 * time.Second, gap: 350 * time.Millisecond},
	}
	for name, test := range tests {
		// Not in parallel: the grace is in real time.
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			e := s.entries[0]
			for _, r := range s.replicas {
				r.Latency, r.EventGap, r.Slots = test.latency, test.gap, 64
			}
			stream := test.gap > 0
			done := make(chan struct{})
			var sending sync.WaitGroup
			var mu sync.Mutex
			var all []callerResponse
			for i := range 12 {
				sending.Go(func() {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					for {
						select {
						case <-done:
							return
						default:
						}
						got := s.send(context.Background(), e, callerRequest{path: test.path, key: testKey, body: "x", stream: stream})
						mu.Lock()
						all = append(all, got)
						mu.Unlock()
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			time.Sleep(600 * time.Millisecond) // The entry has learned how long requests take.
			began := time.Now()
			e.Drain(test.grace)
			e.Close()
			e.closed = true
			if took := time.Since(began); took > test.grace {
				t.Errorf("got a stop of %v, want it within the grace of %v", took, test.grace)
			}
			close(done)
			sending.Wait()
			unanswered, broken, served := 0, 0, 0
			for _, got := range all {
				runs := s.runs(got.id)
				switch {
				case got.status == 0 && runs > 0:
					unanswered++
				case got.status == http.StatusServiceUnavailable && runs > 0:
					t.Errorf("got 503 for a request that ran")
				case got.status == http.StatusOK && got.err != nil:
					broken++ // Its caller can tell: the stream looks cut.
				case got.status == http.StatusOK:
					served++
				case got.status != 0 && got.status != http.StatusServiceUnavailable && (test.served || got.status != http.StatusBadGateway):
					t.Errorf("got status %d, want 200 or 503", got.status)
				}
			}
			if unanswered > 0 {
				t.Errorf("got %d requests at upstreams and no answer to their callers, want none", unanswered)
			}
			if test.served && (broken > 0 || served == 0) {
				t.Errorf("got %d streams broken off and %d requests served, want none broken off and some served", broken, served)
			}
		})
	}
}

// TestHalfClosedCaller guards against an empty success for a caller that closes its sending
// side after a whole request: it gets its response, or the connection ends without one.
func TestHalfClosedCaller(t *testing.T) {
	s := newStack(t, 1)
	for _, r := range s.replicas {
		r.Latency = 100 * time.Millisecond
	}
	text := s.sendHalfClosed(s.entries[0], "POST /book/a HTTP/1.1\r\nHost: "+testHost+"\r\nAuthorization: Bearer "+testKey+
		"\r\nCactustide-Request-Id: half\r\nCactustide-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx")
	if strings.HasPrefix(text, "HTTP/1.1 2") && !strings.Contains(text, "Cactustide-Response-Signature") {
		t.Errorf("got %q, want the upstream's response or none", text)
	}
}

// sendHalfClosed sends the text, closes the sending side and returns what comes back.
func (s *testStack) sendHalfClosed(e *testEntry, text string) string {
	s.t.Helper()
	c, err := net.Dial("tcp", e.settings.Listen)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		s.t.Fatal(err)
	}
	got, _ := io.ReadAll(c) // A reset ends the response as well.
	return string(got)
}
