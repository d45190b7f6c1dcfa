package retry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestSuspects checks which requests are refused where several parts of prompts were there at the
// same crashes.
func TestSuspects(t *testing.T) {
	// crash is a crash at a time in seconds. requests lists the parts of each request that it
	// ended; s* stands for a part that no other request holds.
	type crash struct {
		at       float64
		requests []string
	}
	// repeat returns crashes a second apart, from a time on.
	repeat := func(from float64, n int, requests ...string) []crash {
		var list []crash
		for i := range n {
			list = append(list, crash{from + float64(i), requests})
		}
		return list
	}
	many := func(n int, parts string) []string {
		var list []string
		for range n {
			list = append(list, parts)
		}
		return list
	}
	tests := map[string]struct {
		crashes []crash
		// refused and served are the parts of requests.
		refused, served []string
	}{
		"the shared part was there each time": {
			repeat(1, 3, append(many(10, "shared own"), "shared bad")...), []string{"shared bad", "bad"}, []string{"shared own", "shared"},
		},
		"three shared parts": {
			repeat(1, 3, append(many(5, "a b c own"), "a b c bad")...), []string{"a b c bad"}, []string{"a b c own", "a", "a b c"},
		},
		"one sound request is enough": {
			[]crash{{1, []string{"shared bad"}}, {2, []string{"shared bad", "shared own"}}, {3, []string{"shared bad"}}}, []string{"shared bad"}, []string{"shared own"},
		},
		"always together": {
			repeat(1, 3, "shared bad"), []string{"shared bad", "bad own shared"}, []string{"shared own", "shared", "bad"},
		},
		"together until one came without the other": {
			append(repeat(1, 3, "shared bad"), crash{4, []string{"own bad"}}), []string{"shared bad", "bad"}, []string{"shared own"},
		},
		"crashes of other causes with the shared part": {
			append(repeat(1, 3, append(many(8, "shared s*"), "shared bad")...), repeat(5, 2, many(8, "shared s*")...)...), []string{"shared bad"}, []string{"shared own"},
		},
		"others between the crashes of the part": {
			[]crash{{1, append(many(8, "shared s*"), "shared bad")}, {2, many(8, "shared s*")}, {3, append(many(8, "shared s*"), "shared bad")}}, nil, []string{"shared own", "shared bad"},
		},
		"a rare part at some of the crashes": {
			append(repeat(1, 3, "bad one", "rare"), repeat(4, 2, "bad two")...), []string{"bad three"}, []string{"rare", "one", "two"},
		},
		"each deadly request in a session of its own": {
			[]crash{{1, []string{"shared bad s1", "shared s2"}}, {2, []string{"shared bad s2", "shared s1"}}, {3, []string{"shared bad s3", "shared s2"}}},
			[]string{"shared bad s1", "bad"},
			[]string{"shared s1", "shared s2", "shared s3"},
		},
		"two parts, each with its crashes": {
			append(repeat(1, 3, append(many(6, "shared s*"), "shared bad")...), repeat(5, 3, append(many(6, "shared s*"), "shared worse")...)...),
			[]string{"shared bad", "shared worse"},
			[]string{"shared own"},
		},
		"two parts by turns, before either suffices": {
			[]crash{{1, append(many(8, "shared s*"), "shared bad")}, {2, append(many(8, "shared s*"), "shared worse")}, {3, append(many(8, "shared s*"), "shared bad")}}, nil, []string{"shared own"},
		},
		"a rare part at crashes of other causes while the deadly one is refused": {
			append(append(repeat(1, 1, "shared bad"), repeat(2, 2, "shared bad", "shared rare", "shared s*")...), repeat(8, 2, "shared rare", "shared s*")...),
			[]string{"shared bad"},
			[]string{"shared own"},
		},
		"many requests at three crashes": {repeat(1, 3, many(16, "shared")...), nil, []string{"shared"}},
		"many requests at six crashes":   {repeat(1, 6, many(16, "shared")...), []string{"shared"}, nil},
		"upstreams that fail together": {
			[]crash{{1, []string{"bad"}}, {1.05, []string{"bad"}}, {1.1, []string{"bad"}}, {1.15, []string{"bad"}}}, nil, []string{"bad"},
		},
		"upstreams that crash closely": {
			[]crash{{1, []string{"bad"}}, {1.2, []string{"bad"}}, {1.4, []string{"bad"}}}, []string{"bad"}, nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := NewPartEvidence()
			hash := uint64(0)
			for i, c := range test.crashes {
				at := now.Add(time.Duration(c.at * float64(time.Second)))
				var aborted []Abort
				for _, parts := range c.requests {
					hash++
					aborted = append(aborted, Abort{Began: at, At: at, Request: hash, Parts: strings.Fields(strings.ReplaceAll(parts, "*", fmt.Sprint(hash)))})
				}
				e.AddCrashes(at, CrashesOfParts(fmt.Sprint(i), aborted))
			}
			end := now.Add(20 * time.Second)
			for _, parts := range test.refused {
				if _, got := e.FindQuarantined(end, strings.Fields(parts)...); !got {
					t.Errorf("got a request with %s served, want it refused", parts)
				}
			}
			for _, parts := range test.served {
				if group, got := e.FindQuarantined(end, strings.Fields(parts)...); got {
					t.Errorf("got a request with %s refused for %v, want it served", parts, group)
				}
			}
		})
	}
}

