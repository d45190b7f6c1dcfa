package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactustide/fleet"
)

// candidate is the process of testKey.
var candidate = fleet.Candidate{Upstream: fleet.Upstream{ID: testKey.Upstream, StartedAt: testKey.StartedAt}}

// newLimited returns a ledger that knows a rate since start.
func newLimited(rate float64) *Ledger {
	l := NewLedger()
	l.Random = func() float64 { return 0.5 }
	l.Observe(start, start, testKey, rate, true)
	return l
}

// alone is a fleet of one entry that has run for long.
func alone() Fleet {
	return Fleet{Self: "a", Version: 1, Alive: func() []string { return []string{"a"} }, Count: 1, Known: 1, StartedAt: at(-100)}
}

// TestAnswers guards against turns that are used at another time than that for which they were
// granted.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		answered float64
		answer   Answer
		used     float64
		want     bool
	}{
		"at once":           {0.01, Answer{Count: 1, Number: 1}, 0.02, true},
		"no turn":           {0.01, Answer{Number: 1}, 0.02, false},
		"answer late":       {0.6, Answer{Count: 1, Number: 1}, 0.61, false},
		"another number":    {0.01, Answer{Count: 1, Number: 2}, 0.02, false},
		"before it begins":  {0.01, Answer{Count: 1, Number: 1, First: time.Second, Last: time.Second}, 0.5, false},
		"when it begins":    {0.01, Answer{Count: 1, Number: 1, First: time.Second, Last: time.Second}, 1.02, true},
		"while it is held":  {0.01, Answer{Count: 1, Number: 1}, 2.4, true},
		"no longer held":    {0.01, Answer{Count: 1, Number: 1}, 2.6, false},
		"second one begins": {0.01, Answer{Count: 2, Number: 1, Last: time.Second}, 0.02, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLimited(1)
			_, passed := l.Admit(start, []fleet.Candidate{candidate}, Key{})
			if asks := l.Asks(start, "a", "s", passed); len(asks) != 1 {
				t.Fatalf("got %d requests for turns, want 1", len(asks))
			}
			if asks := l.Asks(at(0.1), "a", "s", passed); len(asks) != 0 {
				t.Errorf("got %d more requests for turns while one is not answered, want none", len(asks))
			}
			test.answer.Limit, _ = l.Find(testKey)
			l.HandleAnswer(at(test.answered), test.answer)
			if got := l.Take(at(test.used), testKey, Key{}); got != test.want {
				t.Errorf("got a turn: %v, want %v", got, test.want)
			}
		})
	}
}

// TestWaitOrder: turns go by tier and among teams, and the longest waiting one is not forgotten.
func TestWaitOrder(t *testing.T) {
	l := newLimited(100)
	l.Asks(start, "a", "s", []Key{testKey})
	var order []string
	waiters := map[string]*Waiter{}
	add := func(name, team string, tier int) {
		w := l.Wait(start, "s", team, tier, []Key{testKey}, time.Second)
		if w == nil {
			t.Fatalf("%s may not wait", name)
		}
		waiters[name] = w
	}
	add("low", "x", 5)
	for i := range 3 {
		add(fmt.Sprint("busy", i), "y", 1)
	}
	add("other team", "z", 1)
	add("urgent", "y", 0)
	give := func() {
		l.GiveBack(start.Add(time.Duration(len(order))*time.Millisecond), testKey)
		for name, w := range waiters {
			select {
			case <-w.Turn:
				order = append(order, name)
				delete(waiters, name)
			default:
			}
		}
	}
	for range 6 {
		give()
	}
	want := []string{"urgent", "other team", "busy0", "low", "busy1", "busy2"}
	if !slices.Equal(order, want) {
		t.Errorf("got turns in the order %v, want %v", order, want)
	}
}

// TestWaitBound: a request does not wait behind more others than there are turns in its time.
func TestWaitBound(t *testing.T) {
	l := newLimited(20)
	l.Asks(start, "a", "s", []Key{testKey})
	n := 0
	for ; n < 100 && l.Wait(start, "s", "", 1, []Key{testKey}, 250*time.Millisecond) != nil; n++ {
	}
	if n != 5 {
		t.Errorf("got %d requests waiting, want 5", n)
	}
	if l.Wait(start, "s", "", 0, []Key{testKey}, 250*time.Millisecond) == nil {
		t.Error("got no place for a request of a higher tier, want one")
	}
}

// TestEndedWhileWaiting: requests that wait go on at once when the limit ends.
func TestEndedWhileWaiting(t *testing.T) {
	l := newLimited(1)
	l.Asks(start, "a", "s", []Key{testKey})
	w := l.Wait(start, "s", "", 1, []Key{testKey}, time.Second)
	l.Merge(at(0.1), Limit{Key: testKey, Version: 2})
	select {
	case got := <-w.Turn:
		if got != (Key{}) {
			t.Errorf("got a turn of %v, want none: it needs none", got)
		}
	default:
		t.Error("got no news for the waiting request, want it to choose again")
	}
}

