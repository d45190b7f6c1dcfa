package quota

import (
	"math"
	"testing"
	"time"

	"cactustide/fleet"
)

var (
	start   = time.Unix(1_000_000, 0)
	testKey = Key{Upstream: "u", StartedAt: 7}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestOrder guards against responses and messages that arrive late and bring back a rate that
// has changed or ended.
func TestOrder(t *testing.T) {
	type event struct {
		now, sent float64
		rate      float64
		// version is that of a peer's message; 0 for a response.
		version uint64
	}
	tests := map[string]struct {
		events []event
		want   float64
		// none is set if nothing may be known.
		none bool
	}{
		"no limit":                        {events: []event{{now: 1}}, none: true},
		"named":                           {events: []event{{now: 1, sent: 0.5, rate: 3}}, want: 3},
		"ended":                           {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 0, 0}}, want: 0},
		"late response after the end":     {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 0, 0}, {3, 1.2, 3, 0}}, want: 0},
		"named anew after the end":        {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 0, 0}, {3, 2.2, 3, 0}}, want: 3},
		"late response with the old rate": {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 1, 0}, {3, 1.6, 3, 0}}, want: 1},
		"late response without a rate":    {events: []event{{1, 0.5, 3, 0}, {2, 0.9, 0, 0}}, want: 3},
		"late message after the end":      {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 0, 0}, {3, 0, 3, 1}}, want: 0},
		"message of the end":              {events: []event{{1, 0.5, 3, 0}, {2, 0, 0, 2}}, want: 0},
		"message with a newer rate":       {events: []event{{1, 0.5, 3, 0}, {2, 0, 5, 2}, {3, 0, 3, 1}}, want: 5},
		"changes at the same time":        {events: []event{{1, 0.5, 3, 0}, {2, 1.5, 5, 0}, {3, 0, 2, 2}}, want: 2},
		"response after a message":        {events: []event{{1, 0, 5, 9}, {2, 1.5, 4, 0}, {3, 0, 5, 9}}, want: 4},
		"zero":                            {events: []event{{1, 0.5, 0.0, 1}}, want: 0},
		"very low":                        {events: []event{{1, 0.5, 1e-9, 0}}, want: MinRate},
		"very high":                       {events: []event{{1, 0.5, 1e12, 0}}, none: true},
		"very high after a limit":         {events: []event{{1, 0.5, 2, 0}, {2, 1.5, 1e12, 0}}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			for _, e := range test.events {
				if e.version > 0 {
					l.Merge(at(e.now), Limit{Key: testKey, Rate: e.rate, Version: e.version})
				} else {
					l.Observe(at(e.now), at(e.sent), testKey, e.rate, e.rate > 0)
				}
			}
			got, ok := l.Find(testKey)
			if ok == test.none || ok && got.Rate != test.want {
				t.Errorf("got rate %v, known %v; want %v, known %v", got.Rate, ok, test.want, !test.none)
			}
		})
	}
}

// TestZeroRate: a process that names 0 gets requests at MinRate, since only a response can
// tell the end.
func TestZeroRate(t *testing.T) {
	l := NewLedger()
	got, changed := l.Observe(at(1), at(0), testKey, 0, true)
	if !changed || got.Rate != MinRate || got.Source != fleet.SourceResponse {
		t.Errorf("got %+v, changed %v; want rate %v", got, changed, MinRate)
	}
}

// TestNewProcess: a process under the same id starts without a limit.
func TestNewProcess(t *testing.T) {
	l := NewLedger()
	l.Observe(at(1), at(0), testKey, 3, true)
	if got, ok := l.Find(Key{Upstream: "u", StartedAt: 8}); ok {
		t.Errorf("got %+v for a new process, want nothing", got)
	}
}

func TestBounds(t *testing.T) {
	l := NewLedger()
	for i := range maxLimits + 10 {
		l.Observe(at(float64(i)), at(float64(i)), Key{Upstream: "u", StartedAt: int64(i)}, 1, true)
	}
	if got := len(l.Limits()); got != maxLimits {
		t.Errorf("got %d limits, want %d", got, maxLimits)
	}
	l.Expire(at(1e9), func(Key) bool { return false })
	if got := len(l.Limits()); got != 0 {
		t.Errorf("got %d limits of processes that are gone, want none", got)
	}
	if got := normalize(math.Inf(1)); got != 0 {
		t.Errorf("got rate %v for infinity, want none", got)
	}
}
