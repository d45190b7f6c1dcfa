package place

import (
	"testing"
	"time"
)

// TestShouldShed: requests that can't finish in time are shed, those of the lowest
// route tier first.
func TestShouldShed(t *testing.T) {
	const limit = 10 * time.Second
	for name, tt := range map[string]struct {
		sent      map[int]time.Duration // Route tiers and how long ago they were sent.
		routeTier int
		first     time.Duration
		last      time.Duration
		plain     bool
		want      bool
	}{
		"in time":              {first: time.Second, want: false},
		"too late":             {first: 8 * time.Second, want: true},
		"not finished in time": {first: time.Second, last: limit, want: true},
		"finished in time":     {first: time.Second, last: limit - time.Second, want: false},
		"not finished in time, a lower tier was sent": {sent: map[int]time.Duration{2: time.Second}, routeTier: 1, first: time.Second, last: limit, want: false},
		"no engine": {first: 8 * time.Second, plain: true, want: false},
		"a lower tier was sent within the window": {sent: map[int]time.Duration{2: time.Second}, routeTier: 1, first: 8 * time.Second, want: false},
		"a lower tier was sent before the window": {sent: map[int]time.Duration{2: lowerTierWindow + time.Second}, routeTier: 1, first: 8 * time.Second, want: true},
		"only higher tiers were sent":             {sent: map[int]time.Duration{0: 0, 1: 0}, routeTier: 2, first: 8 * time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{})
			u := candidates("a")[0].Upstream
			for routeTier, ago := range tt.sent {
				req := newRequest(nil, 10)
				req.RouteTier = routeTier
				b.StartRemote(now.Add(-ago), uint64(routeTier), u, req)
			}
			req := newRequest(nil, 10)
			req.RouteTier, req.Timeout, req.Engine = tt.routeTier, limit, !tt.plain
			if got := b.ShouldShed(now, "s", req, Forecast{TimeToFirst: tt.first, TimeToLast: tt.last}); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
