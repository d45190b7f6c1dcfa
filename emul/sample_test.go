package emul

import (
	"testing"
	"time"
)

// TestSampled: where entries compare a sample of many engines for each request, no more than
// one request in a hundred fewer is on time than where they compare all, under each load.
func TestSampled(t *testing.T) {
	const (
		engines = 108
		// noise is the fraction by which two runs may differ by chance.
		noise = 0.01
	)
	for _, p := range []Pattern{PatternCalm, PatternLongBurst, PatternQuickBurst, PatternHotKey, PatternCrash, PatternJoin} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			o := DefaultOptions(p, 5)
			o.Engines, o.Entries, o.Duration, o.Scale = engines, 4, 8*time.Second, engines/9
			all, sampled := Run(o, PolicyBalancer), Run(o, PolicySampled)
			t.Logf("all: %.3f on time, %d thousand tokens recomputed; sampled: %.3f, %d", all.OnTimeOverall, all.RecomputedKTokens, sampled.OnTimeOverall, sampled.RecomputedKTokens)
			if sampled.OnTimeOverall < all.OnTimeOverall-noise {
				t.Errorf("got %.3f on time with samples, want at least %.3f less %.2f", sampled.OnTimeOverall, all.OnTimeOverall, noise)
			}
		})
	}
}
