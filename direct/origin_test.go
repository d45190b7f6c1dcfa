package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/platform/stand"
)

// takeRoute is a route whose streams only callers resume.
var takeRoute = stand.Route{Host: testHost, Prefix: "/take/", Kind: "streaming", Service: "desk", Timeout: 3 * time.Second, MaxAttempts: 1, Resumable: true}

// streams is a stack whose upstreams run two versions of their software.
type streams struct {
	*testStack
	cuts atomic.Int64
	// copy is the one from which the store comes back.
	copy stand.StoreCopy
}

// stream is a stream that a caller has a part of.
type stream struct {
	// id is that of the attempt that brought its first event, last that of its last event.
	id      string
	last    int
	version string
}

// add starts an upstream of a version and waits until all entries know it.
func (s *streams) add(id, version string) *stand.Replica {
	s.t.Helper()
	r, err := stand.NewReplica(id, "desk", "zone-a", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	r.Version = version
	r.SetFault(s.cut)
	s.replicas = append(s.replicas, r)
	s.store.Put(r.StoreKey(), r.Registration("ready"))
	s.waitForUpstream(id, true)
	return r
}

// cut breaks off the responses that begin while there are cuts left.
func (s *streams) cut(string) stand.Fault {
	if s.cuts.Add(-1) >= 0 {
		return stand.FaultTruncate
	}
	return stand.FaultNone
}

// leave removes the registrations of a version.
func (s *streams) leave(version string) {
	s.t.Helper()
	for _, r := range s.replicas {
		if r.Version == version {
			s.store.Delete(r.StoreKey())
			s.waitForUpstream(r.ID, false)
		}
	}
}

func (s *streams) waitForUpstream(id string, known bool) {
	s.t.Helper()
	for i := range s.entries {
		if e := s.entry(i); !e.closed {
			waitFor(s.t, id+" known or not", func() bool {
				_, text := s.get(s.t, e, "/status")
				return strings.Contains(text, `"`+id+`"`) == known
			})
		}
	}
}

// begin begins a stream that breaks off in the middle, at an entry.
func (s *streams) begin(e *testEntry) stream {
	s.t.Helper()
	s.cuts.Store(1)
	got := s.send(context.Background(), e, callerRequest{path: "/take/a", key: testKey, stream: true})
	s.cuts.Store(0)
	out := stream{id: got.id, last: strings.Count(got.body, "\n\n")}
	if got.status != http.StatusOK || got.err == nil || out.last == 0 {
		s.t.Fatalf("got status %d, %d events, error %v, want a stream that breaks off", got.status, out.last, got.err)
	}
	for _, r := range s.replicas {
		for _, run := range r.ExecutedRequests() {
			if run.ID == out.id {
				out.version = r.Version
			}
		}
	}
	return out
}

// resume takes a stream up at an entry.
func (s *streams) resume(e *testEntry, begun stream, header map[string]string) callerResponse {
	s.t.Helper()
	h := map[string]string{"Last-Event-Id": strconv.Itoa(begun.last), "Resumes": begun.id}
	for name, value := range header {
		h[name] = value
	}
	if h["Resumes"] == "" {
		delete(h, "Resumes")
	}
	return s.send(context.Background(), e, callerRequest{path: "/take/a", key: testKey, stream: true, header: h})
}

// versionsOf returns the versions of the upstreams that ran a request.
func (s *streams) versionsOf(id string) (list []string) {
	for _, r := range s.replicas {
		for _, run := range r.ExecutedRequests() {
			if run.ID == id {
				list = append(list, run.Header.Get("Last-Event-Id")+"@"+r.Version)
			}
		}
	}
	return list
}

// goesOn checks that a stream goes on at the version that began it.
func (s *streams) goesOn(e *testEntry, begun stream, header map[string]string) {
	s.t.Helper()
	got := s.resume(e, begun, header)
	want := fmt.Sprintf("%d@%s", begun.last, begun.version)
	if versions := s.versionsOf(got.id); got.status != http.StatusOK || got.err != nil || len(versions) != 1 || versions[0] != want {
		s.t.Errorf("got status %d %q, error %v, runs %v, want one run %s", got.status, got.body, got.err, versions, want)
	}
}

// refused checks that a stream does not go on anywhere, and that the response says why.
func (s *streams) refused(e *testEntry, begun stream, header map[string]string, reason string) {
	s.t.Helper()
	got := s.resume(e, begun, header)
	if versions := s.versionsOf(got.id); got.status != http.StatusServiceUnavailable || len(versions) != 0 || !strings.Contains(got.body, reason) {
		s.t.Errorf("got status %d %q, runs %v, want 503 with %q and none", got.status, got.body, versions, reason)
	}
	if got.header.Get("Retry-After") == "" {
		s.t.Error("got no Retry-After, want one")
	}
}

// restartAll ends all entries and starts them again, so that none knows anything of before.
func (s *streams) restartAll() {
	s.t.Helper()
	for _, e := range s.entries {
		if !e.closed {
			e.Close()
			e.closed = true
		}
	}
	for i := range s.entries {
		next := s.newEntry(i)
		s.swapping.Lock()
		s.entries[i] = next
		s.swapping.Unlock()
	}
	for i := range s.entries {
		waitFor(s.t, "ready after a restart", func() bool { return s.isReady(s.entries[i]) })
	}
}

const (
	notKnown = "not known"
	noneLeft = "no upstream"
)

// TestStreamOrigin guards against a stream that goes on at another software version of its
// service than the one that began it (ORDER), and against one that does not go on though the
// version can be known (LOST): within one response, at another entry, after one entry or all have
// been killed, when the version has left, while the store is away.
func TestStreamOrigin(t *testing.T) {
	tests := map[string]struct {
		entries int
		play    func(s *streams)
	}{
		"within one response": {entries: 1, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			for range 12 {
				s.cuts.Store(1)
				got := s.send(context.Background(), s.entries[0], callerRequest{path: "/draft/a", key: testKey, stream: true})
				s.cuts.Store(0)
				versions := s.versionsOf(got.id)
				if got.status != http.StatusOK || got.err != nil || len(versions) != 2 || strings.TrimLeft(versions[0], "0123456789") != strings.TrimLeft(versions[1], "0123456789") {
					s.t.Errorf("got status %d, error %v, runs %v, want two runs at one version", got.status, got.err, versions)
				}
			}
		}},
		"within one response, the other version alone is left": {entries: 1, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.store.Delete(s.replicas[0].StoreKey())
			s.waitForUpstream(s.replicas[0].ID, false)
			for range 24 {
				s.cuts.Store(1)
				got := s.send(context.Background(), s.entries[0], callerRequest{path: "/draft/a", key: testKey, stream: true})
				s.cuts.Store(0)
				versions := s.versionsOf(got.id)
				if strings.HasSuffix(versions[0], "v1") && (got.err == nil || len(versions) != 1) {
					s.t.Errorf("got status %d, error %v, runs %v, want a stream that breaks off", got.status, got.err, versions)
				}
			}
		}},
		"at the same entry": {entries: 1, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			for range 6 {
				s.goesOn(s.entries[0], begun, nil)
			}
		}},
		"at another entry": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			for range 6 {
				s.goesOn(s.entries[1], begun, nil)
				s.goesOn(s.entries[2], begun, nil)
			}
		}},
		"both versions begin streams": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			for i := range 12 {
				s.goesOn(s.entries[(i+1)%3], s.begin(s.entries[i%3]), nil)
			}
		}},
		"the entry that began it was killed": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			var list []stream
			for range 6 {
				list = append(list, s.begin(s.entries[0]))
			}
			s.entries[0].Close()
			s.entries[0].closed = true
			for i, begun := range list {
				s.goesOn(s.entries[1+i%2], begun, nil)
			}
		}},
		"the entry that began it was killed and is back": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			var list []stream
			for range 6 {
				list = append(list, s.begin(s.entries[0]))
			}
			s.restartEntry(0)
			waitFor(s.t, "members", func() bool { return s.entry(0).AliveEntries() == 3 })
			for _, begun := range list {
				s.goesOn(s.entry(0), begun, nil)
			}
		}},
		"five of nine entries were killed": {entries: 9, play: func(s *streams) {
			s.waitForRoles()
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			var list []stream
			for range 12 {
				list = append(list, s.begin(s.entries[0]))
			}
			for i := range 5 {
				s.entries[i].Close()
				s.entries[i].closed = true
			}
			known := 0
			for i, begun := range list {
				got := s.resume(s.entries[5+i%4], begun, nil)
				for _, version := range s.versionsOf(got.id) {
					if !strings.HasSuffix(version, begun.version) {
						s.t.Errorf("got a run %s of a stream of %s, want none at another version", version, begun.version)
					}
				}
				if got.status == http.StatusOK {
					known++
				}
			}
			if known < len(list)/2 {
				s.t.Errorf("got %d of %d streams that go on, want at least half", known, len(list))
			}
		}},
		"all entries were killed, one version since ever": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			s.restartAll()
			for i := range s.entries {
				s.goesOn(s.entry(i), begun, nil)
			}
		}},
		"all entries were killed, a second version has come since": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			for _, e := range s.entries {
				e.Close()
				e.closed = true
			}
			s.add("n-0", "v2")
			s.restartAll()
			for i := range s.entries {
				s.refused(s.entry(i), begun, nil, notKnown)
			}
		}},
		"all entries were killed, two versions serve": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			begun := s.begin(s.entries[0])
			s.restartAll()
			for range 3 {
				for i := range s.entries {
					s.refused(s.entry(i), begun, nil, notKnown)
				}
			}
		}},
		"all entries were killed, the old version had just left": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.waitForRecord("v2")
			s.leave("v1")
			s.restartAll()
			for range 3 {
				for i := range s.entries {
					s.refused(s.entry(i), begun, nil, notKnown)
				}
			}
		}},
		"all entries were killed, the old version left meanwhile": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			for _, e := range s.entries {
				e.Close()
				e.closed = true
			}
			s.leave("v1")
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.restartAll()
			for i := range s.entries {
				s.refused(s.entry(i), begun, nil, notKnown)
			}
		}},
		"all entries were killed, the record was lost in a drill": {entries: 3, play: func(s *streams) {
			empty := s.store.Copy()
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			for _, e := range s.entries {
				e.Close()
				e.closed = true
			}
			s.store.ComeBack(empty)
			s.store.Delete(s.recordKey())
			s.leave("v1")
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.restartAll()
			s.waitForRecord("v2")
			for i := range s.entries {
				s.refused(s.entry(i), begun, nil, notKnown)
			}
		}},
		"the version has left": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.leave("v1")
			for i := range s.entries {
				s.refused(s.entries[i], begun, nil, noneLeft)
			}
		}},
		"the store is away": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.store.SetFaults(stand.StoreFaults{NoResponse: true})
			for i := range 9 {
				s.goesOn(s.entries[(i+1)%3], s.begin(s.entries[i%3]), nil)
			}
		}},
		"the store is away and one entry was killed": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			s.store.SetFaults(stand.StoreFaults{NoResponse: true})
			var list []stream
			for range 6 {
				list = append(list, s.begin(s.entries[0]))
			}
			s.entries[0].Close()
			s.entries[0].closed = true
			for i, begun := range list {
				s.goesOn(s.entries[1+i%2], begun, nil)
			}
		}},
		"all entries were killed and the store cannot be read": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			s.restartAll()
			s.store.SetFaults(stand.StoreFaults{Busy: true})
			for i := range s.entries {
				s.refused(s.entry(i), begun, nil, notKnown)
			}
			s.store.SetFaults(stand.StoreFaults{})
			waitFor(s.t, "the stream goes on", func() bool { return s.resume(s.entry(0), begun, nil).status == http.StatusOK })
		}},
		"an upstream has started again with another version": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			for _, r := range s.replicas {
				r.Version = "v2"
				s.registerAs(r, 2000000000000)
			}
			begun.version = "v1"
			time.Sleep(300 * time.Millisecond)
			for i := range s.entries {
				s.refused(s.entries[i], begun, nil, noneLeft)
			}
		}},
		"the caller does not say what it resumes, one version": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.goesOn(s.entries[1], begun, map[string]string{"Resumes": ""})
		}},
		"the caller does not say what it resumes, two versions": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.refused(s.entries[1], begun, map[string]string{"Resumes": ""}, notKnown)
		}},
		"an id that nobody has seen, one version, a few entries watch for all": {entries: 9, play: func(s *streams) {
			s.waitForRoles()
			begun := s.begin(s.entries[0])
			s.waitForRecord("v1")
			for i := range s.entries {
				s.goesOn(s.entries[i], begun, map[string]string{"Resumes": "ffff"})
			}
		}},
		"an id that nobody has seen, two versions": {entries: 3, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.refused(s.entries[1], begun, map[string]string{"Resumes": "ffff"}, notKnown)
		}},
		"a stream that broke off twice": {entries: 3, play: func(s *streams) {
			s.add("n-0", "v2")
			s.add("n-1", "v2")
			begun := s.begin(s.entries[0])
			s.cuts.Store(1)
			again := s.resume(s.entries[1], begun, nil)
			s.cuts.Store(0)
			begun.last += strings.Count(again.body, "\n\n")
			s.goesOn(s.entries[2], begun, nil)
		}},
		"a caller that uses an id twice, at two versions": {entries: 1, play: func(s *streams) {
			begun := s.begin(s.entries[0])
			s.add("n-0", "v2")
			s.leave("v1")
			s.cuts.Store(1)
			s.send(context.Background(), s.entries[0], callerRequest{path: "/take/a", key: testKey, stream: true, header: map[string]string{"Cactustide-Request-Id": begun.id}})
			s.cuts.Store(0)
			s.refused(s.entries[0], begun, nil, notKnown)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &streams{testStack: newStackOf(t, stackOptions{entries: test.entries, fullWait: true, first: true})}
			s.store.Put("op/config", testConfig(2, append([]stand.Route{takeRoute}, testRoutes...)))
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
			}
			test.play(s)
		})
	}
}

