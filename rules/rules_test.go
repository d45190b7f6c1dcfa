package rules

import (
	"fmt"
	"testing"
)

func TestFindRoute(t *testing.T) {
	table := NewTable(&Document{Version: 1, Routes: []Route{
		{Name: "all", Host: "A.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":           {"a.example", "/x/y/z", "deep"},
		"shorter prefix":           {"a.example", "/x/z", "short"},
		"path shorter than prefix": {"a.example", "/x", "all"},
		"host in capitals":         {"A.EXAMPLE", "/x/1", "short"},
		"port in the host":         {"a.example:80", "/x/1", "short"},
		"other host":               {"b.example", "/x/1", "other"},
		"no prefix":                {"b.example", "/y/", ""},
		"unknown host":             {"c.example", "/x/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.FindRoute(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestPickService(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprintf("%08x", i)
		got := r.PickService(id)
		if again := r.PickService(id); again != got {
			t.Fatalf("got %s and %s for one id, want one service", got, again)
		}
		counts[got]++
	}
	if counts["c"] != 0 || counts["b"] < 850 || counts["b"] > 1150 {
		t.Errorf("got %v, want about 9000 a, 1000 b and no c", counts)
	}
	if got := (&Route{}).PickService("x"); got != "" {
		t.Errorf("got %q without services, want none", got)
	}
}

func TestAdopt(t *testing.T) {
	var h Holder
	steps := []struct {
		version, want uint64
		adopted       bool
	}{{0, 0, false}, {3, 3, true}, {3, 3, false}, {2, 3, false}, {9, 9, true}}
	for _, s := range steps {
		if got := h.Adopt(&Document{Version: s.version}); got != s.adopted {
			t.Errorf("version %d: got adopted %v, want %v", s.version, got, s.adopted)
		}
		if got := h.Version(); got != s.want {
			t.Errorf("got version %d in force, want %d", got, s.want)
		}
	}
}

func TestKeys(t *testing.T) {
	table := NewTable(&Document{Version: 1, Teams: []Team{{Name: "one", Keys: []string{"k"}, Tier: 2, HasTier: true}}})
	if got, ok := table.FindOwner("k"); !ok || got != (Owner{Team: "one", Tier: 2, HasTier: true}) {
		t.Errorf("got %v %v, want team one with tier 2", got, ok)
	}
	if _, ok := table.FindOwner(""); ok {
		t.Error("got an owner of an empty key, want none")
	}
	cases := map[string]struct {
		table  *Table
		public bool
		want   bool
	}{
		"teams":               {table, false, true},
		"teams, public route": {table, true, false},
		"no teams":            {NewTable(&Document{Version: 1}), false, false},
	}
	for name, c := range cases {
		if got := c.table.NeedsKey(&Route{Public: c.public}); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestAllowsRetry(t *testing.T) {
	cases := map[string]struct {
		route Route
		want  bool
	}{
		"idempotent":       {Route{Kind: KindIdempotent}, true},
		"non-idempotent":   {Route{Kind: KindNonIdempotent}, false},
		"stream":           {Route{Kind: KindStream}, false},
		"resumable stream": {Route{Kind: KindStream, Resumable: true}, true},
	}
	for name, c := range cases {
		if got := c.route.AllowsRetry(); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestPriority checks that requests are ordered by team tier first. An engine that
// runs out of memory preempts the lowest priority, and a team's short requests must
// not preempt its long drafts.
func TestPriority(t *testing.T) {
	order := []struct {
		owner Owner
		route Route
	}{
		{Owner{HasTier: true, Tier: 0}, Route{Tier: 0}},
		{Owner{HasTier: true, Tier: 0}, Route{Tier: 2}},
		{Owner{HasTier: true, Tier: 1}, Route{Tier: 0}},
		{Owner{HasTier: true, Tier: 1}, Route{Tier: 9}},
		{Owner{HasTier: true, Tier: 2}, Route{Tier: 0}},
	}
	for i := 1; i < len(order); i++ {
		before, after := order[i-1].owner.Priority(&order[i-1].route), order[i].owner.Priority(&order[i].route)
		if before >= after {
			t.Errorf("got priorities %d and %d, want the first number lower", before, after)
		}
	}
	if got := (Owner{}).Priority(&Route{Tier: 3}); got != 3 {
		t.Errorf("got priority %d without a team's tier, want the route's 3", got)
	}
}
