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

// onceFaults are the faults of a schedule. Each one acts and then undoes itself.
var onceFaults = map[string]func(s *stack, random *rand.Rand){
	"agent killed": func(s *stack, random *rand.Rand) {
		a := s.agents[random.IntN(len(s.agents))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		a.kill()
		a.start()
	},
	"agent frozen": func(s *stack, random *rand.Rand) {
		a := s.agents[random.IntN(len(s.agents))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		a.freeze(time.Duration(200+random.IntN(1200)) * time.Millisecond)
	},
	"entry killed": func(s *stack, random *rand.Rand) {
		e := s.entries[random.IntN(len(s.entries))]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		e.kill()
		e.start()
	},
	"upstream crash": func(s *stack, random *rand.Rand) {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.plains[random.IntN(len(s.plains))].Crash(100 * time.Millisecond)
	},
	"answers lost": func(s *stack, random *rand.Rand) {
		s.kv.SetFaults(fakes.KVFaults{Lose: 0.5, Drop: 0.2})
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"platform down": func(s *stack, random *rand.Rand) {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{Down: true})
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"platform slow": func(s *stack, random *rand.Rand) {
		s.kv.SetFaults(fakes.KVFaults{Slow: 20 + random.IntN(100), Lose: 0.2})
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		s.kv.SetFaults(fakes.KVFaults{})
	},
	"none": func(*stack, *rand.Rand) {},
}

// onceTally collects what callers were told.
type onceTally struct {
	mu      sync.Mutex
	replies map[string][]reply
	// perKey is the end of each key by what its callers saw.
	none, done, maybe, lost int
}

func (c *onceTally) add(key string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies[key] = append(c.replies[key], r)
	switch {
	case r.err != nil:
		c.lost++
	case r.run == "none":
		c.none++
	case r.run == "done":
		c.done++
	default:
		c.maybe++
	}
}

// TestAtMostOnce runs actions under seeded fault schedules. Callers resend each
// action to both entries, at once and later. The service counts its runs.
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
			s := newStack(t, stackOptions{entries: 2, plains: 3, slots: 4, queue: 64, work: 15 * time.Millisecond, progress: "700ms", seed: seed})
			tally := &onceTally{replies: map[string][]reply{}}
			for i := range schedules {
				runOnceSchedule(s, random, tally, fmt.Sprint("k", n, "-", i, "-"), keys)
			}
			time.Sleep(2 * time.Second) // Late runs would show now.
			checkOnce(t, s, tally)
		})
	}
}

func runOnceSchedule(s *stack, random *rand.Rand, tally *onceTally, prefix string, keys int) {
	names := []string{"agent killed", "agent frozen", "entry killed", "upstream crash", "answers lost", "platform down", "platform slow", "none"}
	var faults, callers sync.WaitGroup
	for range 1 + random.IntN(2) {
		fault := onceFaults[names[random.IntN(len(names))]]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		faults.Go(func() { fault(s, own) })
	}
	for i := range keys {
		key := fmt.Sprint(prefix, i)
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		callers.Go(func() {
			time.Sleep(time.Duration(own.IntN(80)) * time.Millisecond)
			var both sync.WaitGroup
			for _, e := range s.entries {
				both.Go(func() {
					// Two sends to the same entry, the second after the first's limit.
					for range 2 {
						tally.add(key, s.action(e, key, 900*time.Millisecond))
					}
				})
			}
			both.Wait()
		})
	}
	callers.Wait()
	faults.Wait()
}

func checkOnce(t *testing.T, s *stack, tally *onceTally) {
	runs := map[string]int{}
	ran := map[string]bool{}
	for _, p := range s.plains {
		for key, n := range p.RunsByKey() {
			runs[key] += n
		}
		for _, id := range p.RequestIDs() {
			request, _, _ := cutLast(id, "-")
			ran[request] = true
		}
	}
	twice := 0
	for key, n := range runs {
		if n > 1 {
			twice++
			t.Errorf("%s: got %d runs, want at most 1: %+v", key, n, tally.replies[key])
		}
	}
	for key, replies := range tally.replies {
		for _, r := range replies {
			if r.err != nil {
				continue
			}
			if r.run == "none" && ran[r.id] {
				t.Errorf("%s: request %s was told not run, but it ran", key, r.id)
			}
			if r.run == "done" && r.status == 200 && (runs[key] != 1 || !strings.Contains(r.body, fmt.Sprintf("permit %s", key))) {
				t.Errorf("%s: got %d runs and %q, want one run and its own answer", key, runs[key], r.body)
			}
		}
	}
	t.Logf("%d keys, %d run, %d twice; replies: %d none, %d done, %d maybe, %d without an answer",
		len(tally.replies), len(runs), twice, tally.none, tally.done, tally.maybe, tally.lost)
}

func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}
