package retry

import (
	"testing"
	"time"
)

var now = time.Unix(100, 0)

// TestBudget checks that retries never exceed a tenth of the fresh requests.
func TestBudget(t *testing.T) {
	b := NewBudget()
	taken := 0
	for fresh := 1; fresh <= 1000; fresh++ {
		b.Deposit()
		for b.TryWithdraw() {
			taken++
		}
		if limit := float64(fresh) * budgetRatio; float64(taken) > limit+1e-6 {
			t.Fatalf("got %d retries of %d requests, want at most %.1f", taken, fresh, limit)
		}
	}
}

// TestEvaluate checks what marks allow.
func TestEvaluate(t *testing.T) {
	tests := map[string]struct {
		upstreams []string
		after     time.Duration
		want      Verdict
	}{
		"no mark":               {want: Clean},
		"one":                   {upstreams: []string{"a"}, want: Suspect},
		"twice at one upstream": {upstreams: []string{"a", "a"}, want: Suspect},
		"two upstreams":         {upstreams: []string{"a", "b"}, want: Quarantined},
		"expired":               {upstreams: []string{"a", "b"}, after: crashRecordTTL, want: Clean},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCrashRecords()
			for _, u := range test.upstreams {
				c.Add(now, 7, u)
			}
			if got, _ := c.Evaluate(now.Add(test.after), 7); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if got, _ := c.Evaluate(now, 8); got != Clean {
				t.Errorf("got %v for another request, want clean", got)
			}
		})
	}
}

// TestCrashRecordsExpireAlthoughRelayed passes marks to and fro. They expire once and
// for all, and their number is bounded.
func TestCrashRecordsExpireAlthoughRelayed(t *testing.T) {
	a, b := NewCrashRecords(), NewCrashRecords()
	a.Add(now, 7, "u")
	at := now
	for at.Before(now.Add(crashRecordTTL)) {
		b.Merge(at, a.List(at))
		a.Merge(at, b.List(at))
		at = at.Add(time.Second)
	}
	if got := len(a.List(at)) + len(b.List(at)); got != 0 {
		t.Errorf("got %d marks after their life, want none", got)
	}
	for i := range uint64(2 * maxCrashRecords) {
		a.Add(at, i, "u")
	}
	if got := len(a.List(at)); got != maxCrashRecords {
		t.Errorf("got %d marks, want at most %d", got, maxCrashRecords)
	}
}
