package emul

import "testing"

// TestCrashArrangements guards both sides of the evidence of crashes: a request that crashes
// what runs it reaches upstreams at most three times later than 3 s after its third crash, and
// no other request is refused for it.
func TestCrashArrangements(t *testing.T) {
	for _, a := range CrashArrangements() {
		t.Run(a.Name, func(t *testing.T) {
			for seed := range uint64(5) {
				o := a.Options
				o.Rule, o.Seed = RuleProcesses, seed
				got := RunCrashes(o)
				if got.LateRetries > 3 {
					t.Errorf("seed %d: got %d late retries, want at most 3", seed, got.LateRetries)
				}
				if got.Refused > 0 {
					t.Errorf("seed %d: got %d of %d sound requests refused, want none", seed, got.Refused, got.Sound)
				}
				if o.DeadlyEvery > 0 && got.Crashes < 3 {
					t.Errorf("seed %d: got %d crashes, want at least three", seed, got.Crashes)
				}
			}
		})
	}
}
