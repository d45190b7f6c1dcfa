package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/platform/stand"
)

const (
	// backTime is the time from the end of an impairment to the moment from which on the entry
	// counts as in touch again.
	backTime = 3 * time.Second
	// changeAge is the longest time from a change to the end of the impairment.
	changeAge = 2 * time.Second
	// streamsOfEach is the number of streams that are taken up at each moment.
	streamsOfEach = 2
)

// impairments put an entry out of step for a time.
var impairments = map[string]struct {
	begin, end func(e *testEntry, d time.Duration)
}{
	"nothing":          {begin: func(*testEntry, time.Duration) {}, end: func(*testEntry, time.Duration) {}},
	"cut from store":   {begin: cutStore, end: rejoinStore},
	"cut from peers":   {begin: cutPeers, end: rejoinPeers},
	"cut off":          {begin: both(cutStore, cutPeers), end: both(rejoinStore, rejoinPeers)},
	"reads late":       {begin: readLate, end: readInTime},
	"late, no peers":   {begin: both(readLate, cutPeers), end: both(readInTime, rejoinPeers)},
	"watches stuck":    {begin: stickWatches, end: freeWatches},
	"stuck, no peers":  {begin: both(stickWatches, cutPeers), end: both(freeWatches, rejoinPeers)},
	"killed, no peers": {begin: cutPeers, end: rejoinPeers},
}

func cutStore(e *testEntry, _ time.Duration)     { e.storeCut.Store(true) }
func rejoinStore(e *testEntry, _ time.Duration)  { e.storeCut.Store(false) }
func cutPeers(e *testEntry, _ time.Duration)     { e.peersCut.Store(true) }
func rejoinPeers(e *testEntry, _ time.Duration)  { e.peersCut.Store(false) }
func readLate(e *testEntry, d time.Duration)     { e.readLate.Store(int64(d)) }
func readInTime(e *testEntry, _ time.Duration)   { e.readLate.Store(0) }
func stickWatches(e *testEntry, _ time.Duration) { e.watchStuck.Store(true) }
func freeWatches(e *testEntry, _ time.Duration)  { e.watchStuck.Store(false) }

func both(one, two func(*testEntry, time.Duration)) func(*testEntry, time.Duration) {
	return func(e *testEntry, d time.Duration) { one(e, d); two(e, d) }
}

// releaseChange is a change of what serves while an entry is out of step.
type releaseChange struct {
	// play makes the change; the entries with the numbers known have it when it returns.
	play func(s *streams, known []int)
	// begun is the version whose streams are taken up.
	begun string
	// after is played once the streams have begun.
	after func(s *streams, known []int)
	// gone is set if no upstream of that version serves then.
	gone bool
}

func (s *streams) joinVersion(version string, known []int) {
	for i := range 2 {
		s.addAt(fmt.Sprintf("%s-%d", version, i), "desk", version, known)
	}
}

// leaveAt removes the registrations of a version and waits until some entries know.
func (s *streams) leaveAt(version string, known []int) {
	for _, r := range s.replicas {
		if r.Version == version {
			s.store.Delete(r.StoreKey())
			s.waitAt(r.ID, false, known)
		}
	}
}

