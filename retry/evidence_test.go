package retry

import (
	"fmt"
	"testing"
	"time"
)

// TestEvidence checks which parts are quarantined, by crashes and whole responses.
func TestEvidence(t *testing.T) {
	second := func(n float64) time.Time { return now.Add(time.Duration(n * float64(time.Second))) }
	crash := func(name string, at float64, parts ...string) []Crash {
		var list []Crash
		for _, p := range parts {
			list = append(list, Crash{Subject: p, Upstream: name, At: second(at)})
		}
		return list
	}
	tests := map[string]struct {
		apply func(p *Evidence)
		at    float64
		want  []string
	}{
		"two crashes": {func(p *Evidence) {
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(2), crash("b", 2, "x"))
		}, 3, nil},
		"three crashes": {func(p *Evidence) {
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(2), crash("b", 2, "x"))
			p.AddCrashes(second(3), crash("c", 3, "x"))
		}, 3, []string{"x"}},
		"one crash told three times": {func(p *Evidence) {
			for i := range 3 {
				p.AddCrashes(second(float64(i)), crash("a", float64(i), "x"))
			}
		}, 3, nil},
		"upstreams that fail together": {func(p *Evidence) {
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(1), crash("b", 1.01, "x"))
			p.AddCrashes(second(1), crash("c", 1.02, "x"))
		}, 3, nil},
		"a whole response before": {func(p *Evidence) {
			p.AddSuccess(second(0), []string{"x"})
			p.AddCrashes(second(1), crash("a", 1, "x", "y"))
			p.AddCrashes(second(2), crash("b", 2, "x", "y"))
			p.AddCrashes(second(3), crash("c", 3, "x", "y"))
		}, 3, []string{"y"}},
		"a whole response long before": {func(p *Evidence) {
			p.AddSuccess(second(-9), []string{"x"})
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(2), crash("b", 2, "x"))
			p.AddCrashes(second(3), crash("c", 3, "x"))
		}, 3, []string{"x"}},
		"a whole response after": {func(p *Evidence) {
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(2), crash("b", 2, "x"))
			p.AddCrashes(second(3), crash("c", 3, "x"))
			p.AddSuccess(second(4), []string{"x"})
		}, 5, nil},
		"a crash told after its refutation": {func(p *Evidence) {
			p.AddCrashes(second(1), crash("a", 1, "x"))
			p.AddCrashes(second(2), crash("b", 2, "x"))
			p.AddSuccess(second(4), []string{"x"})
			p.AddCrashes(second(5), crash("c", 3, "x"))
		}, 5, nil},
		"explained by another part": {func(p *Evidence) {
			for i := range 4 {
				p.AddCrashes(second(float64(i)), crash(fmt.Sprint(i), float64(i), "x"))
			}
			for i := range 3 {
				p.AddCrashes(second(4), crash(fmt.Sprint(i), float64(i), "chance"))
			}
		}, 5, []string{"x"}},
		"two parts, each with its crashes": {func(p *Evidence) {
			for i := range 6 {
				p.AddCrashes(second(float64(i)), crash(fmt.Sprint(i), float64(i), []string{"x", "y"}[i%2]))
			}
		}, 6, []string{"x", "y"}},
		"on trial": {func(p *Evidence) {
			for i := range 3 {
				p.AddCrashes(second(float64(i)), crash(fmt.Sprint(i), float64(i), "x"))
			}
		}, 2 + partQuarantine.Seconds(), nil},
		"crashed on trial": {func(p *Evidence) {
			for i := range 3 {
				p.AddCrashes(second(float64(i)), crash(fmt.Sprint(i), float64(i), "x"))
			}
			p.AddCrashes(second(130), crash("again", 130, "x"))
		}, 131, []string{"x"}},
		"forgotten": {func(p *Evidence) {
			for i := range 3 {
				p.AddCrashes(second(float64(i)), crash(fmt.Sprint(i), float64(i), "x"))
			}
			p.AddCrashes(second(700), crash("again", 700, "x"))
		}, 701, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPartEvidence()
			test.apply(p)
			var got []string
			for _, part := range []string{"x", "y", "chance"} {
				if _, ok := p.FindQuarantined(second(test.at), part); ok {
					got = append(got, part)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v quarantined, want %v", got, test.want)
			}
		})
	}
}

