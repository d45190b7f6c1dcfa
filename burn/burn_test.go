package burn

import (
	"math"
	"testing"
	"time"
)

// TestRate checks the burn rate and the remaining budget.
func TestRate(t *testing.T) {
	tests := map[string]struct {
		window     Window
		objective  float64
		rate, left float64
	}{
		"no traffic":  {objective: 0.95, rate: 0, left: 1},
		"all good":    {window: Window{Total: 100, Good: 100}, objective: 0.95, rate: 0, left: 1},
		"on budget":   {window: Window{Total: 100, Good: 95}, objective: 0.95, rate: 1, left: 0},
		"exceeded":    {window: Window{Total: 100, Good: 80}, objective: 0.95, rate: 4, left: -3},
		"nothing met": {window: Window{Total: 10}, objective: 0.9, rate: 10, left: -9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.window.Rate(test.objective); math.Abs(got-test.rate) > 1e-9 {
				t.Errorf("got rate %v, want %v", got, test.rate)
			}
			if got := test.window.RemainingBudget(test.objective); math.Abs(got-test.left) > 1e-9 {
				t.Errorf("got remaining budget %v, want %v", got, test.left)
			}
		})
	}
}

// TestWindows checks that requests leave the windows as they age.
func TestWindows(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		age         time.Duration
		short, long int64
	}{
		"now":           {short: 1, long: 1},
		"four minutes":  {age: 4 * time.Minute, short: 1, long: 1},
		"six minutes":   {age: 6 * time.Minute, long: 1},
		"over an hour":  {age: LongWindow + bucketLength},
		"bucket reused": {age: 2*LongWindow + bucketLength},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.Add(start, "c", true)
			got := m.Reports(start.Add(test.age))["c"]
			if got.Short.Total != test.short || got.Long.Total != test.long {
				t.Errorf("got %+v, want %d and %d", got, test.short, test.long)
			}
		})
	}
}
