package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// rateLoad is a load on all entries beside which an upstream names a rate.
type rateLoad struct {
	stack *testStack
	mu    sync.Mutex
	// entryOf holds the entry of each request, toldAt when an entry had passed on a response
	// that names a rate, by entry.
	entryOf  map[string]int
	toldAt   map[int]time.Time
	statuses map[int]int
	group    sync.WaitGroup
	stop     chan struct{}
}

// startLoad sends requests at a rate to each of the entries until stop is closed.
func startLoad(s *testStack, entries []int, perSecond float64, path string) *rateLoad {
	l := &rateLoad{stack: s, entryOf: map[string]int{}, toldAt: map[int]time.Time{}, statuses: map[int]int{}, stop: make(chan struct{})}
	for _, i := range entries {
		l.group.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
					l.group.Go(func() { l.send(i, path) })
				}
			}
		})
	}
	return l
}

func (l *rateLoad) send(entry int, path string) {
	got := l.stack.send(context.Background(), l.stack.entries[entry], callerRequest{path: path, key: testKey, body: "x"})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryOf[got.id] = entry
	l.statuses[got.status]++
	if _, told := l.toldAt[entry]; !told && got.header.Get("Server-Limit") != "" {
		l.toldAt[entry] = time.Now()
	}
}

// arrivals returns when requests reached a replica after a time, from entries that had
// passed on a response with a rate half a second before.
func (l *rateLoad) arrivals(r *stand.Replica, after time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []time.Time
	for _, a := range r.Arrivals() {
		entry, sent := l.entryOf[a.ID]
		told, ok := l.toldAt[entry]
		if sent && ok && a.At.After(after) && a.At.Sub(told) >= 500*time.Millisecond {
			list = append(list, a.At)
		}
	}
	return list
}

func (l *rateLoad) close() {
	close(l.stop)
	l.group.Wait()
}

// TestNamedRate guards against entries that together send an upstream more than the rate that
// it names: in any 4 s one and a half times that and 5 requests, counted from 3 s after it
// first did. The service's other upstream takes the rest without a refusal.
func TestNamedRate(t *testing.T) {
	for name, rate := range map[string]float64{"0.4 a second": 0.4, "1 a second": 1, "3.3 a second": 3.3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 4)
			limited := s.replicas[0]
			load := startLoad(s, []int{0, 1, 2, 3}, 16, "/book/a")
			time.Sleep(500 * time.Millisecond)
			limited.SetRate(strconv.FormatFloat(rate, 'f', -1, 64))
			namedAt := time.Now()
			time.Sleep(3*time.Second + 2*stand.RateWindow)
			load.close()
			got, end := stand.MostArrivals(load.arrivals(limited, namedAt.Add(3*time.Second)))
			if allowed := stand.AllowedArrivals(rate); float64(got) > allowed {
				t.Errorf("got %d requests in the 4 s before %v, want at most %.1f", got, end.Sub(namedAt).Round(time.Millisecond), allowed)
			}
			for status, n := range load.statuses {
				if status != http.StatusOK {
					t.Errorf("got status %d for %d requests, want 200 from the other upstream", status, n)
				}
			}
		})
	}
}

