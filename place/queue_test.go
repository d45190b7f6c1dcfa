package place

import (
	"testing"
	"time"
)

// TestUrgentFirst: a prompt waits for those that are as urgent or more, and for
// the one that has begun.
func TestUrgentFirst(t *testing.T) {
	type sent struct{ tier, tokens int }
	for name, tt := range map[string]struct {
		sent []sent
		tier int
		// behind holds the sends that the prompt waits for.
		behind []int
	}{
		"same tier":                      {sent: []sent{{1, 3000}, {1, 9000}}, tier: 1, behind: []int{0, 1}},
		"less urgent":                    {sent: []sent{{1, 3000}, {1, 9000}}, tier: 2, behind: []int{0, 1}},
		"more urgent than what waits":    {sent: []sent{{1, 3000}, {1, 9000}}, tier: 0, behind: []int{0}},
		"between":                        {sent: []sent{{2, 3000}, {0, 4000}, {2, 9000}}, tier: 1, behind: []int{0, 1}},
		"urgent ones overtook meanwhile": {sent: []sent{{2, 3000}, {2, 9000}, {0, 4000}}, tier: 0, behind: []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Settings{})
			u := candidates("a")[0].Upstream
			at := now
			for _, s := range tt.sent {
				w := prompt(nil, s.tokens)
				w.Tier = s.tier
				m.Start(at, "s", u, w)
				at = at.Add(time.Millisecond)
			}
			s := m.service("s")
			want := -at.Sub(now)
			for _, i := range tt.behind {
				want += s.readTime(tt.sent[i].tokens, 0)
			}
			if got := m.upstreams["a"].backlog(at, tt.tier); (got - want).Abs() > time.Microsecond {
				t.Errorf("got a wait of %v, want %v", got, want)
			}
		})
	}
}

// TestEarlyEvent: a first event that comes early takes the prompt out of the
// queue, and what left before it was read leaves nothing behind.
func TestEarlyEvent(t *testing.T) {
	m := New(Settings{})
	u := candidates("a")[0].Upstream
	first := m.Start(now, "s", u, prompt(nil, 9000))
	second := m.Start(now, "s", u, prompt(nil, 9000))
	at := now.Add(10 * time.Millisecond)
	want := m.service("s").readTime(9000, 0)
	first.RecordEvent(at)
	if got := m.upstreams["a"].unread(at); got > want {
		t.Errorf("got %v unread after the first's event, want at most the second's %v", got, want)
	}
	second.Finish(at)
	if got := m.upstreams["a"].unread(at); got != 0 {
		t.Errorf("got %v unread after both, want 0", got)
	}
}

// TestPace: where prompts behind others are read more slowly than alone, the
// forecasts follow.
func TestPace(t *testing.T) {
	const slower = 1.4
	m := New(Settings{})
	u := candidates("a")[0].Upstream
	at := now
	truth := time.Duration(slower * float64(m.service("s").readTime(8000, 0)))
	for range 200 {
		var tickets []*InFlightRequest
		var ends []time.Duration
		sum := time.Duration(0)
		for i := range 4 {
			sum += truth
			tickets = append(tickets, m.Start(at.Add(time.Duration(i)), "s", u, prompt(nil, 8000)))
			ends = append(ends, sum+m.service("s").step(m.upstreams["a"]))
		}
		for i, ticket := range tickets {
			ticket.RecordEvent(at.Add(ends[i]))
			ticket.Finish(at.Add(ends[i]))
		}
		at = at.Add(10 * time.Second)
	}
	s := m.service("s")
	if got := s.pace * s.scale; got < 0.9*slower || got > 1.1*slower {
		t.Errorf("got pace %.2f and scale %.2f, want %.1f together", s.pace, s.scale, slower)
	}
}

// TestSteps: tokens are expected to take longer the more context an engine holds.
func TestSteps(t *testing.T) {
	l := newLine(6, firstGuess)
	if got := l.at(300); got != 6 {
		t.Errorf("got %.2f before anything was seen, want the guess of 6", got)
	}
	for i := range 2000 {
		x := float64(i % 200)
		l.add(x, 3+0.02*x)
	}
	for x, want := range map[float64]float64{0: 3, 100: 5, 400: 11} {
		if got := l.at(x); got < want-0.2 || got > want+0.2 {
			t.Errorf("got %.2f at %.0f, want %.2f", got, x, want)
		}
	}
}

// TestGather: while all engines read prompts in turn, a quick answer goes where
// others of its kind keep long prompts away, not to an engine that is idle just
// now.
func TestGather(t *testing.T) {
	m := New(Settings{})
	c := candidates("guarded", "idle", "reads", "reads too")
	quick := func() *Request {
		w := prompt(nil, 100)
		w.EventGapTarget = 150 * time.Millisecond
		return w
	}
	for range 6 {
		m.Start(now, "s", c[0].Upstream, quick())
	}
	for _, i := range []int{2, 3} {
		for range 8 {
			m.Start(now, "s", c[i].Upstream, prompt(nil, 17000))
		}
	}
	at := now.Add(100 * time.Millisecond)
	if got := choose(t, m, at, c, quick()); got.Upstream.ID != "guarded" {
		t.Errorf("got %s, want guarded", got.Upstream.ID)
	}
	if got := choose(t, m, at, c, prompt(nil, 17000)); got.Upstream.ID != "idle" {
		t.Errorf("got %s for a long prompt, want idle", got.Upstream.ID)
	}
}

// TestTooLate: a stream that cannot be whole in time on a busy engine goes to
// another, though its parts are cached on the busy one.
func TestTooLate(t *testing.T) {
	m := New(Settings{})
	c := candidates("busy", "idle")
	parts := AppendSegment(nil, "shared", 8000)
	m.Start(now, "s", c[0].Upstream, prompt(parts, 500)).Finish(now)
	for range 12 {
		m.Start(now, "s", c[0].Upstream, prompt(nil, 17000))
	}
	w := prompt(parts, 500)
	w.Timeout = 3 * time.Second
	if got := choose(t, m, now, c, w); got.Upstream.ID != "idle" {
		t.Errorf("got %s, want idle", got.Upstream.ID)
	}
}
