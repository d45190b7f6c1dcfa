package direct

import (
	"fmt"
	"testing"
	"time"
)

// TestPeerJoin guards against an entry that takes a peer which has itself just started for one that
// knows everything, that asks all of a large fleet, or that never counts as complete.
func TestPeerJoin(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		// complete are the answers of the peers that come up one after the other.
		complete []bool
		want     int
		// before and after are whether the entry is complete before and after joinTime.
		before bool
	}{
		"nobody comes up": {},

		"the first one is complete":    {complete: []bool{true, true, true}, want: 1, before: true},
		"the third one is complete":    {complete: []bool{false, false, true, true}, want: 3, before: true},
		"all have just started":        {complete: []bool{false, false}, want: 2},
		"all of many have just joined": {complete: make([]bool, 100), want: maxJoinFetches},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := newPeerJoin(start, false)
			asked := 0
			for i, complete := range test.complete {
				now := start.Add(time.Duration(i) * time.Millisecond)
				if !j.add(now, fmt.Sprintf("10.0.0.%d:1", i)) {
					continue
				}
				for _, ok := j.next(now); ok; _, ok = j.next(now) {
					asked++
					j.record(complete)
				}
			}
			if asked != test.want {
				t.Errorf("got %d peers asked, want %d", asked, test.want)
			}
			if got := j.isComplete(start.Add(time.Second)); got != test.before {
				t.Errorf("got complete %v after 1 s, want %v", got, test.before)
			}
			if !j.isComplete(start.Add(joinTime)) {
				t.Errorf("got no complete knowledge after %v, want it", joinTime)
			}
		})
	}
}