// TestSuspectsSpread checks that entries which saw different requests end at the same crashes
// come to the same result, in whatever order they hear of each other.
func TestSuspectsSpread(t *testing.T) {
	a, b := NewPartEvidence(), NewPartEvidence()
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		process := fmt.Sprint(i)
		own := CrashesOfParts(process, []Abort{{At: at, Request: 1, Parts: []string{"shared", "bad"}}})
		other := CrashesOfParts(process, []Abort{{At: at, Request: 2, Parts: []string{"shared", "own"}}, {At: at, Request: 3, Parts: []string{"shared"}}})
		a.AddCrashes(at, own)
		added, _ := a.AddCrashes(at, other)
		b.AddCrashes(at, added)
		b.AddCrashes(at, own)
		if again, _ := b.AddCrashes(at, other); len(again) != 0 {
			t.Errorf("got %v as new, want nothing", again)
		}
	}
	for name, e := range map[string]*Evidence{"own first": a, "own last": b} {
		if _, got := e.FindQuarantined(now, "shared", "own"); got {
			t.Errorf("%s: got a sound request refused, want it served", name)
		}
		if _, got := e.FindQuarantined(now, "shared", "bad"); !got {
			t.Errorf("%s: got a deadly request served, want it refused", name)
		}
		if crashes, requests := e.Count("shared"); crashes != 3 || requests != 9 {
			t.Errorf("%s: got %d crashes of %d requests, want 3 of 9", name, crashes, requests)
		}
	}
}

// TestEarlierVersion checks that crashes of peers that tell nothing of the requests count as those
// of one request.
func TestEarlierVersion(t *testing.T) {
	e := NewPartEvidence()
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		e.AddCrashes(at, []Crash{{Subject: "shared", Upstream: fmt.Sprint(i), At: at}, {Subject: "bad", Upstream: fmt.Sprint(i), At: at}})
	}
	if _, got := e.FindQuarantined(now, "shared", "bad"); !got {
		t.Error("got a request with both parts served, want it refused")
	}
}

// BenchmarkAddCrashes measures the time to add the crash records of one crash with as many parts.
func BenchmarkAddCrashes(b *testing.B) {
	for _, parts := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			x := Abort{At: now, Request: 1}
			for i := range parts {
				x.Parts = append(x.Parts, fmt.Sprint("part", i))
			}
			for b.Loop() {
				NewPartEvidence().AddCrashes(now, CrashesOfParts("a", []Abort{x}))
			}
		})
	}
}

