package direct_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// memory returns the memory that an owner in an entry uses, and its bound, bytes.
func (s *testStack) memory(e *testEntry, owner string) (used, bound int64) {
	for _, m := range s.status(e).GetMemory() {
		if m.GetOwner() == owner {
			return m.GetUsed(), m.GetBound()
		}
	}
	s.t.Errorf("got no memory of %s in the status", owner)
	return 0, 0
}

// upload sends a body of a number of pieces, with a pause between two, and returns the
// status line; it is empty if there was none.
func (s *testStack) upload(e *testEntry, id string, pieces, pieceBytes int, pause time.Duration, chunked bool) string {
	c, err := net.Dial("tcp", e.settings.Listen)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", pieces*pieceBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = io.WriteString(c, "POST /slow/a HTTP/1.1\r\nHost: "+testHost+"\r\nAuthorization: Bearer "+testKey+
		"\r\nCactustide-Request-Id: "+id+"\r\nCactustide-Deadline-Ms: 9000\r\n"+framing+"\r\n\r\n")
	piece := strings.Repeat("x", pieceBytes)
	for range pieces {
		text := piece
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, piece)
		}
		if _, err := io.WriteString(c, text); err != nil {
			break // The entry has refused it.
		}
		time.Sleep(pause)
	}
	if chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n") // As above.
	}
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, line); err != nil {
		return ""
	}
	return string(line)
}

// TestBodyMemory guards against bodies that fill the memory of an entry: whether their length
// is known or not, what is held stays within the bound, the surplus is refused unrun, small
// requests are served meanwhile, and nothing is held afterwards.
func TestBodyMemory(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprintf("chunked=%v", chunked), func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: 1, memoryBytes: 32 << 20})
			s.addSlowRoute()
			e := s.entries[0]
			var uploads sync.WaitGroup
			var mu sync.Mutex
			statuses := map[string]int{}
			for i := range 60 {
				uploads.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					id := fmt.Sprintf("upload-%d", i)
					got := s.upload(e, id, 14, 64<<10, 60*time.Millisecond, chunked)
					if runs := s.runs(id); got != "HTTP/1.1 200" && runs > 0 {
						t.Errorf("got %q for a body whose request ran %d times", got, runs)
					}
					mu.Lock()
					statuses[got]++
					mu.Unlock()
				})
			}
			var done atomic.Bool
			var small sync.WaitGroup
			small.Go(func() {
				for !done.Load() {
					if got := s.send(context.Background(), e, callerRequest{path: "/book/a", key: testKey, body: strings.Repeat("x", 20<<10)}); got.status != http.StatusOK {
						t.Errorf("got status %d for a small body beside large ones, want 200", got.status)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
			var most int64
			small.Go(func() {
				for !done.Load() {
					used, bound := s.memory(e, "bodies")
					if most = max(most, used); used > bound {
						t.Errorf("got %d bytes held, want at most %d", used, bound)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			uploads.Wait()
			done.Store(true)
			small.Wait()
			if statuses["HTTP/1.1 200"] < 4 || statuses["HTTP/1.1 503"] < 10 {
				t.Errorf("got %v, want some served and the surplus refused with 503", statuses)
			}
			if most < 4<<20 {
				t.Errorf("got at most %d bytes held, want the uploads to be counted as they arrive", most)
			}
			waitFor(t, "all memory released", func() bool { used, _ := s.memory(e, "bodies"); return used == 0 })
		})
	}
}

// TestStalledBody guards against a body that makes no progress keeping its place: it is
// refused with 408 and its memory is free again.
func TestStalledBody(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprintf("chunked=%v", chunked), func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			s.addSlowRoute()
			e := s.entries[0]
			begin := time.Now()
			got := s.upload(e, "stalled", 3, 64<<10, 6*time.Second, chunked)
			if got != "HTTP/1.1 408" {
				t.Errorf("got %q after %v, want 408", got, time.Since(begin))
			}
			if used, _ := s.memory(e, "bodies"); used != 0 {
				t.Errorf("got %d bytes held after the refusal, want none", used)
			}
			if runs := s.runs("stalled"); runs != 0 {
				t.Errorf("got %d runs, want none", runs)
			}
		})
	}
}

// TestResponseMemory guards against responses that are read before they are passed on filling
// the memory of an entry: above the bound they are passed on as they arrive, all of them whole.
func TestResponseMemory(t *testing.T) {
	const size = 200 << 10
	s := newStackOf(t, stackOptions{entries: 1, memoryBytes: 8 << 20})
	u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nCactustide-Request-Id: "+requestID(q)+"\r\nCactustide-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			if err == nil {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", size/4, strings.Repeat("x", size/4))
			}
		}
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return err == nil
	})
	s.replaceUpstreams("a-chunks", u.listener.Addr().String())
	s.addSlowRoute()
	e := s.entries[0]
	var sending sync.WaitGroup
	done := make(chan struct{})
	for range 30 {
		sending.Go(func() {
			if got := s.send(context.Background(), e, callerRequest{path: "/slow/a", key: testKey, body: "x"}); got.status != http.StatusOK || len(got.body) != size || got.err != nil {
				t.Errorf("got status %d, %d bytes, error %v, want the whole response", got.status, len(got.body), got.err)
			}
		})
	}
	go func() {
		sending.Wait()
		close(done)
	}()
	var most int64
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Millisecond):
		}
		used, bound := s.memory(e, "responses")
		if most = max(most, used); used > bound {
			t.Errorf("got %d bytes held, want at most %d", used, bound)
		}
	}
	// The bound allows four; a look may come when some of them have just ended.
	if most < 2*size {
		t.Errorf("got at most %d bytes held, want several responses", most)
	}
	waitFor(t, "all memory released", func() bool { used, _ := s.memory(e, "responses"); return used == 0 })
}

// addSlowRoute adds a route whose requests may take long to arrive.
func (s *testStack) addSlowRoute() {
	s.t.Helper()
	slow := stand.Route{Host: testHost, Prefix: "/slow/", Kind: "non_idempotent", Service: "desk", Timeout: 10 * time.Second, MaxAttempts: 1}
	s.store.Put("op/config", testConfig(2, append([]stand.Route{slow}, testRoutes...)))
	for _, e := range s.entries {
		waitFor(s.t, "the slow route", func() bool { return s.hasVersion(e, 2) })
	}
}
