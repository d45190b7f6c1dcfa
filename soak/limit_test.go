package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// TestLimits checks the judge of limits on arrivals of which the verdict is known, and that the
// plan of a seed stays the same and has all kinds over some seeds.
func TestLimits(t *testing.T) {
	start := time.Unix(1_000, 0)
	tests := map[string]struct {
		// gap is the time between two arrivals, for 8 s from the first one.
		gap time.Duration
		// told is when the entry passed on the limit; pausedAt the time of a pause.
		told, pausedAt time.Duration
		want           int
	}{
		"within":            {gap: 300 * time.Millisecond, told: 100 * time.Millisecond},
		"too many":          {gap: 150 * time.Millisecond, told: 100 * time.Millisecond, want: 1},
		"not told":          {gap: 150 * time.Millisecond, told: 9 * time.Second},
		"paused and silent": {gap: 150 * time.Millisecond, told: 100 * time.Millisecond, pausedAt: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &runner{}
			if test.pausedAt > 0 {
				r.pauses = []disturbance{{from: start.Add(test.pausedAt), to: start.Add(test.pausedAt + time.Second)}}
			}
			byID := map[string]exchange{}
			var arrivals []stand.Arrival
			for at := time.Duration(0); at < 8*time.Second; at += test.gap {
				id := fmt.Sprint(at)
				arrivals = append(arrivals, stand.Arrival{ID: id, At: start.Add(at), Rate: "3.3"})
				byID[id] = exchange{id: id}
			}
			byID[arrivals[0].ID] = exchange{limited: "u", endedAt: start.Add(test.told)}
			r.checkLimit("u", 3.3, arrivals, byID)
			if got := len(r.violations); got != test.want {
				t.Errorf("got %d violations %v, want %d", got, r.violations, test.want)
			}
		})
	}
	seen := map[string]bool{}
	for seed := range uint64(20) {
		plan := NewLimits(seed, 12*time.Second, 4)
		if again := NewLimits(seed, 12*time.Second, 4); !slices.Equal(plan, again) || len(plan) == 0 {
			t.Errorf("seed %d: got %v and %v, want one plan", seed, plan, again)
		}
		for _, s := range plan {
			seen[s.Kind] = true
		}
	}
	for _, kind := range limitKinds {
		if !seen[kind] {
			t.Errorf("got no %s in twenty seeds, want some", kind)
		}
	}
}