// addAt starts an upstream and waits until some entries know it.
func (s *streams) addAt(id, service, version string, known []int) {
	s.t.Helper()
	r, err := stand.NewReplica(id, service, "zone-a", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	r.Version = version
	r.SetFault(s.cut)
	s.replicas = append(s.replicas, r)
	s.store.Put(r.StoreKey(), r.Registration("ready"))
	s.waitAt(id, true, known)
}

func (s *streams) waitAt(id string, registered bool, known []int) {
	s.t.Helper()
	for _, i := range known {
		waitFor(s.t, id+" known or not", func() bool {
			_, text := s.get(s.t, s.entry(i), "/status")
			return strings.Contains(text, `"`+id+`"`) == registered
		})
	}
}

var releaseChanges = map[string]releaseChange{
	"a version joins": {begun: "v2", play: func(s *streams, known []int) { s.joinVersion("v2", known) }},
	"a version joins, the old one leaves": {begun: "v2", play: func(s *streams, known []int) {
		s.joinVersion("v2", known)
		s.leaveAt("v1", known)
	}},
	"the old version leaves after its streams began": {
		begun: "v1", gone: true,
		play:  func(s *streams, known []int) { s.joinVersion("v2", known) },
		after: func(s *streams, known []int) { s.leaveAt("v1", known) },
	},
	"a version comes and goes": {
		begun: "v2", gone: true,
		play:  func(s *streams, known []int) { s.joinVersion("v2", known) },
		after: func(s *streams, known []int) { s.leaveAt("v2", known) },
	},
	"a version comes and goes, the history is dropped": {
		begun: "v2", gone: true,
		play: func(s *streams, known []int) { s.joinVersion("v2", known) },
		after: func(s *streams, known []int) {
			s.leaveAt("v2", known)
			s.store.Compact()
		},
	},
	"a version joins, the store returns without it": {
		begun: "v2", gone: true,
		play: func(s *streams, known []int) {
			s.copy = s.store.Copy()
			s.joinVersion("v2", known)
		},
		after: func(s *streams, _ []int) { s.store.ComeBack(s.copy) },
	},
	"an upstream starts again with another version": {begun: "v2", play: func(s *streams, known []int) {
		r := s.replicas[0]
		r.Version = "v2"
		s.registerAs(r, 2000000000000)
		s.waitCaughtUp(known)
	}},
	"the route moves to another service": {begun: "v9", play: func(s *streams, known []int) {
		s.addAt("other-0", "other", "v9", known)
		s.addAt("other-1", "other", "v9", known)
		moved := takeRoute
		moved.Service = "other"
		s.store.Put("op/config", s.configOf(3, moved))
		for _, i := range known {
			waitFor(s.t, "version 3", func() bool { return s.hasVersion(s.entry(i), 3) })
		}
	}},
}

// waitCaughtUp waits until some entries have the registrations that the store holds.
func (s *streams) waitCaughtUp(known []int) {
	s.t.Helper()
	revision := s.store.Revision()
	for _, i := range known {
		waitFor(s.t, "the registrations up to the last one", func() bool {
			for _, p := range s.status(s.entry(i)).GetPrefixes() {
				if p.GetPrefix() == "servers/" {
					return p.GetRevision() >= revision
				}
			}
			return false
		})
	}
}

func (s *streams) configOf(version uint64, take stand.Route) []byte {
	return stand.EncodeConfig(version, append([]stand.Route{take}, testRoutes...), []string{"desk", "other"}, map[string][]string{"team-one": {testKey}})
}

// beginOf begins streams until some have begun at a version, and returns these.
func (s *streams) beginOf(version string) (list []stream) {
	s.t.Helper()
	for range 40 {
		if begun := s.begin(s.entries[0]); begun.version == version {
			list = append(list, begun)
		}
		if len(list) == streamsOfEach {
			return list
		}
	}
	s.t.Fatalf("got %d of 40 streams at version %s, want %d", len(list), version, streamsOfEach)
	return nil
}

// takeUp takes streams up at an entry, and checks that none goes on at another version, and each
// of them goes on if that is due.
func (s *streams) takeUp(moment string, e *testEntry, list []stream, due bool) {
	s.t.Helper()
	for _, begun := range list {
		got := s.resume(e, begun, nil)
		for _, run := range s.versionsOf(got.id) {
			if !strings.HasSuffix(run, "@"+begun.version) {
				s.t.Errorf("%s: got a run %s of a stream of %s, want none at another version", moment, run, begun.version)
			}
		}
		if due && got.status != http.StatusOK {
			s.t.Errorf("%s: got status %d %q, want the stream to go on", moment, got.status, got.body)
		}
	}
}

// TestStreamOutOfStep guards against a stream that goes on at another release (ORDER) through an
// entry that was cut off, or late, while releases, routes and the store changed. Once the entry is
// in touch again, the stream goes on (LOST).
func TestStreamOutOfStep(t *testing.T) {
	type row struct {
		impairment, change string
		length             time.Duration
		// killed is set if the other entries are killed at the end.
		killed bool
		// follows is set if a few of the entries watch the store for the one that is out of step.
		follows bool
	}
	var rows []row
	for impairment := range impairments {
		for _, ms := range []time.Duration{200, 500, 1000, 1500, 2000, 3000, 5000, 10000} {
			rows = append(rows, row{impairment: impairment, change: "a version joins", length: ms * time.Millisecond, killed: strings.HasPrefix(impairment, "killed")})
		}
	}
	for change := range releaseChanges {
		for _, impairment := range []string{"cut off", "late, no peers"} {
			for _, ms := range []time.Duration{500, 1500, 3000} {
				rows = append(rows, row{impairment: impairment, change: change, length: ms * time.Millisecond, killed: true})
			}
		}
	}
	for _, change := range []string{"a version joins", "a version comes and goes", "the route moves to another service"} {
		for _, impairment := range []string{"nothing", "cut off", "late, no peers"} {
			rows = append(rows, row{impairment: impairment, change: change, length: 1500 * time.Millisecond, killed: impairment != "nothing", follows: true})
		}
	}
	for _, test := range rows {
		name := fmt.Sprintf("%s for %v, %s", test.impairment, test.length, test.change)
		if test.killed {
			name += ", others killed"
		}
		if test.follows {
			name += ", watched for"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entries := 3
			if test.follows {
				entries = 9
			}
			s := &streams{testStack: newStackOf(t, stackOptions{entries: entries, fullWait: true, first: true})}
			s.store.Put("op/config", s.configOf(2, takeRoute))
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
				waitFor(t, "members", func() bool { return e.AliveEntries() == entries })
			}
			e := s.entries[entries-1]
			if test.follows {
				s.waitForRoles()
				_, followers := s.roles()
				e = followers[len(followers)-1]
			}
			impaired, change, known := impairments[test.impairment], releaseChanges[test.change], []int{0, 1}
			impaired.begin(e, test.length)
			end := time.Now().Add(test.length)
			time.Sleep(test.length - changeAge)
			change.play(s, known)
			atOnce, atReturn, later := s.beginOf(change.begun), s.beginOf(change.begun), s.beginOf(change.begun)
			if change.after != nil {
				change.after(s, known)
			}
			calm := test.impairment == "nothing" && !change.gone
			s.takeUp("at once", e, atOnce, calm)
			time.Sleep(time.Until(end))
			impaired.end(e, test.length)
			if test.killed {
				for _, other := range s.entries {
					if other != e {
						other.Close()
						other.closed = true
					}
				}
			}
			s.takeUp("at its return", e, atReturn, calm)
			time.Sleep(backTime)
			s.takeUp("in touch again", e, later, !test.killed && !change.gone)
		})
	}
}

