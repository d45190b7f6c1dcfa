package emul

import "testing"

// copySeeds is the number of seeds, manySeeds that with many entries.
const (
	copySeeds = 5
	manySeeds = 1
)

// refusedBefore is how many sound requests were refused, in copySeeds seeds, when copies that ended
// at the same moment counted as one crash. It is 0 in the other arrangements.
var refusedBefore = map[string]int{
	"12 sound copies in 100ms, work 10s, one lost each 2.5 s":                 27,
	"a page each 50ms for 10s, 4 upstreams, one lost each 2.5 s":              173,
	"a page each 50ms for 10s, 12 upstreams, one lost each 2.5 s":             19,
	"a page each 1s for 10s, 4 upstreams, one lost each 2.5 s":                73,
	"a page each 1s for 10s, 12 upstreams, one lost each 2.5 s":               4,
	"a page each 50ms for 500ms, 4 upstreams, three lost each 10 s":           5,
	"a page each 50ms for 2s, 4 upstreams, three lost each 10 s":              13,
	"a page each 50ms for 10s, 4 upstreams, three lost each 10 s":             539,
	"a page each 50ms for 10s, 12 upstreams, three lost each 10 s":            15,
	"a page each 1s for 10s, 4 upstreams, a data centre lost each 10 s":       5,
	"a page each 50ms for 10s, 4 upstreams, three lost in each round":         1375,
	"a page each 1s for 10s, 4 upstreams, three lost in each round":           48,
	"a page each 1s for 10s, 12 upstreams, three lost in each round":          1,
	"2 sound copies in 100ms, work 10s, a data centre lost in each round":     2,
	"12 sound copies in 100ms, work 10s, a data centre lost in each round":    16,
	"a page each 50ms for 10s, 4 upstreams, a data centre lost in each round": 908,
	"a page each 1s for 10s, 4 upstreams, a data centre lost in each round":   8,
	"a page each 1s for 10s, 12 upstreams, a data centre lost in each round":  6,
}

// TestCopyArrangements guards both sides of the evidence where copies of a request come at the same
// moment: one that crashes what runs it is sent once more at most three times later than 3 s
// after its third crash, and ends nothing of others that was sent later than that; sound requests
// are not refused more often than when such copies counted as one crash.
func TestCopyArrangements(t *testing.T) {
	for _, a := range CopyArrangements() {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			refused, sent := 0, 0
			seeds := copySeeds
			if a.Options.Entries > 10 {
				seeds = manySeeds
			}
			for seed := range uint64(seeds) {
				o := a.Options
				o.Seed = seed
				got := RunCopies(o)
				if got.LateRetries > 3 {
					t.Errorf("seed %d: got %d late retries, want at most 3", seed, got.LateRetries)
				}
				if got.LateLost > 0 {
					t.Errorf("seed %d: got %d bookings lost after the bound, want none", seed, got.LateLost)
				}
				if o.Deadly > 0 && got.Crashes < crashThreshold && !o.InRound {
					t.Errorf("seed %d: got %d crashes, want at least three", seed, got.Crashes)
				}
				refused += got.Refused
				sent += got.Sent
			}
			if refused > refusedBefore[a.Name] {
				t.Errorf("got %d of %d sound requests refused, want at most %d", refused, sent, refusedBefore[a.Name])
			}
		})
	}
}