// TestOriginLogged guards against a line on a stream that is taken up that does not tell on which
// knowledge an inferred origin rests.
func TestOriginLogged(t *testing.T) {
	log := &fakes.LogBuffer{}
	s := &streams{testStack: newStackOf(t, stackOptions{entries: 1, first: true, log: log})}
	s.store.Put("op/config", testConfig(2, append([]stand.Route{takeRoute}, testRoutes...)))
	waitFor(t, "version 2", func() bool { return s.hasVersion(s.entries[0], 2) })
	got := s.resume(s.entries[0], stream{id: "ffff", last: 1}, nil)
	line := log.FirstLine(t, got.id)
	for _, field := range []string{"resumes", "last", "release", "source", "copy", "complete", "ms"} {
		if line[field] == nil {
			t.Errorf("got no %s in the line %v, want it", field, line)
		}
	}
}

// recordKey is the key of the record of the versions in service.
func (s *streams) recordKey() string { return "releases/desk" }

// waitForRecord waits until the record of the versions in service has one.
func (s *streams) waitForRecord(version string) {
	s.t.Helper()
	waitFor(s.t, "the record of version "+version, func() bool { return strings.Contains(string(s.store.Value(s.recordKey())), `"`+version+`"`) })
}

// registerAs registers a replica as a process that was started at another time.
func (s *streams) registerAs(r *stand.Replica, born int64) {
	r.SetStart(born)
	s.store.Put(r.StoreKey(), r.Registration("ready"))
}
