package direct_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// TestStreamRouteChanged guards against a stream that goes on at another release or service (ORDER), as
// its path has another route by then, or its route another timeout, and no entry that kept its origin
// can be asked.
func TestStreamRouteChanged(t *testing.T) {
	longer := takeRoute
	longer.Prefix, longer.Service = "/take/a", "other"
	shorter := takeRoute
	shorter.Timeout = 500 * time.Millisecond
	tests := map[string]struct {
		before []stand.Route
		// begun is the version whose streams are taken up.
		begun string
		// change is played once the streams have begun.
		change func(s *streams)
		after  []stand.Route
		// goesOn is set if the streams may go on.
		goesOn bool
	}{
		"control, nothing changes":                          {before: []stand.Route{takeRoute}, begun: "v1", after: []stand.Route{takeRoute}, goesOn: true},
		"a longer route to another service is added":        {before: []stand.Route{takeRoute}, begun: "v1", after: []stand.Route{longer, takeRoute}},
		"a longer route to another service is removed":      {before: []stand.Route{longer, takeRoute}, begun: "v9", after: []stand.Route{takeRoute}},
		"another route takes the place of that of its path": {before: []stand.Route{takeRoute}, begun: "v1", after: []stand.Route{longer}},
		"the timeout becomes shorter, its version has left": {
			before: []stand.Route{takeRoute}, begun: "v1", after: []stand.Route{shorter},
			change: func(s *streams) {
				s.joinVersion("v2", []int{0, 1})
				s.leaveAt("v1", []int{0, 1})
				time.Sleep(streamWindowTimeouts*shorter.Timeout + 300*time.Millisecond)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 2, fullWait: true, first: true})}
			configure := func(version uint64, routes []stand.Route) {
				s.store.Put("op/config", stand.EncodeConfig(version, append(routes, testRoutes...), []string{"desk", "other"}, map[string][]string{"team-one": {testKey}}))
				for _, e := range s.entries {
					waitFor(t, "the configuration", func() bool { return s.hasVersion(e, version) })
				}
			}
			configure(2, test.before)
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			s.addAt("other-0", "other", "v9", []int{0, 1})
			s.entries[1].peersCut.Store(true)
			list := s.beginOf(test.begun)
			if test.change != nil {
				test.change(s)
			}
			configure(3, test.after)
			time.Sleep(300 * time.Millisecond) // The entry has looked at what serves.
			for _, begun := range list {
				got := s.resume(s.entries[1], begun, nil)
				for _, run := range s.versionsOf(got.id) {
					if !strings.HasSuffix(run, "@"+begun.version) {
						t.Errorf("got a run %s of a stream of %s, want none at another version", run, begun.version)
					}
				}
				if (got.status == http.StatusOK) != test.goesOn {
					t.Errorf("got status %d %q, want the stream to go on: %v", got.status, got.body, test.goesOn)
				}
			}
		})
	}
}

// streamWindowTimeouts is the time after its begin in which a stream is taken up, in timeouts of its route.
const streamWindowTimeouts = 3

// TestStreamRouteChangedBeforeStart guards against a stream that goes on at another service (ORDER) through
// an entry that started after the route had moved, and knows from the record only what served there.
func TestStreamRouteChangedBeforeStart(t *testing.T) {
	moved := takeRoute
	moved.Service = "other"
	for name, test := range map[string]struct {
		before, after stand.Route
		begun         string
	}{
		"control, nothing changes":      {before: takeRoute, after: takeRoute, begun: "v1"},
		"the route moves":               {before: takeRoute, after: moved, begun: "v1"},
		"the route moves the other way": {before: moved, after: takeRoute, begun: "v9"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 2, fullWait: true, first: true})}
			both := takeRoute // Streams of both services are recorded.
			both.Prefix, both.Service = "/both/", "other"
			configure := func(version uint64, take stand.Route) {
				s.store.Put("op/config", stand.EncodeConfig(version, append([]stand.Route{take, both}, testRoutes...), []string{"desk", "other"}, map[string][]string{"team-one": {testKey}}))
				for _, e := range s.entries {
					waitFor(t, "the configuration", func() bool { return s.hasVersion(e, version) })
				}
			}
			configure(2, test.before)
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			s.addAt("other-0", "other", "v9", []int{0, 1})
			for service, version := range map[string]string{"desk": "v1", "other": "v9"} {
				waitFor(t, "the record of "+service, func() bool { return strings.Contains(string(s.store.Value("releases/"+service)), `"`+version+`"`) })
			}
			list := s.beginOf(test.begun)
			configure(3, test.after)
			s.restartAll()
			for _, begun := range list {
				got := s.resume(s.entries[1], begun, nil)
				for _, run := range s.versionsOf(got.id) {
					if !strings.HasSuffix(run, "@"+begun.version) {
						t.Errorf("got a run %s of a stream of %s, want none at another version", run, begun.version)
					}
				}
				if goesOn := test.before == test.after; goesOn && got.status != http.StatusOK {
					t.Errorf("got status %d %q, want the stream to go on", got.status, got.body)
				}
			}
		})
	}
}
