package emul

import "testing"

// TestPartArrangements guards both sides of the evidence about parts of prompts: requests with a
// part that crashes upstreams reach them at most three times later than 3 s after the fifth
// crash, and at least half of the sound requests begin from 6 s after it.
func TestPartArrangements(t *testing.T) {
	for _, a := range PartArrangements() {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				o := a.Options
				o.Seed = seed
				got := RunParts(o)
				if got.Late > 3 {
					t.Errorf("seed %d: got %d deadly requests late, want at most 3", seed, got.Late)
				}
				if 2*got.Begun < got.Sound {
					t.Errorf("seed %d: got %d of %d sound requests begun, %d refused, want at least half", seed, got.Begun, got.Sound, got.Refused)
				}
			}
		})
	}
}