// TestEvidenceBounded checks the bounds on memory.
func TestEvidenceBounded(t *testing.T) {
	p := NewPartEvidence()
	for i := range 2 * maxCrashes {
		at := now.Add(time.Duration(i) * time.Millisecond)
		p.AddCrashes(at, []Crash{{Subject: fmt.Sprint(i), Upstream: "c", At: at}})
	}
	if got := len(p.Crashes(now)); got > maxCrashes {
		t.Errorf("got %d records, want at most %d", got, maxCrashes)
	}
	for i := range 3 * maxSuccesses {
		p.AddSuccess(now, []string{fmt.Sprint("s", i)})
	}
	if got := len(p.successes); got > maxSuccesses {
		t.Errorf("got %d parts with a success, want at most %d", got, maxSuccesses)
	}
}

// TestEvidenceMerge checks that two processes agree, in whatever order they learn.
func TestEvidenceMerge(t *testing.T) {
	a, b := NewPartEvidence(), NewPartEvidence()
	for i := range 3 {
		added, _ := a.AddCrashes(now, []Crash{{Subject: "x", Upstream: fmt.Sprint(i), At: now.Add(time.Duration(i) * time.Second)}})
		if again, _ := b.AddCrashes(now, added); len(again) != 1 {
			t.Errorf("got %v as new at the peer, want the record", again)
		}
	}
	if _, ok := b.FindQuarantined(now, "x"); !ok {
		t.Error("got no quarantine at the peer, want one")
	}
	clearing := a.AddSuccess(now.Add(3*time.Second), []string{"x"})
	if len(b.AddSuccesses(now, clearing)) != 1 || len(b.AddSuccesses(now, clearing)) != 0 {
		t.Error("got no clearing at the peer, or twice, want it once")
	}
	if _, ok := b.FindQuarantined(now, "x"); ok {
		t.Error("got a quarantine after the success, want none")
	}
	if _, refuting := b.AddCrashes(now, []Crash{{Subject: "x", Upstream: "late", At: now}}); len(refuting) != 1 {
		t.Errorf("got %v, want the success that refutes a late record", refuting)
	}
}

