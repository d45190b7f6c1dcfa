package tests

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/fakes"
)

// TestCrashingRequest resends a request that crashes each engine running it, every
// second to either entry, beside healthy streams. The request must be quarantined,
// and every healthy one served within five attempts.
func TestCrashingRequest(t *testing.T) {
	s := newStack(t, stackOptions{
		entries: 2, engines: 10, slots: 8, queue: 256, edit: setLongWaits,
		engine: fakes.EngineOptions{TimePerToken: 3 * time.Millisecond, Prefill: 5 * time.Millisecond, Downtime: 500 * time.Millisecond},
	})
	done := make(chan struct{})
	var healthy, failedAttempts, neverServed atomic.Int64
	var wg sync.WaitGroup
	for c := range 20 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				content := fmt.Sprintf("innocent %d %d tokens=40 ", c, i)
				// Callers resend failed requests; one that is never served
				// fails the test.
				served := false
				for range 5 {
					resp, err := s.openStream(context.Background(), s.entries[i%2], eisklangKey, "question", content)
					if err != nil {
						continue
					}
					got, complete := readStream(resp)
					_ = resp.Body.Close()
					if complete && got == fakes.ExpectedOutput(content) {
						served = true
						break
					}
					failedAttempts.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
				if served {
					healthy.Add(1)
				} else {
					neverServed.Add(1)
				}
			}
		})
	}
	quarantined := 0
	for i := range 8 {
		r := s.sendChat(s.entries[i%2], "this one will crash it", true, 5*time.Second)
		if r.status == http.StatusUnprocessableEntity && r.execution == "none" {
			quarantined++
		}
		time.Sleep(time.Second)
	}
	close(done)
	wg.Wait()
	crashes := 0
	for _, e := range s.engines {
		crashes += e.Crashes()
	}
	t.Logf("%d crashes, %d times quarantined, %d healthy requests served, %d attempts failed", crashes, quarantined, healthy.Load(), failedAttempts.Load())
	if crashes > 2 {
		t.Errorf("got %d crashes, want at most 2", crashes)
	}
	if quarantined < 5 {
		t.Errorf("got %d of 8 resends quarantined, want at least 5", quarantined)
	}
	if neverServed.Load() != 0 {
		t.Errorf("got %d healthy requests never served, want none", neverServed.Load())
	}
}

// TestOutageIsNotAmplified aborts all requests at the engines under load. The load
// sent to the engines may be at most 1.1 times what callers offered.
func TestOutageIsNotAmplified(t *testing.T) {
	s := newStack(t, stackOptions{entries: 2, engines: 4, slots: 16, queue: 64, edit: setLongWaits})
	const offered = 400
	before := int64(0)
	for _, e := range s.engines {
		before += e.ReceivedRequests()
	}
	var wg sync.WaitGroup
	for c := range 20 {
		wg.Go(func() {
			for i := range offered / 20 {
				// The engine accepts the request and aborts it: the costliest outage.
				s.sendChat(s.entries[i%2], fmt.Sprintf("outage %d %d cut=0 ", c, i), true, 5*time.Second)
			}
		})
	}
	wg.Wait()
	sent := -before
	for _, e := range s.engines {
		sent += e.ReceivedRequests()
	}
	t.Logf("%d offered, %d sent", offered, sent)
	if float64(sent) > 1.1*offered {
		t.Errorf("got %d sent, want at most %.0f", sent, 1.1*offered)
	}
}
