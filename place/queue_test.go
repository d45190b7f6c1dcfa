package place

import (
	"testing"
	"time"
)

// TestPrefillOrder: a prompt waits for those of the same and higher tiers, and for the
// one whose prefill has started.
func TestPrefillOrder(t *testing.T) {
	type sent struct{ tier, tokens int }
	for name, tt := range map[string]struct {
		sent []sent
		tier int
		// waitsFor holds the indices of the requests that the prompt waits for.
		waitsFor []int
	}{
		"same tier":                         {sent: []sent{{1, 3000}, {1, 9000}}, tier: 1, waitsFor: []int{0, 1}},
		"lower tier":                        {sent: []sent{{1, 3000}, {1, 9000}}, tier: 2, waitsFor: []int{0, 1}},
		"higher tier than queued ones":      {sent: []sent{{1, 3000}, {1, 9000}}, tier: 0, waitsFor: []int{0}},
		"between":                           {sent: []sent{{2, 3000}, {0, 4000}, {2, 9000}}, tier: 1, waitsFor: []int{0, 1}},
		"higher tier overtook a queued one": {sent: []sent{{2, 3000}, {2, 9000}, {0, 4000}}, tier: 0, waitsFor: []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{})
			u := candidates("a")[0].Upstream
			at := now
			for _, s := range tt.sent {
				req := newRequest(nil, s.tokens)
				req.Tier = s.tier
				b.Start(at, "s", u, req)
				at = at.Add(time.Millisecond)
			}
			s := b.serviceModel("s")
			want := -at.Sub(now)
			for _, i := range tt.waitsFor {
				want += s.prefillTime(tt.sent[i].tokens, 0)
			}
			if got := b.upstreams["a"].backlog(at, tt.tier); (got - want).Abs() > time.Microsecond {
				t.Errorf("got a backlog of %v, want %v", got, want)
			}
		})
	}
}

// TestEarlyEvent: a first event that comes early dequeues the prompt, and a request
// that ends before its prefill leaves nothing in the queue.
func TestEarlyEvent(t *testing.T) {
	b := New(Settings{})
	u := candidates("a")[0].Upstream
	first := b.Start(now, "s", u, newRequest(nil, 9000))
	second := b.Start(now, "s", u, newRequest(nil, 9000))
	at := now.Add(10 * time.Millisecond)
	want := b.serviceModel("s").prefillTime(9000, 0)
	first.RecordEvent(at)
	if got := b.upstreams["a"].pendingPrefill(at); got > want {
		t.Errorf("got %v of prefill pending after the first one's event, want at most the second one's %v", got, want)
	}
	second.Finish(at)
	if got := b.upstreams["a"].pendingPrefill(at); got != 0 {
		t.Errorf("got %v of prefill pending after both ended, want 0", got)
	}
}

// TestPrefillSlowdown: the estimates adapt to an engine whose queued prompts take
// longer than predicted.
func TestPrefillSlowdown(t *testing.T) {
	const slower = 1.4
	b := New(Settings{})
	u := candidates("a")[0].Upstream
	at := now
	actual := time.Duration(slower * float64(b.serviceModel("s").prefillTime(8000, 0)))
	for range 200 {
		var inFlight []*InFlightRequest
		var ends []time.Duration
		sum := time.Duration(0)
		for i := range 4 {
			sum += actual
			inFlight = append(inFlight, b.Start(at.Add(time.Duration(i)), "s", u, newRequest(nil, 8000)))
			ends = append(ends, sum+b.serviceModel("s").decodeStep(b.upstreams["a"]))
		}
		for i, r := range inFlight {
			r.RecordEvent(at.Add(ends[i]))
			r.Finish(at.Add(ends[i]))
		}
		at = at.Add(10 * time.Second)
	}
	s := b.serviceModel("s")
	if got := s.prefillSlowdown * s.prefillScale; got < 0.9*slower || got > 1.1*slower {
		t.Errorf("got a slowdown of %.2f and a scale of %.2f, want a product of %.1f", s.prefillSlowdown, s.prefillScale, slower)
	}
}

// TestLinearRegression: the line starts at the initial value and follows observations,
// also beyond their range.
func TestLinearRegression(t *testing.T) {
	l := newLinearRegression(6, priorObservations)
	if got := l.predict(300); got != 6 {
		t.Errorf("got %.2f without observations, want the initial 6", got)
	}
	for i := range 2000 {
		x := float64(i % 200)
		l.add(x, 3+0.02*x)
	}
	for x, want := range map[float64]float64{0: 3, 100: 5, 400: 11} {
		if got := l.predict(x); got < want-0.2 || got > want+0.2 {
			t.Errorf("got %.2f at %.0f, want %.2f", got, x, want)
		}
	}
}

// TestGapSensitiveRequestsShareEngine: while all other engines process prefills in turn,
// a request with a short event gap target goes to the engine whose running requests
// divert long prompts, not to one that is idle at the moment.
func TestGapSensitiveRequestsShareEngine(t *testing.T) {
	b := New(Settings{})
	c := candidates("guarded", "idle", "reads", "reads too")
	quick := func() *Request {
		req := newRequest(nil, 100)
		req.EventGapTarget = 150 * time.Millisecond
		return req
	}
	for range 6 {
		b.Start(now, "s", c[0].Upstream, quick())
	}
	for _, i := range []int{2, 3} {
		for range 8 {
			b.Start(now, "s", c[i].Upstream, newRequest(nil, 17000))
		}
	}
	at := now.Add(100 * time.Millisecond)
	if got := choose(t, b, at, c, quick()); got.Upstream.ID != "guarded" {
		t.Errorf("got %s, want guarded", got.Upstream.ID)
	}
	if got := choose(t, b, at, c, newRequest(nil, 17000)); got.Upstream.ID != "idle" {
		t.Errorf("got %s for a long prompt, want idle", got.Upstream.ID)
	}
}

// TestTooLate: a stream that can't finish within its timeout on a busy engine goes to
// another, although its segments are cached on the busy one.
func TestTooLate(t *testing.T) {
	b := New(Settings{})
	c := candidates("busy", "idle")
	segments := AppendSegment(nil, "", "shared", 8000)
	b.Start(now, "s", c[0].Upstream, newRequest(segments, 500)).Finish(now)
	for range 12 {
		b.Start(now, "s", c[0].Upstream, newRequest(nil, 17000))
	}
	req := newRequest(segments, 500)
	req.Timeout = 3 * time.Second
	if got := choose(t, b, now, c, req); got.Upstream.ID != "idle" {
		t.Errorf("got %s, want idle", got.Upstream.ID)
	}
}
