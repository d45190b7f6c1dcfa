package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// TestJudgeProbe checks the verdicts on probes of added, removed and unknown routes.
func TestJudgeProbe(t *testing.T) {
	start := time.Unix(1_000, 0)
	added := probedRoute{Route: stand.Route{Prefix: "/v1/"}, added: start}
	removed := added
	removed.removed = start.Add(10 * time.Second)
	tests := map[string]struct {
		before, after probedRoute
		sent          time.Duration
		status        int
		body          string
		disturbed     bool
		storeBehind   bool
		want          bool
	}{
		"added, in time":             {before: added, after: added, sent: time.Second, status: http.StatusNotFound},
		"added, late":                {before: added, after: added, sent: 3 * time.Second, status: http.StatusNotFound, want: true},
		"key added, late":            {before: added, after: added, sent: 3 * time.Second, status: http.StatusUnauthorized, want: true},
		"added, cannot know":         {before: added, after: added, sent: 3 * time.Second, status: http.StatusServiceUnavailable, disturbed: true},
		"added, cannot know, calm":   {before: added, after: added, sent: 3 * time.Second, status: http.StatusServiceUnavailable, body: unconfirmedBody + "\n", want: true},
		"added, refused otherwise":   {before: added, after: added, sent: 3 * time.Second, status: http.StatusServiceUnavailable, body: "no upstream\n"},
		"added, fault, refused":      {before: added, after: added, sent: 3 * time.Second, status: http.StatusNotFound, disturbed: true, want: true},
		"added, fault, store behind": {before: added, after: added, sent: 3 * time.Second, status: http.StatusNotFound, disturbed: true, storeBehind: true},
		"added, store was behind":    {before: added, after: added, sent: 3 * time.Second, status: http.StatusNotFound, storeBehind: true, want: true},
		"removed meanwhile":          {before: added, after: removed, sent: 9 * time.Second, status: http.StatusNotFound},
		"removed, in time":           {before: removed, after: removed, sent: 11 * time.Second, status: http.StatusOK},
		"removed, late":              {before: removed, after: removed, sent: 13 * time.Second, status: http.StatusOK, want: true},
		"removed, refused":           {before: removed, after: removed, sent: 13 * time.Second, status: http.StatusUnauthorized},
		"unknown":                    {status: http.StatusNotFound},
		"unknown, does not say so":   {status: http.StatusServiceUnavailable, want: true},
		"unknown, cannot know":       {status: http.StatusServiceUnavailable, disturbed: true},
		"no response":                {before: added, after: added, sent: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ex := exchange{status: test.status, body: test.body, sentAt: start.Add(test.sent), undisturbed: !test.disturbed}
			if got := judgeProbe(test.before, test.after, ex, test.storeBehind); (got != "") != test.want {
				t.Errorf("got %q, want a violation: %v", got, test.want)
			}
		})
	}
}

// TestApart checks the plan around entries out of step: the same for a seed, all kinds over some
// seeds, some runs without upstreams that join, lengths within their range.
func TestApart(t *testing.T) {
	const duration, entries = 20 * time.Second, 3
	seen, without := map[string]bool{}, 0
	for seed := range uint64(20) {
		plan := NewApart(seed, duration, entries)
		if again := NewApart(seed, duration, entries); !slices.Equal(plan, again) || len(plan) == 0 {
			t.Errorf("seed %d: got %v and %v, want one plan", seed, plan, again)
		}
		joins := 0
		for _, s := range plan {
			seen[s.Kind] = true
			if s.Kind == "joinpaused" || s.Kind == "joincut" {
				joins++
			}
			if s.Offset >= duration || s.Target < 0 || s.Target >= entries || s.Duration < minApart || s.Duration > apartRange*minApart {
				t.Errorf("seed %d: got %v, want it within %v at one of %d entries, %v to %v long", seed, s, duration, entries, minApart, apartRange*minApart)
			}
		}
		if joins == 0 {
			without++
		}
	}
	if len(seen) != len(apartKinds) || without == 0 || without == 20 {
		t.Errorf("got kinds %v and %d of 20 runs without upstreams that join, want all kinds and some such runs", seen, without)
	}
}

// TestWasCutOff checks that only the entry that was cut off, in that time and settleTime after it, is
// left out of the check of drains.
func TestWasCutOff(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &runner{cuts: []disturbance{{from: start, to: start.Add(6 * time.Second), entry: 1}}}
	for name, test := range map[string]struct {
		entry int
		at    time.Duration
		want  bool
	}{
		"meanwhile":     {entry: 1, at: time.Second, want: true},
		"soon after":    {entry: 1, at: 6*time.Second + settleTime - 1, want: true},
		"later":         {entry: 1, at: 6*time.Second + settleTime},
		"before":        {entry: 1, at: -1},
		"another entry": {entry: 0, at: time.Second},
	} {
		if got := r.wasCutOff(test.entry, start.Add(test.at)); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}
