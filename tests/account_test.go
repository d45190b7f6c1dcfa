package tests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/store"
	"cactustide/usage"
	"cactustide/wire"
)

// storedUsage returns the requests by partner, and by partner and outcome, from the
// counters in the key-value service, aggregated as ctl does.
func (s *testStack) storedUsage() map[string]int64 {
	s.t.Helper()
	pairs, err := store.New(s.kv.Address()).List("cactustide" + wire.UsagePrefix)
	if err != nil {
		s.t.Fatal(err)
	}
	var counters [][]usage.Counter
	for _, p := range pairs {
		_, decoded, err := wire.DecodeUsage(p.Value)
		if err != nil {
			s.t.Fatal(err)
		}
		counters = append(counters, decoded)
	}
	out := map[string]int64{}
	for _, c := range usage.Aggregate(slices.Concat(counters...)) {
		out[c.Partner] += c.Requests
		out[c.Partner+" "+string(c.Outcome)] += c.Requests
	}
	return out
}

// TestAccounting checks that each request that reaches an entry is counted once for
// its partner, under faults. If an entry is killed, its requests in progress count
// as open, by the agents' counters.
func TestAccounting(t *testing.T) {
	seed := uint64(11)
	t.Logf("seed %d", seed)
	s := newStack(t, stackOptions{entries: 2, engines: 2, plains: 2, slots: 16, queue: 64, progress: "700ms", plainLatency: 5 * time.Millisecond, seed: seed, engine: fakes.EngineOptions{TimePerToken: 2 * time.Millisecond}})
	random := rand.New(rand.NewPCG(seed, 1))
	var offered [2]atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 12 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				e := s.entries[i%2]
				var r callerResponse
				if c%2 == 0 {
					offered[0].Add(1)
					r = s.sendChat(e, fmt.Sprintf("count %d %d tokens=5 ", c, i), i%3 == 0, 20*time.Second)
				} else {
					offered[1].Add(1)
					r = s.sendAction(e, fmt.Sprintf("count-%d-%d", c, i), 20*time.Second)
				}
				if r.err != nil {
					t.Errorf("got %v, want a response: both entries are up", r.err)
				}
			}
		})
	}
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		transientFaults["agent killed"](s, random)
		transientFaults["replies lost"](s, random)
		transientFaults["agent paused"](s, random)
		transientFaults["platform down"](s, random)
	}
	close(done)
	wg.Wait()
	want := map[string]int64{"eisklang": offered[0].Load(), "gyeongnam": offered[1].Load()}
	for i, e := range s.entries {
		for partner, n := range s.usage(e) {
			if _, ok := want[partner]; ok {
				want[partner] -= n
			}
			t.Logf("entry %d: %s %d", i, partner, n)
		}
	}
	for partner, uncounted := range want {
		if uncounted != 0 {
			t.Errorf("%s: got %d requests not counted, want none", partner, uncounted)
		}
	}

	// An entry is killed under long streams.
	s.waitFor("all requests in the stored counters", 10*time.Second, func() bool {
		w := s.storedUsage()
		return w["eisklang"] == offered[0].Load() && w["eisklang open"] == 0
	})
	before := s.storedUsage()
	const open = 10
	var streams sync.WaitGroup
	for i := range open {
		streams.Go(func() {
			resp, err := s.openStream(context.Background(), s.entries[0], eisklangKey, "question", fmt.Sprintf("open %d tokens=100000 ", i))
			if err == nil {
				readStream(resp)
				_ = resp.Body.Close()
			}
		})
	}
	s.waitFor("streams running", 5*time.Second, func() bool { return s.engines[0].Running()+s.engines[1].Running() >= open })
	time.Sleep(6 * time.Second) // Entries and agents store their counters every five seconds.
	s.entries[0].kill()
	streams.Wait()
	time.Sleep(6 * time.Second)
	after := s.storedUsage()
	t.Logf("before %v, after %v", before, after)
	if got := after["eisklang open"] - before["eisklang open"]; got < open {
		t.Errorf("got %d open requests after the entry was killed, want %d", got, open)
	}
	if got := after["eisklang"]; got != offered[0].Load()+open {
		t.Errorf("got %d requests in all, want %d", got, offered[0].Load()+open)
	}
}

// TestPlatformOutage takes the platform down under load. Idempotent traffic goes on,
// actions are refused as not run, and all recovers without an operator.
func TestPlatformOutage(t *testing.T) {
	s := newStack(t, stackOptions{entries: 2, engines: 2, plains: 1, slots: 16, queue: 64, edit: setLongWaits, engine: fakes.EngineOptions{TimePerToken: 2 * time.Millisecond}})
	load := startStreamLoad(t, s, 8)
	s.kv.SetFaults(fakes.KVFaults{Down: true})
	end := time.Now().Add(6 * time.Second)
	refused := 0
	for i := 0; time.Now().Before(end); i++ {
		r := s.sendAction(s.entries[i%2], fmt.Sprint("outage-", i), 10*time.Second)
		if r.status != http.StatusServiceUnavailable || r.execution != "none" {
			t.Errorf("got %d %s, want 503 and none", r.status, r.execution)
		}
		refused++
		time.Sleep(200 * time.Millisecond)
	}
	if got := len(s.plains[0].RunsByKey()); got != 0 {
		t.Errorf("got %d actions run during the outage, want none", got)
	}
	s.agents[0].kill()
	s.agents[0].start() // An agent restarts during the outage, too.
	time.Sleep(time.Second)
	s.kv.SetFaults(fakes.KVFaults{})
	s.waitFor("actions run again", 10*time.Second, func() bool {
		return s.sendAction(s.entries[0], fmt.Sprint("after-", time.Now().UnixNano()), 10*time.Second).status == http.StatusOK
	})
	load.stop()
	t.Logf("%d complete, %d broken by the killed agent, %d not accepted; %d actions refused", load.complete.Load(), load.broken.Load(), load.unaccepted.Load(), refused)
	if load.unaccepted.Load() > 0 || load.broken.Load() > 8 {
		t.Errorf("got %d refused and %d broken streams, want none refused and at most the 8 of the killed agent", load.unaccepted.Load(), load.broken.Load())
		for _, e := range s.entries {
			for line := range strings.Lines(e.logText()) {
				if strings.Contains(line, "no agent can take") || strings.Contains(line, "no answer from") {
					t.Logf("%s: %s", e.name, line)
				}
			}
		}
	}
}

// TestCallerLeaves checks that a request is cancelled when its caller disconnects,
// in the queue and while it runs.
func TestCallerLeaves(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 1, queue: 16, edit: setLongWaits, engine: fakes.EngineOptions{TimePerToken: 10 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	running, err := s.openStream(ctx, s.entries[0], eisklangKey, "question", "running tokens=100000 ")
	if err != nil {
		t.Fatal(err)
	}
	queued := make(chan struct{})
	queueCtx, cancelQueued := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancelQueued()
	go func() {
		defer close(queued)
		if resp, err := s.openStream(queueCtx, s.entries[0], eisklangKey, "question", "queued tokens=5 "); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-queued
	time.Sleep(time.Second)
	cancel()
	_ = running.Body.Close()
	s.waitFor("the engine is idle", 3*time.Second, func() bool { return s.engines[0].Running() == 0 })
	if got := s.engines[0].ReceivedRequests(); got != 1 {
		t.Errorf("got %d requests at the engine, want 1: the caller of the queued one had disconnected", got)
	}
	s.waitFor("both counted as cancelled", 3*time.Second, func() bool { return s.usage(s.entries[0])["eisklang/cancelled"] == 2 })
}
