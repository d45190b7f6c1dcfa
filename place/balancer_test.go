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

func newRequest(segments []Segment, ownTokens int) *Request {
	req := &Request{
		Segments: segments, PromptTokens: ownTokens, OutputTokens: 100, LatencyTarget: 600 * time.Millisecond, EventGapTarget: 300 * time.Millisecond,
		Centre: "c", Engine: true, KVCapacity: 100_000, TokensPerEvent: 4, ArrivedAt: now,
	}
	for _, seg := range segments {
		req.PromptTokens += seg.Tokens
	}
	return req
}

func choose(t *testing.T, b *Balancer, at time.Time, c []fleet.Candidate, req *Request) Choice {
	t.Helper()
	req.ArrivedAt = at
	choice, ok := b.Choose(at, "s", c, req)
	if !ok {
		t.Fatal("got no choice, want one")
	}
	return choice
}

// TestCachedSegments guards against ignoring the prefix cache: a prompt goes to the
// upstream that caches its segments, whichever entry sent them; for another model, or
// after a restart, it has none.
func TestCachedSegments(t *testing.T) {
	segments := AppendSegment(nil, "m", "shared", 8000)
	for name, record := range map[string]func(*Balancer, fleet.Upstream){
		"sent by this entry": func(b *Balancer, u fleet.Upstream) { b.Start(now, "s", u, newRequest(segments, 500)).Finish(now) },
		"sent by another entry": func(b *Balancer, u fleet.Upstream) {
			b.StartRemote(now, 7, u, newRequest(segments, 500))
			b.FinishRemote(7)
		},
		"merged from a peer": func(b *Balancer, u fleet.Upstream) { b.MergeCache(now, u, segments, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{})
			c := candidates("a", "b", "c")
			record(b, c[1].Upstream)
			got := choose(t, b, now.Add(time.Second), c, newRequest(segments, 500))
			if got.Upstream.ID != "b" || got.Forecast.CachedTokens != 8000 {
				t.Errorf("got %s with %d cached, want b with 8000", got.Upstream.ID, got.Forecast.CachedTokens)
			}
			other := AppendSegment(nil, "other", "shared", 8000)
			if got := choose(t, b, now.Add(time.Second), c, newRequest(other, 500)); got.Forecast.CachedTokens != 0 {
				t.Errorf("got %d cached for another model, want 0", got.Forecast.CachedTokens)
			}
			c[1].StartedAt = 5
			if got := choose(t, b, now.Add(time.Second), c, newRequest(segments, 500)); got.Forecast.CachedTokens != 0 {
				t.Errorf("got %d cached after a restart, want 0", got.Forecast.CachedTokens)
			}
		})
	}
}

// TestLongPromptBesideQuickAnswers: a long prompt isn't sent to an engine with
// streams of short event gap targets.
func TestLongPromptBesideQuickAnswers(t *testing.T) {
	b := New(Settings{})
	c := candidates("quick", "idle")
	for range 6 {
		quick := newRequest(nil, 100)
		quick.EventGapTarget = 150 * time.Millisecond
		b.Start(now, "s", c[0].Upstream, quick)
	}
	if got := choose(t, b, now.Add(50*time.Millisecond), c, newRequest(nil, 12000)); got.Upstream.ID != "idle" {
		t.Errorf("got %s, want idle", got.Upstream.ID)
	}
}

// TestOverdue: an engine with overdue first events is avoided until they come.
func TestOverdue(t *testing.T) {
	b := New(Settings{})
	c := candidates("silent", "other")
	segments := AppendSegment(nil, "", "shared", 8000)
	inFlight := b.Start(now, "s", c[0].Upstream, newRequest(segments, 500))
	later := now.Add(3 * time.Second)
	if got := choose(t, b, later, c, newRequest(segments, 500)); got.Upstream.ID != "other" {
		t.Errorf("got %s while a first event is overdue, want other", got.Upstream.ID)
	}
	inFlight.RecordEvent(later)
	inFlight.Finish(later)
	if got := choose(t, b, later.Add(6*time.Second), c, newRequest(segments, 500)); got.Upstream.ID != "silent" {
		t.Errorf("got %s after the first event came, want the engine that caches the segments", got.Upstream.ID)
	}
}

// TestKVCapacity: a prompt that doesn't fit into the KV cache beside the running requests
// goes to another engine, even if its segments are cached.
func TestKVCapacity(t *testing.T) {
	b := New(Settings{})
	c := candidates("full", "other")
	segments := AppendSegment(nil, "", "shared", 4000)
	for range 4 {
		b.Start(now, "s", c[0].Upstream, newRequest(segments, 20000))
	}
	if got := choose(t, b, now.Add(2*time.Second), c, newRequest(segments, 20000)); got.Upstream.ID != "other" {
		t.Errorf("got %s, want other", got.Upstream.ID)
	}
}

// TestBannedAndFailing: banned upstreams are chosen last, failing ones before them.
func TestBannedAndFailing(t *testing.T) {
	b := New(Settings{})
	c := candidates("a", "b", "c")
	c[0].Banned, c[1].FailureRate = true, 0.5
	if got := choose(t, b, now, c, newRequest(nil, 100)); got.Upstream.ID != "c" {
		t.Errorf("got %s, want c", got.Upstream.ID)
	}
	if got := choose(t, b, now, c[:2], newRequest(nil, 100)); got.Upstream.ID != "b" {
		t.Errorf("got %s, want b", got.Upstream.ID)
	}
	if got := choose(t, b, now, c[:1], newRequest(nil, 100)); got.Upstream.ID != "a" {
		t.Errorf("got %s, want a as the only one", got.Upstream.ID)
	}
	if _, ok := b.Choose(now, "s", nil, newRequest(nil, 100)); ok {
		t.Error("got a choice without candidates, want none")
	}
}

// TestBounded guards against memory that grows with the number of requests when the
// messages that remote runs ended are lost.
func TestBounded(t *testing.T) {
	b := New(Settings{})
	u := candidates("a")[0].Upstream
	at := now
	for i := range uint64(5000) {
		at = at.Add(20 * time.Millisecond)
		b.StartRemote(at, i, u, newRequest(AppendSegment(nil, "", string(rune(i)), 100), 500))
		b.Choose(at, "s", candidates("a"), newRequest(nil, 10))
	}
	if got := len(b.remoteRuns); got > 2000 {
		t.Errorf("got %d remote runs, want at most 2000", got)
	}
	if got := len(b.lastUsed); got > 2000 {
		t.Errorf("got %d segments, want at most 2000", got)
	}
	if used := b.upstreams["a"].usedTokens; used < 0 {
		t.Errorf("got %d tokens in use, want no negative number", used)
	}
}
