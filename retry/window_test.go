package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactustide/fakes"
)

// TestWindowBound checks that the retries in every window stay within the limit
// of the deployment, whatever the arrival times of the requests.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		now := time.Unix(1000, 0)
		w := NewWindowBudget(now, 0.2, 56, window)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 800).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if w.TryWithdraw(now, "s", entries) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			inside := func(times []time.Time, length time.Duration) int {
				n := 0
				for _, at := range times {
					if !at.After(end) && end.Sub(at) < length {
						n++
					}
				}
				return n
			}
			allowed := 0.2*float64(inside(requests, 2*window)) + 56/float64(entries)
			if got := inside(retries, window); float64(got) > allowed {
				t.Fatalf("got %d retries in a window, want at most %.1f", got, allowed)
			}
		}
	})
}

func TestWindowServices(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindowBudget(now, 0, 10, time.Second)
	for range 8 {
		if !w.TryWithdraw(now, "a", 1) {
			t.Fatal("got no budget within the slack, want some")
		}
	}
	if w.TryWithdraw(now, "a", 1) {
		t.Error("got budget beyond the slack, want none")
	}
	if !w.TryWithdraw(now, "b", 1) {
		t.Error("got no budget for another service, want some")
	}
	if !w.TryWithdraw(now.Add(2*time.Second), "a", 1) {
		t.Error("got no budget in a later window, want some")
	}
}

// TestWindowClockStep guards against a budget that begins anew when the time of day is set (BUDGET).
func TestWindowClockStep(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "forward": 30 * time.Second, "back": -30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			w := NewWindowBudget(start, 0, 10, 10*time.Second)
			got := 0
			for i := range 40 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				if i >= 20 {
					now = fakes.StepClock(now, step)
				}
				if w.TryWithdraw(now, "s", 1) {
					got++
				}
			}
			if want := 8; got != want { // 0.8 of the slack.
				t.Errorf("got %d retries within a window, want %d", got, want)
			}
			if later := fakes.StepClock(start.Add(15*time.Second), step); !w.TryWithdraw(later, "s", 1) {
				t.Error("got no budget after the window, want some")
			}
		})
	}
}
