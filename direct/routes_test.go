package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactustide/rules"
)

// TestRouteHistory guards against a stream that is taken for one of the route that its path has now, though
// it may have begun on another one (ORDER), and against what is kept of former routes without a bound.
func TestRouteHistory(t *testing.T) {
	const apply = 2 * time.Second
	start := time.Unix(1000, 0)
	route := func(prefix, service string, timeout time.Duration) rules.Route {
		return rules.Route{Host: "H.example", Prefix: prefix, Resumable: true, Timeout: timeout, Split: []rules.WeightedService{{Service: service, Weight: 1}}}
	}
	plain := route("/a/b/", "plain", time.Second)
	plain.Resumable = false
	one, two := route("/a/", "one", time.Second), route("/a/b/", "two", 4*time.Second)
	tests := map[string]struct {
		versions [][]rules.Route
		// after is the time from the last version on; they come 10 ms apart.
		after  time.Duration
		want   []string
		window time.Duration
		lost   bool
	}{
		"one version":                       {versions: [][]rules.Route{{one}}, want: []string{"one"}, window: 3 * time.Second},
		"the longest prefix":                {versions: [][]rules.Route{{one, two}}, want: []string{"two"}, window: 12 * time.Second},
		"a longer one is added":             {versions: [][]rules.Route{{one}, {one, two}}, want: []string{"one", "two"}, window: 12 * time.Second},
		"long after it was added":           {versions: [][]rules.Route{{one}, {one, two}}, after: apply + 4*time.Second, want: []string{"two"}, window: 12 * time.Second},
		"a longer one is removed":           {versions: [][]rules.Route{{one, two}, {one}}, want: []string{"one", "two"}, window: 12 * time.Second},
		"some time after it was removed":    {versions: [][]rules.Route{{one, two}, {one}}, after: apply + 11*time.Second, want: []string{"one", "two"}, window: 12 * time.Second},
		"long after it was removed":         {versions: [][]rules.Route{{one, two}, {one}}, after: apply + 13*time.Second, want: []string{"one"}, window: 3 * time.Second},
		"the path had no route":             {versions: [][]rules.Route{{plain}, {one}}, want: []string{"one"}, window: 3 * time.Second},
		"other routes change again, bounds": {versions: manyVersions(one, 2*maxFormerVersions), want: []string{"one"}, window: 3 * time.Second, lost: true},
		"the same routes in each version":   {versions: slices.Repeat([][]rules.Route{{one}}, 3*maxFormerVersions), want: []string{"one"}, window: 3 * time.Second},
		"versions larger than the bound":    {versions: [][]rules.Route{manyRoutes(maxFormerRoutes + 1), {one}}, want: []string{"one"}, window: 3 * time.Second, lost: true},
		"the same, long after":              {versions: [][]rules.Route{manyRoutes(maxFormerRoutes + 1), {one}}, after: apply + 4*time.Second, want: []string{"one"}, window: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &routeHistory{}
			now := start
			for _, routes := range test.versions {
				now = now.Add(10 * time.Millisecond)
				h.adopt(now, &rules.Document{Routes: routes}, apply)
			}
			services, window, ok := h.begun(now.Add(test.after), "h.example:80", "/a/b/c")
			if ok == test.lost {
				t.Fatalf("got knowledge %v, want %v", ok, !test.lost)
			}
			slices.Sort(services)
			services = slices.Compact(services)
			if ok && (!slices.Equal(services, test.want) || window != test.window) {
				t.Errorf("got %v within %v, want %v within %v", services, window, test.want, test.window)
			}
			if len(h.former) > maxFormerVersions {
				t.Errorf("got %d former versions, want at most %d", len(h.former), maxFormerVersions)
			}
		})
	}
}

// manyVersions returns versions of a route beside another one that each has under another prefix.
func manyVersions(route rules.Route, n int) (versions [][]rules.Route) {
	for i := range n {
		other := route
		other.Prefix = fmt.Sprintf("/other-%d/", i)
		versions = append(versions, []rules.Route{route, other})
	}
	return versions
}

// manyRoutes returns routes of one version.
func manyRoutes(n int) (routes []rules.Route) {
	for i := range n {
		routes = append(routes, rules.Route{Host: "h.example", Prefix: fmt.Sprintf("/many-%d/", i), Resumable: true, Timeout: time.Second})
	}
	return routes
}
