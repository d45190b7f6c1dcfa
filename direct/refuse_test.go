package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/platform/stand"
)

// applyTime is the platform's config-apply-ms.
const applyTime = 2 * time.Second

// addedRoute is on no route of the first configuration.
var addedRoute = stand.Route{Host: testHost, Prefix: "/added/", Kind: "idempotent", Service: "desk", Timeout: time.Second, MaxAttempts: 2}

// TestRefusalLogged guards against a refusal whose line does not tell on which configuration it
// rests, and why the entry has no newer one.
func TestRefusalLogged(t *testing.T) {
	tests := map[string]struct {
		request callerRequest
		cut     bool
		want    []string
	}{
		"no route":                   {request: callerRequest{path: "/none/a", key: testKey}, want: []string{"confirmed"}},
		"unknown key":                {request: callerRequest{path: "/read/a", key: "none"}, want: []string{"confirmed"}},
		"cut off, no route":          {request: callerRequest{path: "/none/a", key: testKey}, cut: true, want: []string{"confirmed", "down"}},
		"cut off, an unknown key":    {request: callerRequest{path: "/read/a", key: "none"}, cut: true, want: []string{"confirmed", "down"}},
		"cut off, no key where due":  {request: callerRequest{path: "/read/a"}, cut: true, want: []string{"confirmed", "down"}},
		"no key where one is needed": {request: callerRequest{path: "/read/a"}, want: []string{"confirmed"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &fakes.LogBuffer{}
			s := newStackOf(t, stackOptions{entries: 1, log: log})
			s.entries[0].storeCut.Store(test.cut)
			if test.cut {
				waitFor(t, "the store's absence noticed", func() bool { return s.isPrefixDown(t, s.entries[0], "op/config") })
			}
			got := s.send(context.Background(), s.entries[0], test.request)
			line := log.LastLine(t, got.id)
			for _, field := range append([]string{"version", "since", "source", "era", "revision", "copy", "highest"}, test.want...) {
				if line[field] == nil {
					t.Errorf("got no %s in the line %v, want it", field, line)
				}
			}
			if line["version"] != 1.0 || line["source"] != "list" && line["source"] != "watch" {
				t.Errorf("got version %v by %v, want 1 by the store", line["version"], line["source"])
			}
			if _, ok := line["down"]; ok != test.cut {
				t.Errorf("got down in the line: %v, want %v", ok, test.cut)
			}
		})
	}
}

// TestRefusalUnconfirmed guards against a refusal as if a route or key did not exist (404, 401) by
// an entry that cannot know: what was written while nothing confirmed its copy for longer than a
// change may take (CONFIG, DENIED).
func TestRefusalUnconfirmed(t *testing.T) {
	const newKey = "key-new"
	added := stand.EncodeConfig(2, append([]stand.Route{addedRoute}, testRoutes...), []string{"desk"}, map[string][]string{"team-one": {testKey, newKey}})
	tests := map[string]struct {
		entries int
		// begin begins what keeps the change from the entries, end ends it.
		begin, end func(s *testStack)
		// known is set if the entries have the change all the same.
		known bool
	}{
		"control, nothing": {entries: 2, begin: func(*testStack) {}, end: func(*testStack) {}, known: true},
		"one of two is cut off from the store": {
			entries: 2, known: true,
			begin: func(s *testStack) { s.entries[0].storeCut.Store(true) },
			end:   func(s *testStack) { s.entries[0].storeCut.Store(false) },
		},
		"alone and cut off from the store": {
			entries: 1,
			begin:   func(s *testStack) { s.entries[0].storeCut.Store(true) },
			end:     func(s *testStack) { s.entries[0].storeCut.Store(false) },
		},
		"all are cut off from the store": {
			entries: 3,
			begin: func(s *testStack) {
				for _, e := range s.entries {
					e.storeCut.Store(true)
				}
			},
			end: func(s *testStack) {
				for _, e := range s.entries {
					e.storeCut.Store(false)
				}
			},
		},
		"the store answers nobody": {
			entries: 2,
			begin:   func(s *testStack) { s.store.SetFaults(stand.StoreFaults{NoResponse: true}) },
			end:     func(s *testStack) { s.store.SetFaults(stand.StoreFaults{}) },
		},
		"answers are read late": {
			entries: 1,
			begin:   func(s *testStack) { s.entries[0].readLate.Store(int64(3 * time.Second)) },
			end: func(s *testStack) {
				late := time.Duration(s.entries[0].readLate.Swap(0))
				time.Sleep(late) // The last late answer has been read.
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: test.entries, fullWait: true})
			test.begin(s)
			time.Sleep(time.Second) // Calls from before have ended.
			s.store.Put("op/config", added)
			acknowledged := time.Now()
			time.Sleep(applyTime)
			requests := map[string]callerRequest{
				"added route": {method: http.MethodGet, path: "/added/a", key: testKey},
				"added key":   {method: http.MethodGet, path: "/read/a", key: newKey},
			}
			for time.Since(acknowledged) < applyTime+2500*time.Millisecond {
				for i, e := range s.entries {
					for what, request := range requests {
						got := s.send(context.Background(), e, request).status
						if got == http.StatusNotFound || got == http.StatusUnauthorized || test.known && got != http.StatusOK {
							t.Fatalf("entry %d, %s: got %d %v after it was written, known %v", i, what, got, time.Since(acknowledged), test.known)
						}
					}
					if got := s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey}).status; got != http.StatusOK {
						t.Errorf("entry %d: got %d on a route that all have, want 200", i, got)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			test.end(s)
			time.Sleep(contactTime)
			for i, e := range s.entries {
				if got := s.send(context.Background(), e, requests["added route"]).status; got != http.StatusOK {
					t.Errorf("entry %d: got %d on the added route %v after the end, want 200", i, got, contactTime)
				}
				if got := s.send(context.Background(), e, callerRequest{path: "/none/a", key: testKey}).status; got != http.StatusNotFound {
					t.Errorf("entry %d: got %d on no route %v after the end, want 404", i, got, contactTime)
				}
			}
		})
	}
}

