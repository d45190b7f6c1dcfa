package direct_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"cactustide/platform/stand"
)

const (
	// contactTime is the platform's contact-ms: an entry counts as in touch again
	// that long after the store's return.
	contactTime = 3 * time.Second
	// drainTime is the platform's drain-ms.
	drainTime = 2 * time.Second
)

// TestUnansweredWatch guards against serving an old configuration because a watch that
// began before the store's return is never answered, at all entries at once.
func TestUnansweredWatch(t *testing.T) {
	s := newStackOf(t, stackOptions{entries: 2, fullWait: true})
	s.store.SetFaults(stand.StoreFaults{NoResponse: true})
	time.Sleep(50 * time.Millisecond) // All watches have met the fault.
	returned := time.Now()
	s.store.SetFaults(stand.StoreFaults{})
	added := stand.Route{Host: testHost, Prefix: "/added/", Kind: "idempotent", Service: "desk", Timeout: time.Second, MaxAttempts: 2}
	s.store.Put("op/config", testConfig(2, append([]stand.Route{added}, testRoutes...)))
	time.Sleep(time.Until(returned.Add(contactTime)))
	for i, e := range s.entries {
		if got := s.send(context.Background(), e, callerRequest{path: "/added/a", key: testKey}).status; got != http.StatusOK {
			t.Errorf("entry %d: got %d on the added route %v after the store's return, want 200", i, got, contactTime)
		}
	}
}

// TestRemovedBesideCutWatches guards against requests to an upstream whose registration
// was removed while the store cuts single watches: a cut watch is no outage in which
// registrations lapse.
func TestRemovedBesideCutWatches(t *testing.T) {
	s := newStackOf(t, stackOptions{entries: 1, fullWait: true})
	left := s.replicas[0]
	s.store.Delete(left.StoreKey())
	removed := time.Now()
	for time.Since(removed) < drainTime+time.Second {
		s.store.SetFaults(stand.StoreFaults{Reset: true})
		time.Sleep(time.Millisecond)
		s.store.SetFaults(stand.StoreFaults{})
		time.Sleep(250 * time.Millisecond)
	}
	before := len(left.ExecutedRequests())
	for range 20 {
		s.send(context.Background(), s.entries[0], callerRequest{path: "/read/a", key: testKey})
	}
	if got := len(left.ExecutedRequests()) - before; got != 0 {
		t.Errorf("got %d requests at the upstream %v after its registration was removed, want none", got, drainTime+time.Second)
	}
}

// TestReturnNoticed guards against keeping an upstream that leaves after the store's
// return: registrations that are removed up to 2 s after an entry has noticed the return
// count as lapsed, so it must notice within 1 s to be right once it is in touch.
func TestReturnNoticed(t *testing.T) {
	for name, down := range map[string]time.Duration{"a": 2600 * time.Millisecond, "b": 2900 * time.Millisecond, "c": 3300 * time.Millisecond, "d": 3700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: 1, fullWait: true})
			s.store.SetFaults(stand.StoreFaults{NoResponse: true})
			time.Sleep(down)
			s.store.SetFaults(stand.StoreFaults{})
			returned := time.Now()
			waitFor(t, "the store's return noticed", func() bool { return !s.isStoreDown(t, s.entries[0]) })
			if got, limit := time.Since(returned), contactTime-2*time.Second; got > limit {
				t.Errorf("got the return noticed after %v, want at most %v", got, limit)
			}
		})
	}
}

// TestRemovedAfterUnansweredWatch guards against keeping an upstream whose registration was
// removed, because one watch before it was not answered.
func TestRemovedAfterUnansweredWatch(t *testing.T) {
	s := newStackOf(t, stackOptions{entries: 1, fullWait: true})
	s.store.SetFaults(stand.StoreFaults{NoResponse: true})
	time.Sleep(20 * time.Millisecond)
	s.store.SetFaults(stand.StoreFaults{})
	time.Sleep(time.Second) // The watches of both prefixes are given up after 1.7 s.
	left := s.replicas[0]
	s.store.Delete(left.StoreKey())
	removed := time.Now()
	time.Sleep(drainTime)
	before := len(left.ExecutedRequests())
	for time.Since(removed) < drainTime+500*time.Millisecond {
		s.send(context.Background(), s.entries[0], callerRequest{path: "/read/a", key: testKey})
	}
	if got := len(left.ExecutedRequests()) - before; got != 0 {
		t.Errorf("got %d requests at the upstream later than %v after its removal, want none", got, drainTime)
	}
}

// TestRemovedAfterSilentStore guards against keeping an upstream whose registration is removed
// once the entries are in touch again after a silent store: a call that the store took shortly
// before its return and never answers must not count as an outage by then, in which the
// registration would have lapsed.
func TestRemovedAfterSilentStore(t *testing.T) {
	for name, silence := range map[string]time.Duration{"a": 1800 * time.Millisecond, "b": 2100 * time.Millisecond, "c": 2400 * time.Millisecond, "d": 2700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: 2, fullWait: true})
			s.store.SetFaults(stand.StoreFaults{NoResponse: true})
			time.Sleep(silence)
			s.store.SetFaults(stand.StoreFaults{})
			time.Sleep(contactTime + 100*time.Millisecond)
			left := s.replicas[0]
			s.store.Delete(left.StoreKey())
			time.Sleep(drainTime)
			before := len(left.ExecutedRequests())
			for range 40 {
				for _, e := range s.entries {
					s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey})
				}
			}
			if got := len(left.ExecutedRequests()) - before; got != 0 {
				t.Errorf("got %d requests at the upstream later than %v after its removal, want none", got, drainTime)
			}
		})
	}
}

// isStoreDown reports whether the entry has no answer from the store.
func (s *testStack) isStoreDown(t *testing.T, e *testEntry) bool {
	t.Helper()
	return s.isPrefixDown(t, e, "")
}

// isPrefixDown reports the same for the calls about a prefix; empty means any.
func (s *testStack) isPrefixDown(t *testing.T, e *testEntry, prefix string) bool {
	t.Helper()
	_, body := s.get(t, e, "/status")
	var status struct {
		Prefixes []struct {
			Prefix string
			Down   float64
		}
	}
	if err := json.Unmarshal([]byte(body), &status); err != nil {
		t.Fatal(err)
	}
	for _, p := range status.Prefixes {
		if p.Down > 0 && (prefix == "" || p.Prefix == prefix) {
			return true
		}
	}
	return false
}