// TestRequestEvidence checks which requests are refused: one that crashes whatever runs it,
// however rarely it comes, and no other, however many run when upstreams crash for other
// reasons.
func TestRequestEvidence(t *testing.T) {
	second := func(n float64) time.Time { return now.Add(time.Duration(n * float64(time.Second))) }
	type step struct {
		at float64
		// upstream crashed while it ran the requests; empty if they were answered.
		upstream string
		requests []string
	}
	tests := map[string]struct {
		steps []step
		at    float64
		want  []string
	}{
		"three upstreams":        {[]step{{1, "a@1", []string{"x"}}, {2, "b@1", []string{"x"}}, {3, "c@1", []string{"x"}}}, 3, []string{"x"}},
		"two upstreams":          {[]step{{1, "a@1", []string{"x"}}, {2, "b@1", []string{"x"}}}, 3, nil},
		"one id, three starts":   {[]step{{1, "a@1", []string{"x"}}, {4, "a@2", []string{"x"}}, {7, "a@3", []string{"x"}}}, 7, []string{"x"}},
		"one crash, told thrice": {[]step{{1, "a@1", []string{"x"}}, {1, "a@1", []string{"x"}}, {2, "a@1", []string{"x"}}}, 2, nil},
		"retries of one attempt": {[]step{{1, "a@1", []string{"x"}}, {1.01, "b@1", []string{"x"}}, {1.02, "c@1", []string{"x"}}}, 1.02, []string{"x"}},
		"one in three minutes":   {[]step{{0, "a@1", []string{"x"}}, {180, "b@1", []string{"x"}}, {360, "c@1", []string{"x"}}}, 360, []string{"x"}},
		"answered in between":    {[]step{{1, "a@1", []string{"x"}}, {2, "b@1", []string{"x"}}, {3, "", []string{"x"}}, {9, "c@1", []string{"x"}}}, 9, nil},
		"answered shortly before each": {[]step{
			{0.9, "", []string{"x"}}, {1, "a@1", []string{"x"}}, {1.9, "", []string{"x"}}, {2, "b@1", []string{"x"}}, {2.9, "", []string{"x"}}, {3, "c@1", []string{"x"}},
		}, 3, nil},
		"answered elsewhere afterwards":      {[]step{{1, "a@1", []string{"x"}}, {1, "b@1", []string{"x"}}, {1, "c@1", []string{"x"}}, {1.2, "", []string{"x"}}}, 2, nil},
		"fail together while it runs":        {[]step{{10, "a@1", []string{"long"}}, {10.01, "b@1", []string{"long"}}, {10.02, "c@1", []string{"long"}}}, 11, nil},
		"one after the other, each run long": {[]step{{10, "a@1", []string{"long"}}, {20, "b@1", []string{"long"}}, {30, "c@1", []string{"long"}}}, 30, []string{"long"}},
		"beside the one that crashes them": {[]step{
			{1, "a@1", []string{"x", "y"}}, {2, "b@1", []string{"x"}}, {3, "c@1", []string{"x", "y"}}, {4, "d@1", []string{"x", "y"}},
		}, 4, []string{"x"}},
		"still refused after minutes": {[]step{{1, "a@1", []string{"x"}}, {2, "b@1", []string{"x"}}, {3, "c@1", []string{"x"}}}, 590, []string{"x"}},
		"forgotten":                   {[]step{{1, "a@1", []string{"x"}}, {2, "b@1", []string{"x"}}, {3, "c@1", []string{"x"}}}, 604, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewRequestEvidence()
			for _, s := range test.steps {
				if s.upstream == "" {
					p.AddSuccess(second(s.at), s.requests)
					continue
				}
				var list []Crash
				for _, r := range s.requests {
					began := s.at
					if r == "long" {
						began -= 5
					}
					list = append(list, Crash{Subject: r, Upstream: s.upstream, Began: second(began), At: second(s.at)})
				}
				p.AddCrashes(second(s.at), list)
			}
			var got []string
			for _, r := range []string{"x", "y", "long"} {
				if _, ok := p.FindQuarantined(second(test.at), r); ok {
					got = append(got, r)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v quarantined, want %v", got, test.want)
			}
		})
	}
}

// TestEvidenceKept checks that many requests which ran at one crash do not displace one that
// crashed several upstreams.
func TestEvidenceKept(t *testing.T) {
	p := NewRequestEvidence()
	for i := range 3 {
		p.AddCrashes(now, []Crash{{Subject: "bad", Upstream: fmt.Sprint(i), At: now}})
	}
	for i := range 2 * maxCrashes {
		at := now.Add(time.Duration(i+1) * time.Millisecond)
		p.AddCrashes(at, []Crash{{Subject: fmt.Sprint("other", i), Upstream: "other", At: at}})
	}
	if _, ok := p.FindQuarantined(now.Add(time.Minute), "bad"); !ok {
		t.Error("got no quarantine after many other crashes, want it kept")
	}
}