// TestTakeUpsShareCalls guards against calls to the store that grow with the streams that are taken
// up: all that wait share them, and each stream goes on.
func TestTakeUpsShareCalls(t *testing.T) {
	const (
		callers = 20
		length  = 2 * time.Second
		// callsPerSecond bounds the calls for streams: five readings of each of two prefixes.
		callsPerSecond = 10
		// watchesOfEntry bounds the entry's own watches in that time.
		watchesOfEntry = 8
	)
	s := &streams{testStack: newStackOf(t, stackOptions{entries: 1, fullWait: true, first: true})}
	s.store.Put("op/config", s.configOf(2, takeRoute))
	waitFor(t, "version 2", func() bool { return s.hasVersion(s.entries[0], 2) })
	for _, r := range s.replicas {
		r.SetFault(s.cut)
	}
	begun := s.begin(s.entries[0])
	before, start := s.storeCalls(), time.Now()
	var answered atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := 0; time.Since(start) < length; n++ {
				got := s.resume(s.entries[0], stream{id: fmt.Sprintf("none-%d-%d", caller, n), last: begun.last}, nil)
				if got.status != http.StatusOK {
					t.Errorf("got status %d %q, want the stream to go on", got.status, got.body)
				}
				answered.Add(1)
			}
		})
	}
	group.Wait()
	seconds := time.Since(start).Seconds()
	if calls, most := s.storeCalls()-before, int(callsPerSecond*(seconds+1))+watchesOfEntry; calls > most {
		t.Errorf("got %d calls to the store for %d streams in %.1f s, want at most %d", calls, answered.Load(), seconds, most)
	}
	if answered.Load() < 2*callers {
		t.Errorf("got %d streams that were taken up, want %d or more", answered.Load(), 2*callers)
	}
	t.Logf("%d streams, %d calls, %.1f s", answered.Load(), s.storeCalls()-before, seconds)
}

