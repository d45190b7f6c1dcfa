package direct_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"cactustide/direct"
	"cactustide/platform/stand"
	"cactustide/wire"
)

// storeCalls returns the number of calls to the store so far.
func (s *testStack) storeCalls() int {
	n := 0
	for _, calls := range s.store.CallCounts() {
		n += calls
	}
	return n
}

// roles returns the entries that watch the store, and the others.
func (s *testStack) roles() (watchers, others []*testEntry) {
	for _, e := range s.entries {
		if e.closed {
			continue
		}
		if s.status(e).GetWatcher() {
			watchers = append(watchers, e)
		} else {
			others = append(others, e)
		}
	}
	return watchers, others
}

// waitForRoles waits until each entry knows all others and three watch.
func (s *testStack) waitForRoles() {
	s.t.Helper()
	var known []int
	var watchers []*testEntry
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		watchers, _ = s.roles()
		known = nil
		for _, e := range s.entries {
			known = append(known, len(s.status(e).GetMembers()))
		}
		if slices.Min(known) == len(s.entries) && len(watchers) == 3 {
			return
		}
	}
	s.t.Fatalf("got %d watchers after 5 s, the entries know of %v; want 3 and %d", len(watchers), known, len(s.entries))
}

// status returns the status of an entry.
func (s *testStack) status(e *testEntry) *wire.EntryStatus {
	s.t.Helper()
	_, text := s.get(s.t, e, direct.PathStatus)
	status := &wire.EntryStatus{}
	if err := protojson.Unmarshal([]byte(text), status); err != nil {
		s.t.Fatal(err)
	}
	return status
}

// hasVersion reports whether an entry has a configuration version in force.
func (s *testStack) hasVersion(e *testEntry, version uint64) bool {
	_, text := s.get(s.t, e, direct.PathStatus)
	return strings.Contains(text, fmt.Sprintf(`"version":"%d"`, version))
}

// TestSharedWatch guards the bound of changes where a few entries watch the store for all:
// in calm, with the watchers cut from the store or gone, and with the store away meanwhile.
func TestSharedWatch(t *testing.T) {
	const (
		entries = 9
		apply   = 2 * time.Second
		spread  = 500 * time.Millisecond
	)
	s := newStackOf(t, stackOptions{entries: entries, fullWait: true})
	s.waitForRoles()
	version := uint64(1)
	change := func(within time.Duration, who []*testEntry) {
		t.Helper()
		version++
		s.store.Put("op/config", testConfig(version, testRoutes))
		begin := time.Now()
		for _, e := range who {
			for !s.hasVersion(e, version) {
				if time.Since(begin) > within {
					t.Fatalf("version %d not in force at %s within %v", version, e.settings.Name, within)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	change(spread, s.entries)
	calls := s.storeCalls()
	time.Sleep(3 * time.Second)
	// Each watch lasts a third of a second; without sharing nine entries would make over 50.
	if got := s.storeCalls() - calls; got > 3*2*10+entries {
		t.Errorf("got %d calls to the store in 3 s, want those of three watchers", got)
	}
	watchers, others := s.roles()
	for _, e := range watchers {
		e.storeCut.Store(true)
	}
	change(apply, others)
	change(apply, s.entries)
	for _, e := range watchers {
		e.storeCut.Store(false)
	}
	time.Sleep(time.Second)
	for _, e := range watchers {
		e.Close()
		e.closed = true
	}
	change(apply, others)
	s.store.SetFaults(stand.StoreFaults{NoResponse: true})
	time.Sleep(2 * time.Second)
	s.store.SetFaults(stand.StoreFaults{})
	change(apply, others)
	s.store.Put("servers/u-0", s.replicas[0].Registration("draining"))
	waitFor(t, "the drain is known to all", func() bool {
		for _, e := range others {
			if _, text := s.get(t, e, direct.PathStatus); !strings.Contains(text, `"draining":true`) {
				return false
			}
		}
		return true
	})
	for _, e := range others {
		if got := s.send(t.Context(), e, callerRequest{path: "/book/a", key: testKey, body: "x"}); got.status != http.StatusOK {
			t.Errorf("got status %d, want 200", got.status)
		}
	}
}
