package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"cactustide/fakes"
)

func decodeJSON(t *testing.T, r io.Reader, into any) {
	t.Helper()
	if err := json.NewDecoder(r).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// transientFaults are the faults of a schedule, by name. Each one undoes itself.
var transientFaults = map[string]func(s *testStack, random *rand.Rand){
	"agent killed": func(s *testStack, random *rand.Rand) {
		a := s.agents[random.IntN(len(s.agents))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		a.kill()
		a.start()
	},
	"agent paused": func(s *testStack, random *rand.Rand) {
		a := s.agents[random.IntN(len(s.agents))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		a.pause(time.Duration(200+random.IntN(1200)) * time.Millisecond)
	},
	"entry killed": func(s *testStack, random *rand.Rand) {
		e := s.entries[random.IntN(len(s.entries))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		e.kill()
		e.start()
	},
	"upstream crash": func(s *testStack, random *rand.Rand) {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.plains[random.IntN(len(s.plains))].Crash(100 * time.Millisecond)
	},
	"replies lost": func(s *testStack, random *rand.Rand) {
		s.kv.SetFaults(fakes.KVFaults{Lose: 0.5, Drop: 0.2})
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"platform down": func(s *testStack, random *rand.Rand) {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{Down: true})
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"platform slow": func(s *testStack, random *rand.Rand) {
		s.kv.SetFaults(fakes.KVFaults{Slow: 20 + random.IntN(100), Lose: 0.2})
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"none": func(*testStack, *rand.Rand) {},
}

// responseTally collects the responses that callers got, by idempotency key.
type responseTally struct {
	mu        sync.Mutex
	responses map[string][]callerResponse
	// Numbers of responses by execution; unanswered requests got none.
	none, done, maybe, unanswered int
}

func (c *responseTally) add(key string, r callerResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[key] = append(c.responses[key], r)
	switch {
	case r.err != nil:
		c.unanswered++
	case r.execution == "none":
		c.none++
	case r.execution == "done":
		c.done++
	default:
		c.maybe++
	}
}

// TestAtMostOnce runs actions under seeded fault schedules. Callers resend each
// action to both entries, at once and later. No action may run twice, and the
// responses must agree with the runs that the service counted.
func TestAtMostOnce(t *testing.T) {
	const (
		stacks    = 4
		schedules = 52
		keys      = 6
	)
	seed := uint64(20261204)
	t.Logf("seed %d, %d schedules", seed, stacks*schedules)
	for n := range stacks {
		t.Run(fmt.Sprint("stack ", n), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			s := newStack(t, stackOptions{entries: 2, plains: 3, slots: 4, queue: 64, plainLatency: 15 * time.Millisecond, progress: "700ms", seed: seed})
			tally := &responseTally{responses: map[string][]callerResponse{}}
			for i := range schedules {
				runFaultSchedule(s, random, tally, fmt.Sprint("k", n, "-", i, "-"), keys)
			}
			time.Sleep(2 * time.Second) // Runs that start late are counted, too.
			checkAtMostOnce(t, s, tally)
		})
	}
}

func runFaultSchedule(s *testStack, random *rand.Rand, tally *responseTally, prefix string, keys int) {
	names := []string{"agent killed", "agent paused", "entry killed", "upstream crash", "replies lost", "platform down", "platform slow", "none"}
	var faults, callers sync.WaitGroup
	for range 1 + random.IntN(2) {
		fault := transientFaults[names[random.IntN(len(names))]]
		rng := rand.New(rand.NewPCG(random.Uint64(), 0))
		faults.Go(func() { fault(s, rng) })
	}
	for i := range keys {
		key := fmt.Sprint(prefix, i)
		rng := rand.New(rand.NewPCG(random.Uint64(), 0))
		callers.Go(func() {
			time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
			var sends sync.WaitGroup
			for _, e := range s.entries {
				sends.Go(func() {
					// Send twice to the same entry, the second time after
					// the response or timeout of the first.
					for range 2 {
						tally.add(key, s.sendAction(e, key, 900*time.Millisecond))
					}
				})
			}
			sends.Wait()
		})
	}
	callers.Wait()
	faults.Wait()
}

func checkAtMostOnce(t *testing.T, s *testStack, tally *responseTally) {
	runsByKey := map[string]int{}
	executed := map[string]bool{}
	for _, p := range s.plains {
		for key, n := range p.RunsByKey() {
			runsByKey[key] += n
		}
		for _, id := range p.RequestIDs() {
			request, _, _ := cutLast(id, "-")
			executed[request] = true
		}
	}
	duplicated := 0
	for key, n := range runsByKey {
		if n > 1 {
			duplicated++
			t.Errorf("%s: got %d runs, want at most 1: %+v", key, n, tally.responses[key])
		}
	}
	for key, responses := range tally.responses {
		for _, r := range responses {
			if r.err != nil {
				continue
			}
			if r.execution == "none" && executed[r.id] {
				t.Errorf("%s: request %s was reported as not run, but it ran", key, r.id)
			}
			if r.execution == "done" && r.status == 200 && (runsByKey[key] != 1 || !strings.Contains(r.body, fmt.Sprintf("permit %s", key))) {
				t.Errorf("%s: got %d runs and %q, want one run and its own response", key, runsByKey[key], r.body)
			}
		}
	}
	t.Logf("%d keys, %d run, %d run twice; responses: %d none, %d done, %d maybe; %d requests without one",
		len(tally.responses), len(runsByKey), duplicated, tally.none, tally.done, tally.maybe, tally.unanswered)
}

func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}
