package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

const deadlyPath = "/book/deadly"

// addDeadly adds replicas up to n, or takes some away, and makes all of them crash on
// deadlyPath.
func (s *testStack) addDeadly(n int, downtime time.Duration) {
	s.t.Helper()
	s.addCrashing(n)
	for _, r := range s.replicas {
		r.SetDeadly(deadlyPath, downtime, func() { s.store.Put(r.StoreKey(), r.Registration("ready")) })
	}
}

// deadlyArrivals returns when requests to deadlyPath reached replicas, in order.
func (s *testStack) deadlyArrivals() []time.Time {
	var times []time.Time
	for _, r := range s.replicas {
		for _, x := range r.ExecutedRequests() {
			if x.RequestURI == deadlyPath {
				times = append(times, x.Started)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// TestDeadlyRequest guards against a request that is never refused although it crashes every
// upstream that runs it: where it comes to one entry after the other and no other request
// finds the closed port, and where upstreams come back under their ids. After the third crash
// at most three more may reach upstreams, and other requests must be served.
func TestDeadlyRequest(t *testing.T) {
	const sends = 14
	tests := map[string]struct {
		entries, replicas int
		downtime          time.Duration
		others            bool
		// restart starts the entry that gets the next request anew after the third crash.
		restart bool
		// bytes is how much of a large body comes before the crash.
		bytes int
	}{
		"rare, four entries":           {entries: 4, replicas: 16, downtime: time.Minute},
		"rare, ids come back":          {entries: 4, replicas: 3, downtime: 150 * time.Millisecond},
		"two upstreams, ids come back": {entries: 1, replicas: 2, downtime: 150 * time.Millisecond},
		"beside others":                {entries: 4, replicas: 2, downtime: 150 * time.Millisecond, others: true},
		"entries restart":              {entries: 2, replicas: 16, downtime: time.Minute, restart: true},
		"within a large body":          {entries: 2, replicas: 3, downtime: 150 * time.Millisecond, bytes: 400 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, test.entries)
			s.addDeadly(test.replicas, test.downtime)
			for _, r := range s.replicas {
				r.CrashBytes = test.bytes
			}
			done := make(chan struct{})
			var sending sync.WaitGroup
			if test.others {
				for i := range test.entries {
					sending.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-done:
								return
							case <-time.After(20 * time.Millisecond):
							}
							s.send(context.Background(), s.entry(i), callerRequest{path: fmt.Sprintf("/read/%d-%d", i, n), key: testKey})
						}
					})
				}
			}
			var last callerResponse
			restarted := false
			for i := range sends {
				if test.restart && !restarted && len(s.crashTimes()) >= 3 {
					restarted = true
					s.restartEntry(i % test.entries)
					time.Sleep(time.Second) // Its peers send what they know when they see it.
				}
				last = s.send(context.Background(), s.entry(i%test.entries), callerRequest{path: deadlyPath, key: testKey, body: "deadly"})
				time.Sleep(400 * time.Millisecond)
			}
			close(done)
			sending.Wait()
			crashes, late := s.crashTimes(), 0
			if len(crashes) < 3 {
				t.Fatalf("got %d crashes, want three", len(crashes))
			}
			for _, at := range s.deadlyArrivals() {
				if at.After(crashes[2]) {
					late++
				}
			}
			if late > 3 {
				t.Errorf("got %d requests at upstreams after the third crash, want at most 3", late)
			}
			if last.status != http.StatusServiceUnavailable {
				t.Errorf("got status %d, want 503", last.status)
			}
			if got := s.send(context.Background(), s.entry(0), callerRequest{path: "/book/other", key: testKey, body: "deadly"}); got.status != http.StatusOK {
				t.Errorf("got status %d for another request, want 200", got.status)
			}
		})
	}
}

// TestHarmlessRequest guards against a request that many send in the same form being refused
// because upstreams crash for other reasons while it runs: at most a few may be lost at each
// crash, and none may be refused as one that crashes upstreams.
func TestHarmlessRequest(t *testing.T) {
	const (
		downtime = 200 * time.Millisecond
		// minRequests is the number of requests without which the share says nothing.
		minRequests = 50
	)
	tests := map[string]struct {
		path string
		// together crashes three replicas at a time.
		together bool
		// deadly also sends a request that crashes replicas.
		deadly bool
	}{
		"one after the other":    {path: "/read/page"},
		"non-idempotent":         {path: "/book/page"},
		"together":               {path: "/book/page", together: true},
		"beside a deadly one":    {path: "/book/page", deadly: true},
		"stream":                 {path: "/chat/page"},
		"resumable, deadly, too": {path: "/draft/page", deadly: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 2)
			s.addDeadly(8, downtime)
			stream := test.path == "/chat/page" || test.path == "/draft/page"
			for _, r := range s.replicas {
				r.Latency = 40 * time.Millisecond
			}
			done := make(chan struct{})
			var sending sync.WaitGroup
			var mu sync.Mutex
			statuses := map[int]int{}
			for i := range 8 {
				sending.Go(func() {
					for {
						select {
						case <-done:
							return
						case <-time.After(5 * time.Millisecond):
						}
						got := s.send(context.Background(), s.entry(i%2), callerRequest{
							path: test.path, key: testKey, body: "page", stream: stream, header: map[string]string{"Cactustide-Prompt-Prefix": prefixOf(stream)},
						})
						mu.Lock()
						statuses[got.status]++
						mu.Unlock()
					}
				})
			}
			for i := range 12 {
				time.Sleep(250 * time.Millisecond)
				for j := range 3 {
					if j == 0 || test.together {
						go s.replicas[(3*i+j)%len(s.replicas)].Crash()
					}
				}
				if test.deadly {
					s.send(context.Background(), s.entry(i%2), callerRequest{path: deadlyPath, key: testKey, body: "deadly"})
				}
			}
			time.Sleep(300 * time.Millisecond)
			close(done)
			sending.Wait()
			total := 0
			for _, n := range statuses {
				total += n
			}
			if got := statuses[http.StatusOK]; total < minRequests || got < total*8/10 {
				t.Errorf("got %v, want at least 8 in 10 served", statuses)
			}
			if crashes := len(s.crashTimes()); crashes < 10 {
				t.Errorf("got %d crashes, want at least 10", crashes)
			}
		})
	}
}

func prefixOf(stream bool) string {
	if stream {
		return "aa:60,page:40"
	}
	return ""
}