// TestStreamRestartedUpstream guards against a stream that goes on at an upstream which has started
// again under its id with another release (ORDER), through an entry that began the stream and
// cannot have heard of the start.
func TestStreamRestartedUpstream(t *testing.T) {
	tests := map[string]struct {
		impairment string
		// asked is set if the entry sends a request while no process listens.
		asked bool
	}{
		"in touch":                            {impairment: "nothing"},
		"cut off from store":                  {impairment: "cut from store"},
		"cut off from peers":                  {impairment: "cut from peers"},
		"cut off":                             {impairment: "cut off"},
		"cut off, a connection was refused":   {impairment: "cut off", asked: true},
		"late, without peers":                 {impairment: "late, no peers"},
		"watches not answered, without peers": {impairment: "stuck, no peers"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const length = 3 * time.Second
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 3, fullWait: true, first: true})}
			s.store.Put("op/config", s.configOf(2, takeRoute))
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
				waitFor(t, "members", func() bool { return e.AliveEntries() == 3 })
			}
			e := s.entries[2]
			var list []stream
			for range 4 {
				list = append(list, s.begin(e))
			}
			impairments[test.impairment].begin(e, length)
			end := time.Now().Add(length)
			for i, r := range slices.Clone(s.replicas) {
				r.Close()
				if test.asked {
					s.send(context.Background(), e, callerRequest{path: "/take/a", key: testKey, stream: true})
				}
				next, err := stand.NewReplica(r.ID, "desk", "zone-a", r.Address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(next.Close)
				next.Version = "v2"
				s.replicas[i] = next
				s.store.Put(next.StoreKey(), next.Registration("ready"))
			}
			s.waitCaughtUp([]int{0, 1})
			s.takeUp("at once", e, list[:2], false)
			time.Sleep(time.Until(end))
			impairments[test.impairment].end(e, length)
			s.takeUp("at its return", e, list[2:3], false)
			time.Sleep(backTime)
			s.takeUp("in touch again", e, list[3:], false)
		})
	}
}

// TestStreamBegunAtRestarted guards against a stream that goes on at another release (ORDER) because the
// upstream that began it had started again with that release, and the entry had not heard of it.
func TestStreamBegunAtRestarted(t *testing.T) {
	for _, name := range []string{"cut off", "late, no peers"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const length = 3 * time.Second
			s := &streams{testStack: newStackOf(t, stackOptions{entries: 3, fullWait: true, first: true})}
			s.store.Put("op/config", s.configOf(2, takeRoute))
			for _, r := range s.replicas {
				r.SetFault(s.cut)
			}
			for _, e := range s.entries {
				waitFor(t, "version 2", func() bool { return s.hasVersion(e, 2) })
				waitFor(t, "members", func() bool { return e.AliveEntries() == 3 })
			}
			e, r := s.entries[2], s.replicas[0]
			impairments[name].begin(e, length)
			r.Close()
			next, err := stand.NewReplica(r.ID, "desk", "zone-a", r.Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(next.Close)
			next.Version = "v2"
			next.SetFault(s.cut)
			s.replicas[0] = next
			s.store.Put(next.StoreKey(), next.Registration("ready"))
			s.waitCaughtUp([]int{0, 1})
			var list []stream
			for range 10 {
				if begun := s.begin(e); begun.version == "v2" {
					list = append(list, begun)
				}
			}
			if len(list) == 0 {
				t.Fatal("got no stream at v2, want some")
			}
			s.takeUp("at the same entry", e, list, false)
			s.takeUp("at one in touch", s.entries[0], list, false)
		})
	}
}
