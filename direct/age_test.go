package direct

import (
	"testing"
	"time"
)

// TestAgePassedOn guards against a refusal of an added route (404) by an entry whose copy seems younger
// than it is, because each peer that passed its age on made it younger (CONFIG, DENIED).
func TestAgePassedOn(t *testing.T) {
	tests := map[string]struct {
		hops int
		// step is the time from one hop to the next.
		step time.Duration
	}{
		"one hop":      {hops: 1, step: 999 * time.Microsecond},
		"whole steps":  {hops: 20, step: 50 * time.Millisecond},
		"broken steps": {hops: 20, step: 50*time.Millisecond + 900*time.Microsecond},
		"many hops":    {hops: 100, step: 9*time.Millisecond + 700*time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			confirmed := now
			last := newItemCache()
			last.confirm(confirmed)
			for range test.hops {
				now = now.Add(test.step)
				next := newItemCache()
				next.confirm(confirmedByPeer(now, reportedAge(last, now)))
				last = next
			}
			got, _ := last.confirmedAge(now)
			if want, most := now.Sub(confirmed), now.Sub(confirmed)+time.Duration(test.hops)*time.Millisecond; got < want || got > most {
				t.Errorf("got an age of %v after %d hops, want from %v to %v", got, test.hops, want, most)
			}
		})
	}
}
