package direct_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
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
