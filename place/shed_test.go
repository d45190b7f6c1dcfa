package place

import (
	"testing"
	"time"
)

// TestShouldShed: what cannot be whole in time is refused, the least urgent kind
// first.
func TestShouldShed(t *testing.T) {
	const limit = 10 * time.Second
	for name, tt := range map[string]struct {
		sent  map[int]time.Duration // Levels and how long ago they were sent.
		level int
		first time.Duration
		plain bool
		want  bool
	}{
		"in time":                        {first: time.Second, want: false},
		"too late":                       {first: 8 * time.Second, want: true},
		"no engine":                      {first: 8 * time.Second, plain: true, want: false},
		"a less urgent one is sent":      {sent: map[int]time.Duration{2: time.Second}, level: 1, first: 8 * time.Second, want: false},
		"a less urgent one was sent":     {sent: map[int]time.Duration{2: lowerTierWindow + time.Second}, level: 1, first: 8 * time.Second, want: true},
		"only more urgent ones are sent": {sent: map[int]time.Duration{0: 0, 1: 0}, level: 2, first: 8 * time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{})
			u := candidates("a")[0].Upstream
			for level, ago := range tt.sent {
				req := newRequest(nil, 10)
				req.RouteTier = level
				b.StartRemote(now.Add(-ago), uint64(level), u, req)
			}
			req := newRequest(nil, 10)
			req.RouteTier, req.Timeout, req.Engine = tt.level, limit, !tt.plain
			if got := b.ShouldShed(now, "s", req, Forecast{TimeToFirst: tt.first}); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
