package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactustide/config"
)

func randomPolicy(t *rapid.T) Policy {
	p := Policy{
		Slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
		QueueLimit: rapid.IntRange(0, 8).Draw(t, "queue"),
		Classes:    map[string]Class{},
		Shares:     map[string]float64{"p0": 1, "p1": 2, "p2": 0.5},
	}
	floors := []float64{0, 0, 0.1, 0.2}
	caps := []float64{0, 0, 0.5}
	for i := range 4 {
		c := Class{Tier: rapid.IntRange(0, config.Tiers-1).Draw(t, "tier")}
		if i < 2 {
			c.Floor = rapid.SampledFrom(floors).Draw(t, "floor")
		}
		c.Cap = rapid.SampledFrom(caps).Draw(t, "cap")
		p.Classes[fmt.Sprint("c", i)] = c
	}
	return p
}

// TestDifferential compares the scheduler with the naive reference over random
// operations: the same starts in the same order, and the same victims.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := randomPolicy(t)
		s := New(p)
		n := &naive{policy: p, tokenCounter: map[string]float64{}, startsSinceLast: map[string]int{}, lengths: map[int][]float64{}, arrivals: map[int][]naiveArrival{}, slotTimes: map[int][]float64{}}
		var running []string
		now := time.Unix(100, 0)
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond)
			n.now = now
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				id := fmt.Sprint("r", i)
				class := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "class"))
				partner := fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "partner"))
				tokens := float64(rapid.IntRange(1, 100).Draw(t, "tokens"))
				suspect := rapid.IntRange(0, 4).Draw(t, "suspect") == 0
				victim := s.Offer(now, &Request{ID: id, Class: class, Partner: partner, Tokens: tokens, Suspect: suspect})
				got := ""
				if victim != nil {
					got = victim.ID
				}
				want := n.offer(&naiveRequest{id: id, class: class, partner: partner, tokens: tokens, suspect: suspect})
				if got != want {
					t.Fatalf("victim of %s: got %q, want %q", id, got, want)
				}
			case 2:
				got := ""
				if r := s.Next(now); r != nil {
					got = r.ID
					running = append(running, got)
				}
				if want := n.next(); got != want {
					t.Fatalf("start: got %q, want %q", got, want)
				}
			case 3:
				if len(running) == 0 {
					continue
				}
				id := running[0]
				running = running[1:]
				tokens := float64(rapid.IntRange(0, 400).Draw(t, "real"))
				s.Finish(now, id, tokens)
				n.finish(id, tokens)
			}
		}
	})
}

// TestOfferNeverEvictsHigherTier checks that no queued request has a lower tier
// than the evicted one.
func TestOfferNeverEvictsHigherTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(randomPolicy(t))
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			class := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "class"))
			victim := s.Offer(time.Unix(100, 0), &Request{ID: fmt.Sprint(i), Class: class, Partner: fmt.Sprint("p", i%3)})
			if victim == nil {
				continue
			}
			for _, r := range s.queued {
				if r.tier > victim.tier {
					t.Fatalf("got %s of tier %d evicted, want %s of tier %d", victim.ID, victim.tier, r.ID, r.tier)
				}
			}
		}
	})
}

// TestFloors checks that any n consecutive starts include at least floor*n of a
// class that always has queued requests, whatever the other classes do.
func TestFloors(t *testing.T) {
	const starts = 400
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Slots: 1, QueueLimit: 1 << 20, Classes: map[string]Class{"burst": {Tier: 0}}}
		densityLeft := config.MaxFloorDensity
		for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
			floor := rapid.Float64Range(0.01, 0.5).Draw(t, "floor")
			density := 1 / float64(config.Period(floor))
			if density > densityLeft {
				continue
			}
			densityLeft -= density
			p.Classes[fmt.Sprint("c", i)] = Class{Tier: 1 + i, Floor: floor}
		}
		s := New(p)
		var order []string
		now := time.Unix(100, 0)
		for i := range starts {
			now = now.Add(10 * time.Millisecond)
			for class := range p.Classes {
				if s.class(class).queued < 2 {
					s.Offer(now, &Request{ID: fmt.Sprint(class, i), Class: class, Partner: "p"})
				}
			}
			r := s.Next(now)
			order = append(order, r.Class)
			s.Finish(now, r.ID, 1)
		}
		for class, c := range p.Classes {
			checkWindows(t, order, class, c.Floor)
		}
	})
}