// BenchmarkFullEvidence measures the time to add one more crash where as many are stored as the
// bound allows: of parts at the same crashes, and of pairs of parts at crashes of their own.
func BenchmarkFullEvidence(b *testing.B) {
	at := func(i int) time.Time { return now.Add(time.Duration(i) * time.Second / 4) }
	tests := map[string]func(e *Evidence){
		"same": func(e *Evidence) {
			for i := range 8 {
				var aborted []Abort
				for part := range maxCrashes / 8 {
					aborted = append(aborted, Abort{At: at(i), Request: uint64(part), Parts: []string{fmt.Sprint(part)}})
				}
				e.AddCrashes(at(i), CrashesOfParts(fmt.Sprint(i), aborted))
			}
		},
		"pairs": func(e *Evidence) {
			for i := range maxCrashes / 2 {
				e.AddCrashes(at(i), CrashesOfParts(fmt.Sprint(i), []Abort{{At: at(i), Request: uint64(i), Parts: []string{fmt.Sprint(i / 4), fmt.Sprint("b", i/2)}}}))
			}
		},
	}
	for name, fill := range tests {
		b.Run(name, func(b *testing.B) {
			e := NewPartEvidence()
			fill(e)
			end := at(maxCrashes)
			for i := 0; b.Loop(); i++ {
				e.AddCrashes(end, []Crash{{Subject: "one more", Upstream: fmt.Sprint("more", i), At: end, Requests: 1}})
			}
		})
	}
}

// TestManyParts checks that a crash with very many parts in flight takes bounded work, and that
// requests do not wait for it.
func TestManyParts(t *testing.T) {
	e := NewPartEvidence()
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		e.AddCrashes(at, CrashesOfParts(fmt.Sprint(i), []Abort{{At: at, Request: 1, Parts: []string{"bad"}}}))
	}
	at := now.Add(3 * time.Second)
	var aborted []Abort
	for request := range uint64(64) {
		x := Abort{At: at, Request: request}
		if request > 0 {
			x.Responded = now // Long before the crash.
		}
		for i := range 1000 {
			x.Parts = append(x.Parts, fmt.Sprint(request, "-", i))
		}
		aborted = append(aborted, x)
	}
	crashes := CrashesOfParts("3", aborted)
	if got := len(crashes); got != maxCrashes {
		t.Errorf("got crashes of %d parts, want %d", got, maxCrashes)
	}
	early := 0
	for _, c := range crashes {
		if !c.Late {
			early++
		}
	}
	if early != 1000 {
		t.Errorf("got %d parts of the request that had not begun, want all 1000", early)
	}
	e.AddCrashes(at, crashes)
	if got := len(e.Crashes(at)); got > maxCrashes {
		t.Errorf("got %d records, want at most %d", got, maxCrashes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	found := make(chan bool)
	go func() {
		_, got := e.FindQuarantined(at, "bad")
		found <- got
	}()
	select {
	case got := <-found:
		if !got {
			t.Error("got the deadly part served, want it refused")
		}
	case <-time.After(5 * time.Second):
		t.Error("got a request waiting while crashes are being added, want none")
	}
}

// TestCrashesTold checks what an entry tells its peers of a crash: what they need most comes
// first, as the message has a bound, and a peer that missed the crashes before learns of them
// with the one that decides.
func TestCrashesTold(t *testing.T) {
	a, b := NewPartEvidence(), NewPartEvidence()
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		var aborted []Abort
		for request := range uint64(30) {
			aborted = append(aborted, Abort{At: at, Responded: at.Add(-3 * time.Second), Request: request, Parts: []string{"shared", fmt.Sprint("own", i, "-", request)}})
		}
		aborted = append(aborted, Abort{At: at, Request: 50, Parts: []string{"shared", "bad"}})
		added, _ := a.AddCrashes(at, CrashesOfParts(fmt.Sprint(i), aborted))
		var first []string
		for _, c := range added[:2] {
			first = append(first, c.Subject)
		}
		if !slices.Contains(first, "bad") {
			t.Errorf("crash %d: got %v told first, want the part of the request that had not begun among them", i, first)
		}
		if i == 2 {
			b.AddCrashes(at, append(a.EarlierCrashes(added), added[:2]...))
		}
	}
	if _, got := b.FindQuarantined(now, "shared", "bad"); !got {
		t.Error("got a deadly request served by a peer that missed two crashes, want it refused")
	}
	if _, got := b.FindQuarantined(now, "shared", "own"); got {
		t.Error("got a sound request refused, want it served")
	}
}
