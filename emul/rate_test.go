package emul

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRates: the entries together never exceed the rate that an upstream names, use it while
// there is load, and return to full traffic within 3 s after its end, whatever their number, the
// rate and how the load is divided.
func TestRates(t *testing.T) {
	const back = 3 * time.Second
	for _, entries := range []int{4, 60, 300} {
		for _, rate := range []float64{0.4, 3.3, 20, 200} {
			for load, used := range map[RateLoad]float64{LoadEven: 0.8, LoadSingle: 0.6, LoadSkewed: 0.6} {
				for _, fault := range []RateFault{RateCalm, RateRestart, RateCut, RateEnded} {
					if load != LoadEven && fault != RateCalm || entries == 300 && fault == RateRestart && testing.Short() {
						continue
					}
					t.Run(fmt.Sprintf("%d entries, %g a second, %s, %s", entries, rate, load, fault), func(t *testing.T) {
						t.Parallel()
						got := RunRate(RateOptions{Entries: entries, Rate: rate, Load: load, Fault: fault, Rule: RuleTurns, Seed: 3})
						if got.Excess > 1 {
							t.Errorf("got %.2f times the arrivals that are allowed, want at most 1", got.Excess)
						}
						// At a low rate few requests are whole requests: one more or less counts.
						if tolerance := 1 / (rate * (rateFault - rateNamed - 5*time.Second).Seconds()); got.Used < used-tolerance {
							t.Errorf("got %.2f of the rate used, want %.2f", got.Used, used)
						}
						if got.Back > back {
							t.Errorf("got requests passed over until %v after the end of the limit, want at most %v", got.Back, back)
						}
					})
				}
			}
		}
	}
}

// TestRateModel: whatever joins, leaves, freezes or is cut off, the sum stays within the rate.
func TestRateModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := RateOptions{
			Entries: rapid.IntRange(1, 12).Draw(r, "entries"), Rate: rapid.Float64Range(0.1, 30).Draw(r, "rate"),
			Load:  rapid.SampledFrom([]RateLoad{LoadEven, LoadSingle, LoadSkewed}).Draw(r, "load"),
			Fault: rapid.SampledFrom(RateFaults()).Draw(r, "fault"), Rule: RuleTurns, Seed: rapid.Uint64().Draw(r, "seed"),
		}
		if got := RunRate(o); got.Excess > 1 {
			r.Fatalf("got %.2f times the arrivals that are allowed with %+v, want at most 1", got.Excess, o)
		}
	})
}