// TestLimitedAlone guards against requests that hang or are refused without need where the only
// upstream names a rate: each is served or gets a 503 with Retry-After and has not reached the
// upstream, and all are served again within 3 s after the limit has ended.
func TestLimitedAlone(t *testing.T) {
	const rate = 4
	s := newStack(t, 3)
	s.store.Delete("servers/u-1")
	only := s.replicas[0]
	waitFor(t, "one upstream", func() bool { return len(s.status(s.entries[2]).GetUpstreams()) == 1 })
	only.SetRate(strconv.Itoa(rate))
	load := startLoad(s, []int{0, 1, 2}, 10, "/book/a")
	defer func() {
		select {
		case <-load.stop:
		default:
			load.close()
		}
	}()
	time.Sleep(2 * time.Second)
	begin := time.Now()
	before := len(only.Arrivals())
	time.Sleep(5 * time.Second)
	used := float64(len(only.Arrivals())-before) / rate / time.Since(begin).Seconds()
	if used < 0.6 || used > 1.1 {
		t.Errorf("got %.2f of the rate used, want 0.6 to 1", used)
	}
	refused := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: "x"})
	for range 50 {
		if refused.status == http.StatusServiceUnavailable {
			break
		}
		refused = s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: "x"})
	}
	if after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64); refused.status != http.StatusServiceUnavailable || err != nil || after > 1.3 {
		t.Errorf("got status %d with Retry-After %q beyond the rate, want 503 and a time until the next turn", refused.status, refused.header.Get("Retry-After"))
	}
	for _, a := range only.Arrivals() {
		if a.ID == refused.id {
			t.Error("got the refused request at the upstream, want it nowhere")
		}
	}
	only.SetRate("")
	waitFor(t, "the end is known to all", func() bool {
		for _, e := range s.entries {
			if s.status(e).GetUpstreams()[0].GetRate().GetRate() != 0 {
				return false
			}
		}
		return true
	})
	for i := range s.entries {
		for range 5 {
			if got := s.send(context.Background(), s.entries[i], callerRequest{path: "/book/a", key: testKey, body: "x"}); got.status != http.StatusOK {
				t.Errorf("got status %d after the end of the limit, want 200", got.status)
			}
		}
	}
	load.close()
	for status := range load.statuses {
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("got status %d, want 200 or 503", status)
		}
	}
}

// TestRateTexts: each text in the header has one meaning, and one that is no rate changes
// nothing.
func TestRateTexts(t *testing.T) {
	tests := map[string]struct {
		text string
		// want is the rate that is kept; 0 for none.
		want float64
	}{
		"number": {"2.5", 2.5}, "zero": {"0", 0.1}, "tiny": {"1e-9", 0.1}, "huge": {"1e12", 0}, "NaN": {"NaN", 0},
		"negative": {"-4", 0}, "text": {"few", 0}, "two fields": {"3\r\nServer-Limit: 4", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
				_, err := io.WriteString(c, withHeader(rawBody(requestID(q)), "Server-Limit: "+test.text+"\r\n"))
				return err == nil
			})
			s.replaceUpstreams("a-limited", u.listener.Addr().String())
			if got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: "x"}); got.status != http.StatusOK {
				t.Fatalf("got status %d, want 200", got.status)
			}
			if got := s.status(s.entries[0]).GetUpstreams()[0].GetRate().GetRate(); got != test.want {
				t.Errorf("got rate %v, want %v", got, test.want)
			}
			// A new process under the same id starts without a limit.
			s.put("a-limited", u.listener.Addr().String(), 1, 2)
			waitFor(t, "the new process", func() bool { return s.status(s.entries[0]).GetUpstreams()[0].GetRate() == nil })
		})
	}
}

// TestLimitOutlivesFaults guards against a limit that ends by a response that is not the
// upstream's own word: a refusal by another process, or a failure without its signature.
func TestLimitOutlivesFaults(t *testing.T) {
	const named = "Server-Limit: 50\r\n"
	tests := map[string]struct {
		response func(id string) string
		ends     bool
	}{
		"success": {response: rawBody, ends: true},
		"refusal": {response: rawRefusal, ends: true},
		"unsigned failure": {response: func(id string) string {
			return "HTTP/1.1 500 no\r\nCactustide-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}},
		"another process": {response: func(id string) string { return strings.Replace(rawRefusal(id), "503", "421", 1) }},
		"without an id":   {response: func(string) string { return "HTTP/1.1 502 no\r\nContent-Length: 0\r\n\r\n" }},
		"no response":     {response: func(string) string { return "\x00\r\n\r\n" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			var faulty atomic.Bool
			u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
				text := withHeader(rawBody(requestID(q)), named)
				if faulty.Load() {
					text = test.response(requestID(q))
				}
				_, err := io.WriteString(c, text)
				return err == nil
			})
			s.replaceUpstreams("a-limited", u.listener.Addr().String())
			request := callerRequest{path: "/book/a", key: testKey, body: "x"}
			s.send(context.Background(), s.entries[0], request)
			faulty.Store(true)
			sent := len(u.received())
			waitFor(t, "a request with the faulty response", func() bool {
				s.send(context.Background(), s.entries[0], request)
				return len(u.received()) > sent
			})
			got := s.status(s.entries[0]).GetUpstreams()[0].GetRate().GetRate()
			if ended := got == 0; ended != test.ends {
				t.Errorf("got rate %v, want the limit ended: %v", got, test.ends)
			}
		})
	}
}
