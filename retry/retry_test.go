package retry

import (
	"testing"
	"time"
)

var now = time.Unix(100, 0)

// TestBudget checks that retries never exceed a tenth of the new requests.
func TestBudget(t *testing.T) {
	b := NewBudget()
	taken := 0
	for requests := 1; requests <= 1000; requests++ {
		b.Deposit()
		for b.TryWithdraw() {
			taken++
		}
		if limit := float64(requests) * budgetRatio; float64(taken) > limit+1e-6 {
			t.Fatalf("got %d retries of %d requests, want at most %.1f", taken, requests, limit)
		}
	}
}

// TestEvaluate checks the verdict by the number of crashed upstreams.
func TestEvaluate(t *testing.T) {
	tests := map[string]struct {
		upstreams []string
		after     time.Duration
		want      Verdict
	}{
		"no record":             {want: Clean},
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

// TestCrashRecordsExpireAlthoughRelayed exchanges records between two sets until
// their lifetime ends: relaying must not extend it. It also checks the bound on
// their number.
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
		t.Errorf("got %d records after their lifetime, want none", got)
	}
	for i := range uint64(2 * maxCrashRecords) {
		a.Add(at, i, "u")
	}
	if got := len(a.List(at)); got != maxCrashRecords {
		t.Errorf("got %d records, want at most %d", got, maxCrashRecords)
	}
}