func checkWindows(t *rapid.T, order []string, class string, floor float64) {
	if floor == 0 {
		return
	}
	counts := make([]int, len(order)+1)
	for i, c := range order {
		counts[i+1] = counts[i]
		if c == class {
			counts[i+1]++
		}
	}
	for from := range order {
		for to := from + 1; to <= len(order); to++ {
			got := counts[to] - counts[from]
			want := int(floor * float64(to-from) * (1 - 1e-9))
			if got < want {
				t.Fatalf("class %s, floor %v, starts %d to %d: got %d, want at least %d", class, floor, from, to, got, want)
			}
		}
	}
}

// TestShares checks that partners get tokens by their shares on ten replicas with
// a scheduler each, under saturating load for a minute of simulated time. The output
// lengths are heavy-tailed, and the schedulers expect the same length of each
// request.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		shares map[string]float64
	}{
		"two to one":      {shares: map[string]float64{"a": 2, "b": 1}},
		"three partners":  {shares: map[string]float64{"a": 5, "b": 3, "c": 2}},
		"equal":           {shares: map[string]float64{"a": 1, "b": 1}},
		"one much larger": {shares: map[string]float64{"a": 9, "b": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				got := map[string]float64{}
				for replica := range uint64(10) {
					for partner, tokens := range simulateShares(test.shares, seed*100+replica) {
						got[partner] += tokens
					}
				}
				total, weights := 0.0, 0.0
				for partner, share := range test.shares {
					total += got[partner]
					weights += share
				}
				for partner, share := range test.shares {
					want := total * share / weights
					if off := got[partner]/want - 1; off < -0.05 || off > 0.05 {
						t.Errorf("seed %d, partner %s: got %.0f tokens, want %.0f within 5%%", seed, partner, got[partner], want)
					}
				}
			}
		})
	}
}

// simulateShares simulates a minute at 20 ms per token on 8 slots.
func simulateShares(shares map[string]float64, seed uint64) map[string]float64 {
	const steps = 3000
	random := rand.New(rand.NewPCG(seed, 1))
	s := New(Policy{Slots: 8, QueueLimit: 1 << 20, Classes: map[string]Class{"c": {Tier: 1}}, Shares: shares})
	length := map[string]float64{}
	done := map[string]float64{}
	partner := map[string]string{}
	got := map[string]float64{}
	next := 0
	now := time.Unix(100, 0)
	for range steps {
		now = now.Add(20 * time.Millisecond)
		for name := range shares {
			for s.tiers[1].queuedByPartner[name] < 4 {
				next++
				id := fmt.Sprint(next)
				partner[id] = name
				// Pareto distribution with a mean of about 60 tokens, cut at 2000.
				length[id] = min(2000, 20/math.Pow(random.Float64(), 1/1.5))
				s.Offer(now, &Request{ID: id, Class: "c", Partner: name, Tokens: 30})
			}
		}
		for r := s.Next(now); r != nil; r = s.Next(now) {
			done[r.ID] = 0
		}
		for id := range s.running {
			done[id]++
			got[partner[id]]++
			s.Charge(id, done[id])
			if done[id] >= length[id] {
				s.Finish(now, id, done[id])
			}
		}
	}
	return got
}

// TestExpire checks that only requests whose deadline has passed leave the queue.
func TestExpire(t *testing.T) {
	now := time.Unix(100, 0)
	tests := map[string]struct {
		deadline time.Time
		want     int
	}{
		"no deadline": {want: 0},
		"passed":      {deadline: now.Add(-time.Second), want: 1},
		"now":         {deadline: now, want: 1},
		"to come":     {deadline: now.Add(time.Nanosecond), want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Policy{Slots: 0, QueueLimit: 4})
			s.Offer(now, &Request{ID: "r", Deadline: test.deadline})
			if got := len(s.Expire(now)); got != test.want {
				t.Errorf("got %d expired, want %d", got, test.want)
			}
		})
	}
}