// TestRamp: after the end of a limit a growing part of the requests is admitted where there are
// other upstreams, and all where there is none.
func TestRamp(t *testing.T) {
	other := fleet.Candidate{Upstream: fleet.Upstream{ID: "other"}}
	admitted := func(from float64, list ...fleet.Candidate) int {
		l := newLimited(1)
		l.Merge(at(0), Limit{Key: testKey, Version: 2})
		n := 0
		for i := range 100 {
			open, _ := l.Admit(at(from+float64(i)/1000), slices.Clone(list), Key{})
			if slices.ContainsFunc(open, func(c fleet.Candidate) bool { return c.ID == testKey.Upstream }) {
				n++
			}
		}
		return n
	}
	early, late, after := admitted(0.2, candidate, other), admitted(1.5, candidate, other), admitted(3, candidate, other)
	if early < 5 || early > 20 || late < 50 || late > 75 || after != 100 {
		t.Errorf("got %d, %d and %d of 100 requests 0.2, 1.5 and 3 s after the end, want about 10, 60 and 100", early, late, after)
	}
	if got := admitted(0, candidate); got != 100 {
		t.Errorf("got %d of 100 requests where there is no other upstream, want all", got)
	}
}

// TestGrant guards against turns handed out by an entry that is not the one to do so, or by more
// than its part of the fleet.
func TestGrant(t *testing.T) {
	two := func() []string { return []string{"a", "b"} }
	owner := Owner(two(), testKey)
	other := map[string]string{"a": "b", "b": "a"}[owner]
	tests := map[string]struct {
		fleet Fleet
		// want is the number of turns in 20 s at a rate of 10.
		want float64
	}{
		"alone":              {alone(), 0.9 * 200},
		"owner":              {Fleet{Self: owner, Version: 1, Alive: two, Count: 2, Known: 2, StartedAt: at(-100)}, 0.9 * 200},
		"not the owner":      {Fleet{Self: other, Version: 1, Alive: two, Count: 2, Known: 2, StartedAt: at(-100)}, 0},
		"half is missing":    {Fleet{Self: owner, Version: 1, Alive: two, Count: 2, Known: 4, StartedAt: at(-100)}, 0.45 * 200},
		"started just now":   {Fleet{Self: owner, Version: 1, Alive: two, Count: 2, Known: 2, StartedAt: at(10)}, 0.9 * 100},
		"large fleet, alone": {Fleet{Self: "a", Version: 1, Alive: func() []string { return []string{"a"} }, Count: 1, Known: 1000, StartedAt: at(-100)}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLimited(10)
			limit, _ := l.Find(testKey)
			n := 0
			for ms := range 20_000 {
				n += l.Grant(start.Add(time.Duration(ms)*time.Millisecond), Ask{From: "x", Limit: limit, Count: 3, Within: 100 * time.Millisecond}, test.fleet).Count
			}
			if got := float64(n); got > test.want+2 || got < test.want-15 {
				t.Errorf("got %v turns, want about %v", got, test.want)
			}
		})
	}
}

// TestTakeover: an entry that becomes the one to hand out turns begins only after the one
// before has had time to learn of it.
func TestTakeover(t *testing.T) {
	l := newLimited(100)
	limit, _ := l.Find(testKey)
	members := []string{"a", "b", "c"}
	owner := Owner(members, testKey)
	f := Fleet{Self: owner, Version: 1, Count: 3, Known: 3, StartedAt: at(-100), Alive: func() []string { return members }}
	ask := Ask{From: "x", Limit: limit, Count: 1, Within: 100 * time.Millisecond}
	l.Grant(at(0), ask, f)
	if got := l.Grant(at(0.9), ask, f); got.Count != 0 || got.Retry <= 0 {
		t.Errorf("got %+v 0.9 s after it became the owner, want no turn and a time to ask again", got)
	}
	if got := l.Grant(at(1.5), ask, f); got.Count != 1 {
		t.Errorf("got %+v 1.5 s after it became the owner, want a turn", got)
	}
	f.Version, f.Alive = 2, func() []string { return []string{"elsewhere"} }
	if got := l.Grant(at(2), ask, f); got.Count != 0 {
		t.Errorf("got %+v when another entry is the owner, want no turn", got)
	}
	f.Version, f.Alive = 3, func() []string { return members }
	if got := l.Grant(at(3), ask, f); got.Count != 0 {
		t.Errorf("got %+v right after it became the owner again, want no turn", got)
	}
}

// BenchmarkAdmit: the choice among 10 candidates of 10,000 upstreams, without limits and with
// 1,000 of them limited.
func BenchmarkAdmit(b *testing.B) {
	for _, limited := range []int{0, 1000} {
		b.Run(fmt.Sprint(limited, " limited"), func(b *testing.B) {
			l := NewLedger()
			var all []fleet.Candidate
			for i := range 10_000 {
				c := fleet.Candidate{Upstream: fleet.Upstream{ID: fmt.Sprint("u-", i), StartedAt: 1}}
				all = append(all, c)
				if i%10 == 0 && i/10 < limited {
					l.Observe(start, start, KeyOf(c.Upstream), 1, true)
				}
			}
			list := make([]fleet.Candidate, 10)
			b.ResetTimer()
			for i := range b.N {
				first := i * 10 % len(all)
				copy(list, all[first:])
				_, passed := l.Admit(start, list, Key{})
				l.Asks(start, "a", "s", passed)
			}
		})
	}
}
