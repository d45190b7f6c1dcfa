package emul

import (
	"fmt"
	"testing"
	"time"
)

// TestPatterns: under each heavy load the balancer serves at least as many requests on
// time as both baselines. The gain is largest where some engines have the prompt cached.
func TestPatterns(t *testing.T) {
	// noise is the fraction by which two runs may differ by chance.
	const noise = 0.01
	for _, p := range Patterns() {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				o := DefaultOptions(p, seed)
				balancer := Run(o, PolicyBalancer)
				for _, baseline := range []Policy{PolicyLeastRequests, PolicyBoundedHash} {
					if got, want := balancer.OnTimeOverall, Run(o, baseline).OnTimeOverall-noise; got < want {
						t.Errorf("seed %d: got %.3f on time, want at least the %.3f of %s", seed, got, want, baseline)
					}
				}
			}
		})
	}
}

// minCalmOnTime is the required fraction of requests on time: 95 in 100.
const minCalmOnTime = 0.95

// TestCalm: without overload nearly all requests are on time.
func TestCalm(t *testing.T) {
	result := Run(DefaultOptions(PatternCalm, 7), PolicyBalancer)
	for class, got := range result.OnTime {
		t.Run(class, func(t *testing.T) {
			if got < minCalmOnTime {
				t.Errorf("got %.3f on time, want %.2f", got, minCalmOnTime)
			}
		})
	}
}

// TestSameSeed: runs with the same seed have the same result.
func TestSameSeed(t *testing.T) {
	o := DefaultOptions(PatternHotKey, 3)
	if a, b := Run(o, PolicyBalancer), Run(o, PolicyBalancer); fmt.Sprint(a.OnTime, a.RecomputedKTokens) != fmt.Sprint(b.OnTime, b.RecomputedKTokens) {
		t.Errorf("got %v and %v for one seed, want the same", a.OnTime, b.OnTime)
	}
}

// naivePrefill computes an engine's prefill one token at a time, and returns the number
// of chunks and the total time.
func naivePrefill(s EngineSpec, prompt, context int) (chunks int, total time.Duration) {
	for done := 0; done < prompt; chunks++ {
		total += s.StepTime + s.ContextTimePerKToken*time.Duration((prompt+context)/1000)
		for n := 0; n < s.PrefillChunk && done < prompt; n++ {
			total += s.PrefillTimePerToken + time.Duration(float64(s.AttentionTimePerMPairs)*(float64(done)+0.5)/1e6)
			done++
		}
	}
	return chunks, total
}

// TestEngineAgainstNaive compares the engine's prefill with naivePrefill.
func TestEngineAgainstNaive(t *testing.T) {
	for _, prompt := range []int{1, 100, 2048, 2049, 5000, 17000, 53200} {
		e := newEngine(Dense70B)
		j := &Job{Class: Classes()[0], PromptTokens: prompt, OutputTokens: 10}
		e.waiting = append(e.waiting, j)
		e.admit()
		var got time.Duration
		chunks := 0
		for j.prefillLeft > 0 {
			d, _ := e.step()
			got += d
			chunks++
		}
		wantChunks, want := naivePrefill(Dense70B, prompt, 0)
		if chunks != wantChunks {
			t.Errorf("%d tokens: got %d chunks, want %d", prompt, chunks, wantChunks)
		}
		if off := (got - want).Abs(); off > want/100 {
			t.Errorf("%d tokens: got %v, want %v", prompt, got, want)
		}
	}
}

// TestRefusals: under overload, shedding requests that would not finish in time lets
// more of the lowest tier finish before their callers time out, and no fewer requests are
// on time. Below capacity no request is shed.
func TestRefusals(t *testing.T) {
	// noise is the fraction by which two runs may differ by chance.
	const noise = 0.01
	for seed := uint64(1); seed <= 4; seed++ {
		overload := DefaultOptions(PatternOverload, seed)
		shedding, noShedding := Run(overload, PolicyBalancer), Run(overload, PolicyNoShedding)
		if got, want := shedding.Completed["draft"], noShedding.Completed["draft"]; got <= want {
			t.Errorf("seed %d: got %.3f of the drafts completed in time, want more than the %.3f without shedding", seed, got, want)
		}
		if got, want := shedding.OnTimeOverall, noShedding.OnTimeOverall-noise; got < want {
			t.Errorf("seed %d: got %.3f on time, want at least the %.3f without shedding", seed, got, noShedding.OnTimeOverall)
		}
		if got := Run(DefaultOptions(PatternCalm, seed), PolicyBalancer).Shed; got != 0 {
			t.Errorf("seed %d: got %d requests shed in calm, want none", seed, got)
		}
	}
}
