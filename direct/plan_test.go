package direct

import (
	"testing"
	"time"
)

// TestStopPlan checks how the grace period of a planned stop is divided: time in which new
// requests are taken, then time in which they are refused, then time to exit.
func TestStopPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		grace, refuse, end time.Duration
	}{
		"8 s":  {ms(8000), ms(2500), ms(7600)},
		"30 s": {ms(30000), ms(2500), ms(29600)},
		"3 s":  {ms(3000), ms(2100), ms(2625)},
		"2 s":  {ms(2000), ms(1400), ms(1750)},
		"1 s":  {ms(1000), ms(700), ms(875)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newStopPlan(now, test.grace)
			if got := p.refuseAt.Sub(now); got != test.refuse {
				t.Errorf("got refusals from %v on, want %v", got, test.refuse)
			}
			if got := p.endAt.Sub(now); got != test.end {
				t.Errorf("got the end of requests after %v, want %v", got, test.end)
			}
			if got := p.killAt.Sub(now); got != test.grace {
				t.Errorf("got the kill after %v, want %v", got, test.grace)
			}
		})
	}
}
