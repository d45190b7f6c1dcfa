package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// restartTogether ends the first n entries at the same time and starts them again.
func (s *testStack) restartTogether(n int) {
	s.t.Helper()
	var closing sync.WaitGroup
	for _, e := range s.entries[:n] {
		e.closed = true
		closing.Go(func() { e.Close() })
	}
	closing.Wait()
	for i := range n {
		s.entries[i] = s.newEntry(i)
	}
	for _, e := range s.entries[:n] {
		waitFor(s.t, "ready after a restart", func() bool { return s.isReady(e) })
	}
}

// TestRestartedTogether guards against entries that restart together and forget which request crashes
// upstreams, as each fetches it from another one that has just started (BUDGET).
func TestRestartedTogether(t *testing.T) {
	const entries = 9
	for _, restarted := range []int{0, 1, 2, 4, 5, 7, 8} {
		for name, pause := range map[string]time.Duration{"at once": 0, "1 s later": time.Second} {
			t.Run(fmt.Sprintf("%d restart, copies %s", restarted, name), func(t *testing.T) {
				t.Parallel()
				s := newStack(t, entries)
				s.addDeadly(12, crashDowntime)
				refused := false
				for i := 0; i < 12 && !refused; i++ {
					got := s.send(context.Background(), s.entries[i%entries], callerRequest{path: deadlyPath, key: testKey, body: "deadly"})
					refused = got.status == http.StatusServiceUnavailable && len(s.crashTimes()) >= 3
					time.Sleep(400 * time.Millisecond)
				}
				if !refused {
					t.Fatalf("got no refusal after %d crashes, want one", len(s.crashTimes()))
				}
				third := s.crashTimes()[2]
				time.Sleep(time.Second) // All entries have heard of it.
				s.restartTogether(restarted)
				time.Sleep(pause)
				var sending sync.WaitGroup
				for _, e := range s.entries {
					sending.Go(func() {
						s.send(context.Background(), e, callerRequest{path: deadlyPath, key: testKey, body: "deadly"})
					})
				}
				sending.Wait()
				late := 0
				for _, at := range s.deadlyArrivals() {
					if at.After(third) {
						late++
					}
				}
				if late > 3 {
					t.Errorf("got %d requests at upstreams after the third crash, want at most 3", late)
				}
			})
		}
	}
}
