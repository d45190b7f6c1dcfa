package place

import (
	"testing"
	"time"

	"cactustide/fleet"
)

// TestPlainOccupancy guards against plain requests that all go to one upstream until it is full
// and refuses them, since another one had a failure long ago.
func TestPlainOccupancy(t *testing.T) {
	now := time.Unix(1000, 0)
	sound := fleet.Candidate{Upstream: fleet.Upstream{ID: "a", Service: "s", Slots: 16}}
	once := fleet.Candidate{Upstream: fleet.Upstream{ID: "b", Service: "s", Slots: 16}, FailureRate: 0.0002}
	b := New(Settings{})
	counts := map[string]int{}
	for range 16 {
		req := &Request{LatencyTarget: 500 * time.Millisecond, ArrivedAt: now}
		choice, ok := b.Choose(now, "s", []fleet.Candidate{sound, once}, req)
		if !ok {
			t.Fatal("got no choice, want one")
		}
		counts[choice.Upstream.ID]++
		b.Start(now, "s", choice.Upstream, req)
	}
	if counts["a"] > 12 {
		t.Errorf("got %d of 16 requests at one upstream of 16 slots and %d at the other, want them divided", counts["a"], counts["b"])
	}
}