// TestRefusalBesideEarlyAnswers guards against a refusal of an added route (404) by an entry that takes an
// answer which was on its way for as long as the wait of its watch for one that the store gave at the end
// of that wait. The watch right after a change is the longest one at a store that does not wait (CONFIG, DENIED).
func TestRefusalBesideEarlyAnswers(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 1100 * time.Millisecond, 1250 * time.Millisecond, 1400 * time.Millisecond} {
		for _, offset := range []time.Duration{70 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(late, " late, ", offset), func(t *testing.T) {
				t.Parallel()
				log := &fakes.LogBuffer{}
				s := newStackOf(t, stackOptions{entries: 1, fullWait: true, log: log})
				way := func(d stand.Delivery) {
					s.store.SetFaults(stand.StoreFaults{Deliveries: map[string]stand.Delivery{"": d}})
				}
				get := func(path string) callerResponse {
					return s.send(context.Background(), s.entries[0], callerRequest{method: http.MethodGet, path: path, key: testKey})
				}
				way(stand.Delivery{NoWait: true})
				time.Sleep(2 * time.Second)
				other := addedRoute
				other.Prefix = "/other/"
				routes := append([]stand.Route{other}, testRoutes...)
				s.store.Put("op/config", testConfig(2, routes))
				waitFor(t, "the first version in force", func() bool { return get("/other/a").status == http.StatusOK })
				way(stand.Delivery{NoWait: true, Late: late})
				time.Sleep(offset)
				s.store.Put("op/config", testConfig(3, append([]stand.Route{addedRoute}, routes...)))
				acknowledged := time.Now()
				time.Sleep(applyTime)
				for time.Since(acknowledged) < 2*applyTime {
					if got := get("/added/a"); got.status == http.StatusNotFound || got.status == http.StatusUnauthorized {
						t.Fatalf("got %d %v after the route was written, %v", got.status, time.Since(acknowledged), log.LastLine(t, got.id))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// TestConfirmedBetweenChanges guards against a 503 in place of a 404 where nothing is wrong, as each
// watch ends with a change shortly before its wait is over.
func TestConfirmedBetweenChanges(t *testing.T) {
	s := newStackOf(t, stackOptions{entries: 1, fullWait: true})
	const period = 1050 * time.Millisecond // A wait, and the pause after a change.
	begin := time.Now()
	written := 0
	for time.Since(begin) < 8*period {
		if time.Since(begin) >= time.Duration(written)*period {
			written++
			s.store.Put("op/config", testConfig(uint64(1+written), testRoutes))
		}
		if got := s.send(context.Background(), s.entries[0], callerRequest{path: "/none/a", key: testKey}); got.status != http.StatusNotFound {
			t.Fatalf("got %d %q on no route after %d versions, want 404", got.status, got.body, written)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRefusalAfterSilence guards against a 503 in place of a refusal long after the store has returned
// from a short silence: the watch that it took before may never be answered (DENIED).
func TestRefusalAfterSilence(t *testing.T) {
	const (
		phases    = 5
		phaseStep = 200 * time.Millisecond
	)
	for phase := range phases {
		for name, back := range map[string]func(d *drill){
			"as it was":       func(d *drill) { d.store.SetFaults(stand.StoreFaults{}) },
			"from a copy":     func(d *drill) { d.comeBack(0) },
			"without history": func(d *drill) { d.store.Compact(); d.store.SetFaults(stand.StoreFaults{}) },
		} {
			since := time.Duration(phase) * phaseStep
			t.Run(name+", "+since.String()+" after a change", func(t *testing.T) {
				t.Parallel()
				log := &fakes.LogBuffer{}
				d := &drill{testStack: newStackOf(t, stackOptions{entries: 1, fullWait: true, log: log})}
				d.configure(2, false)
				d.waitForVersion(2, time.Second)
				d.takeCopy()
				time.Sleep(since)
				d.store.SetFaults(stand.StoreFaults{NoResponse: true})
				time.Sleep(awayTime)
				back(d)
				for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					got := d.send(context.Background(), d.entry(0), callerRequest{path: "/read/a", key: revokedKey})
					if got.status != http.StatusUnauthorized {
						t.Fatalf("got status %d %v, want 401", got.status, log.LastLine(t, got.id))
					}
				}
			})
		}
	}
}