// TestRequestCopies guards against copies of a deadly request that end several upstreams at once
// being counted as one crash (BUDGET), and against a sound one that is refused because upstreams were
// lost together.
func TestRequestCopies(t *testing.T) {
	const ms = time.Millisecond
	type run struct {
		upstream string
		// ran is for how long a request had run at the crash, at when that was.
		ran, at time.Duration
	}
	tests := map[string]struct {
		copies, others []run
		// running is for how long another copy has been running; 0 means that there is none.
		running time.Duration
		want    bool
	}{
		"three at once":                         {copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 2 * ms}, {"c", 510 * ms, 3 * ms}}, want: true},
		"three in half a second":                {copies: []run{{"a", 500 * ms, 0}, {"b", 505 * ms, 220 * ms}, {"c", 500 * ms, 480 * ms}}, want: true},
		"three that ran for anything up to 2 s": {copies: []run{{"a", 400 * ms, 400 * ms}, {"b", 900 * ms, 900 * ms}, {"c", 1900 * ms, 1900 * ms}}, want: true},
		"an entry notices one end late":         {copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}, {"c", 500 * ms, 0}, {"c", 790 * ms, 290 * ms}}, want: true},
		"two at once":                           {copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}}},
		"one upstream, three copies":            {copies: []run{{"a", 500 * ms, 0}, {"a", 510 * ms, 0}, {"a", 520 * ms, 0}}},
		"three that had run for different times": {
			copies: []run{{"a", 300 * ms, 0}, {"b", 900 * ms, 0}, {"c", 1800 * ms, 0}},
		},
		"three at once that had run for long": {copies: []run{{"a", 5 * time.Second, 0}, {"b", 5 * time.Second, 0}, {"c", 5 * time.Second, 0}}},
		"an upstream without a copy lost with them": {
			copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}, {"c", 500 * ms, 0}},
			others: []run{{"a", 40 * ms, 0}, {"d", 90 * ms, 1 * ms}},
		},
		"others only where copies ran": {
			copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}, {"c", 500 * ms, 0}},
			others: []run{{"a", 40 * ms, 0}, {"c", 90 * ms, 0}},
			want:   true,
		},
		"another one runs for longer": {
			copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}, {"c", 500 * ms, 0}}, running: 800 * ms,
		},
		"another one has begun": {
			copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 0}, {"c", 500 * ms, 0}}, running: 100 * ms, want: true,
		},
		"another one runs for longer, each sent after the crash before": {
			copies: []run{{"a", 500 * ms, 0}, {"b", 500 * ms, 600 * ms}, {"c", 500 * ms, 1200 * ms}}, running: 5 * time.Second, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// Entries hear of the crashes in any order.
			for first := range test.copies {
				e := NewRequestEvidence()
				end := now.Add(2 * time.Second)
				if test.running > 0 {
					e.Begin(end.Add(-test.running), "x")
				}
				add := func(subject string, r run) {
					at := now.Add(r.at)
					e.AddCrashes(end, []Crash{{Subject: subject, Upstream: r.upstream, Began: at.Add(-r.ran), At: at}})
				}
				for i := range test.copies {
					add("x", test.copies[(first+i)%len(test.copies)])
				}
				for i, r := range test.others {
					add(fmt.Sprint("other", i), r)
				}
				if _, got := e.FindQuarantined(end, "x"); got != test.want {
					t.Errorf("from copy %d on: got refused %t, want %t", first, got, test.want)
				}
				if test.running > 0 {
					e.End(end.Add(-test.running), "x")
					if got := len(e.running.began); got != 0 {
						t.Errorf("got %d requests that run, want none", got)
					}
				}
			}
		})
	}
}

// TestEndedBounded checks the bound on the processes whose end is stored.
func TestEndedBounded(t *testing.T) {
	e := NewRequestEvidence()
	for i := range 2 * maxEnded {
		at := now.Add(time.Duration(i) * time.Millisecond)
		e.AddCrashes(at, []Crash{{Subject: "x", Upstream: fmt.Sprint(i), At: at}})
		e.AddSuccesses(at, []Success{{Subject: "x", At: at.Add(-successWindow)}})
	}
	if got := len(e.ended); got > maxEnded {
		t.Errorf("got %d processes, want at most %d", got, maxEnded)
	}
}
