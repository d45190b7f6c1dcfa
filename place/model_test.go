package place

import (
	"testing"
	"time"

	"cactustide/fleet"
)

var now = time.Unix(1000, 0)

func candidates(ids ...string) []fleet.Candidate {
	var list []fleet.Candidate
	for _, id := range ids {
		list = append(list, fleet.Candidate{Upstream: fleet.Upstream{ID: id, Service: "s", Centre: "c", Slots: 8}})
	}
	return list
}

func prompt(parts []Segment, own int) *Request {
	w := &Request{
		Segments: parts, PromptTokens: own, OutputTokens: 100, LatencyTarget: 600 * time.Millisecond, EventGapTarget: 300 * time.Millisecond,
		Centre: "c", Engine: true, KVCapacity: 100_000, TokensPerEvent: 4, ArrivedAt: now,
	}
	for _, p := range parts {
		w.PromptTokens += p.Tokens
	}
	return w
}

func choose(t *testing.T, m *Balancer, at time.Time, c []fleet.Candidate, w *Request) Choice {
	t.Helper()
	w.ArrivedAt = at
	choice, ok := m.Choose(at, "s", c, w)
	if !ok {
		t.Fatal("got no choice, want one")
	}
	return choice
}

// TestCachedParts: a prompt goes where its parts are, whichever entry sent them.
func TestCachedParts(t *testing.T) {
	parts := AppendSegment(nil, "shared", 8000)
	for name, tell := range map[string]func(*Balancer, fleet.Upstream){
		"sent here":            func(m *Balancer, u fleet.Upstream) { m.Start(now, "s", u, prompt(parts, 500)).Finish(now) },
		"told by another":      func(m *Balancer, u fleet.Upstream) { m.StartRemote(now, 7, u, prompt(parts, 500)); m.FinishRemote(7) },
		"recalled from a peer": func(m *Balancer, u fleet.Upstream) { m.MergeCache(now, u, parts, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Settings{})
			c := candidates("a", "b", "c")
			tell(m, c[1].Upstream)
			got := choose(t, m, now.Add(time.Second), c, prompt(parts, 500))
			if got.Upstream.ID != "b" || got.Forecast.CachedTokens != 8000 {
				t.Errorf("got %s with %d cached, want b with 8000", got.Upstream.ID, got.Forecast.CachedTokens)
			}
			c[1].StartedAt = 5
			if got := choose(t, m, now.Add(time.Second), c, prompt(parts, 500)); got.Forecast.CachedTokens != 0 {
				t.Errorf("got %d cached in a new lifetime, want 0", got.Forecast.CachedTokens)
			}
		})
	}
}

// TestLongPromptBesideQuickAnswers: a long prompt keeps away from an engine that
// streams quick answers.
func TestLongPromptBesideQuickAnswers(t *testing.T) {
	m := New(Settings{})
	c := candidates("quick", "idle")
	for range 6 {
		quick := prompt(nil, 100)
		quick.EventGapTarget = 150 * time.Millisecond
		m.Start(now, "s", c[0].Upstream, quick)
	}
	if got := choose(t, m, now.Add(50*time.Millisecond), c, prompt(nil, 12000)); got.Upstream.ID != "idle" {
		t.Errorf("got %s, want idle", got.Upstream.ID)
	}
}

// TestOverdue: an engine whose first events fail to come is left alone.
func TestOverdue(t *testing.T) {
	m := New(Settings{})
	c := candidates("silent", "other")
	parts := AppendSegment(nil, "shared", 8000)
	ticket := m.Start(now, "s", c[0].Upstream, prompt(parts, 500))
	later := now.Add(3 * time.Second)
	if got := choose(t, m, later, c, prompt(parts, 500)); got.Upstream.ID != "other" {
		t.Errorf("got %s while a first event is overdue, want other", got.Upstream.ID)
	}
	ticket.RecordEvent(later)
	ticket.Finish(later)
	if got := choose(t, m, later.Add(6*time.Second), c, prompt(parts, 500)); got.Upstream.ID != "silent" {
		t.Errorf("got %s long after it came, want the engine that holds the parts", got.Upstream.ID)
	}
}

// TestMemory: a prompt that does not fit beside what runs goes elsewhere, even
// if its parts are there.
func TestMemory(t *testing.T) {
	m := New(Settings{})
	c := candidates("full", "other")
	parts := AppendSegment(nil, "shared", 4000)
	for range 4 {
		m.Start(now, "s", c[0].Upstream, prompt(parts, 20000))
	}
	if got := choose(t, m, now.Add(2*time.Second), c, prompt(parts, 20000)); got.Upstream.ID != "other" {
		t.Errorf("got %s, want other", got.Upstream.ID)
	}
}

// TestBannedAndFailing: upstreams that are away come last, failing ones late.
func TestBannedAndFailing(t *testing.T) {
	m := New(Settings{})
	c := candidates("a", "b", "c")
	c[0].Banned, c[1].FailureRate = true, 0.5
	if got := choose(t, m, now, c, prompt(nil, 100)); got.Upstream.ID != "c" {
		t.Errorf("got %s, want c", got.Upstream.ID)
	}
	if got := choose(t, m, now, c[:2], prompt(nil, 100)); got.Upstream.ID != "b" {
		t.Errorf("got %s, want b", got.Upstream.ID)
	}
	if got := choose(t, m, now, c[:1], prompt(nil, 100)); got.Upstream.ID != "a" {
		t.Errorf("got %s, want a as the only one", got.Upstream.ID)
	}
	if _, ok := m.Choose(now, "s", nil, prompt(nil, 100)); ok {
		t.Error("got a choice among none, want none")
	}
}

// TestBounded: what is kept does not grow with the requests, also when words of
// ended runs are lost.
func TestBounded(t *testing.T) {
	m := New(Settings{})
	u := candidates("a")[0].Upstream
	at := now
	for i := range uint64(5000) {
		at = at.Add(20 * time.Millisecond)
		m.StartRemote(at, i, u, prompt(AppendSegment(nil, string(rune(i)), 100), 500))
		m.Choose(at, "s", candidates("a"), prompt(nil, 10))
	}
	if got := len(m.told); got > 2000 {
		t.Errorf("got %d runs kept, want at most those of the last seconds", got)
	}
	if got := len(m.used); got > 2000 {
		t.Errorf("got %d parts kept, want at most those of the last seconds", got)
	}
	if used := m.upstreams["a"].used; used < 0 {
		t.Errorf("got memory %d in use, want none below zero", used)
	}
}
