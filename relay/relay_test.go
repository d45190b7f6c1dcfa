package relay

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cactustide/fakes"
	"cactustide/member"
	"cactustide/meter"
	"cactustide/wire"
)

// recorder collects the messages that a gossiper handles.
type recorder struct {
	mu       sync.Mutex
	messages []*wire.Gossip
}

func (r *recorder) add(_ time.Time, msg *wire.Gossip) {
	r.mu.Lock()
	r.messages = append(r.messages, msg)
	r.mu.Unlock()
}

func (r *recorder) sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, msg := range r.messages {
		n += len(msg.GetSent())
	}
	return n
}

func newGossiper(t *testing.T, process uint64, seeds ...string) (*Gossiper, *recorder) {
	t.Helper()
	g := New(time.Now(), "hub", "c", fakes.FreePeerAddress(), seeds, process, meter.NewLogger(io.Discard, "info", "json", "relay"))
	got := &recorder{}
	g.OnGossip = got.add
	g.OnPeerUp = func(time.Time, string) {}
	g.Positions = func(time.Time) []*wire.Position { return []*wire.Position{{Revision: process}} }
	g.Snapshot = func(req *wire.SnapshotRequest) *wire.SnapshotReply {
		return &wire.SnapshotReply{Revision: process, Items: []*wire.Item{{Key: "k", Revision: uint64(req.GetPrefix())}}}
	}
	g.CacheState = func(time.Time) *wire.CacheStateReply {
		return &wire.CacheStateReply{Caches: []*wire.Cache{{Upstream: process}}}
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, got
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out after 5 s: %s", what)
}

func TestPeersFindEachOther(t *testing.T) {
	a, recordedA := newGossiper(t, 1)
	b, _ := newGossiper(t, 2, a.address)
	c, _ := newGossiper(t, 3, a.address)
	waitFor(t, "a, b and c each count three entries", func() bool {
		now := time.Now()
		return a.AliveCount(now) == 3 && b.AliveCount(now) == 3 && c.AliveCount(now) == 3
	})
	b.BroadcastSent(&wire.SentRequest{Id: 9})
	waitFor(t, "a receives the request that b sent", func() bool { return recordedA.sent() == 1 })
	if got := a.PeerAddress(2); got != b.address {
		t.Errorf("got address %s of b, want %s", got, b.address)
	}
}

func TestFetchFromPeer(t *testing.T) {
	a, _ := newGossiper(t, 7)
	b, _ := newGossiper(t, 8)
	got, err := b.FetchSnapshot(t.Context(), a.address, &wire.SnapshotRequest{Prefix: 1})
	if err != nil || got.GetRevision() != 7 || got.GetItems()[0].GetRevision() != 1 {
		t.Errorf("got %v, %v, want revision 7 of prefix 1", got, err)
	}
	cacheState, err := b.FetchCacheState(t.Context(), a.address)
	if err != nil || cacheState.GetCaches()[0].GetUpstream() != 7 {
		t.Errorf("got %v, %v, want the cache state of a", cacheState, err)
	}
	if _, err := b.FetchSnapshot(t.Context(), fakes.FreeAddress(), &wire.SnapshotRequest{}); err == nil {
		t.Error("got no error from a closed port, want one")
	}
}

func TestUpdatePeer(t *testing.T) {
	g := New(time.Unix(1000, 0), "hub", "c", "127.0.0.1:1", nil, 1, meter.NewLogger(io.Discard, "info", "json", "relay"))
	now := time.Unix(1000, 0)
	steps := []struct {
		name         string
		process, seq uint64
		after        time.Duration
		newer, up    bool
	}{
		{"first", 2, 5, 0, true, true},
		{"duplicate", 2, 5, 0, false, false},
		{"older", 2, 4, 0, false, false},
		{"next", 2, 6, 0, true, false},
		{"after a silence", 2, 7, 6 * time.Second, true, true},
		{"after a restart", 3, 1, 0, true, true},
		{"own message", 1, 9, 0, false, false},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		newer, up := g.updatePeer(now, "127.0.0.1:2", &wire.Gossip{Process: s.process, Sequence: s.seq})
		if newer != s.newer || up != s.up {
			t.Errorf("%s: got newer %v, up %v, want %v, %v", s.name, newer, up, s.newer, s.up)
		}
	}
}

// TestOvertakenStream guards against what a message says of a stream being lost because a later
// message of its sender arrived first (LOST): each counts once, and the rest of it not at all.
func TestOvertakenStream(t *testing.T) {
	type message struct{ process, sequence uint64 }
	tests := map[string]struct {
		messages []message
		// want are the messages whose streams are told, full those that are told in full.
		want, full int
	}{
		"in order":                        {messages: []message{{2, 1}, {2, 2}, {2, 3}}, want: 3, full: 3},
		"overtaken":                       {messages: []message{{2, 2}, {2, 1}}, want: 2, full: 1},
		"overtaken by several":            {messages: []message{{2, 1}, {2, 5}, {2, 3}, {2, 2}, {2, 4}}, want: 5, full: 2},
		"twice":                           {messages: []message{{2, 1}, {2, 1}}, want: 1, full: 1},
		"overtaken, twice":                {messages: []message{{2, 2}, {2, 1}, {2, 1}}, want: 2, full: 1},
		"overtaken by 63":                 {messages: []message{{2, 64}, {2, 1}}, want: 2, full: 1},
		"overtaken by 64":                 {messages: []message{{2, 65}, {2, 1}}, want: 1, full: 1},
		"all before are out of range":     {messages: []message{{2, 1}, {2, 100}, {2, 99}, {2, 100}}, want: 3, full: 2},
		"of a process that has restarted": {messages: []message{{2, 9}, {3, 2}, {3, 1}}, want: 3, full: 2},
		"its own":                         {messages: []message{{1, 2}, {1, 1}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := New(time.Unix(1000, 0), "hub", "c", "127.0.0.1:1", nil, 1, meter.NewLogger(io.Discard, "info", "json", "relay"))
			g.OnPeerUp = func(time.Time, string) {}
			g.Send = func(string, []byte) {}
			got, full := 0, 0
			g.OnGossip = func(_ time.Time, msg *wire.Gossip) {
				got += len(msg.GetStreams())
				full += len(msg.GetOutcomes())
			}
			for _, m := range test.messages {
				data, err := proto.Marshal(&wire.Gossip{
					Process: m.process, Sequence: m.sequence, Streams: []*wire.Stream{{Key: m.sequence}}, Outcomes: []*wire.Outcome{{Upstream: 1}},
				})
				if err != nil {
					t.Fatal(err)
				}
				g.handleDatagram(time.Unix(1000, 0), "127.0.0.1:2", data)
			}
			if got != test.want || full != test.full {
				t.Errorf("got %d streams told, %d messages in full, want %d and %d", got, full, test.want, test.full)
			}
		})
	}
}

// TestResourceBounds checks that the targets, the size of a message and the pending events of
// a gossiper do not grow with the number of entries, and that silent peers are removed.
func TestResourceBounds(t *testing.T) {
	g := New(time.Unix(1000, 0), "hub", "c", "127.0.0.1:1", nil, 1, meter.NewLogger(io.Discard, "info", "json", "relay"))
	now := time.Unix(1000, 0)
	for i := range 1000 {
		g.updatePeer(now, net.JoinHostPort(net.IPv4(10, 0, byte(i>>8), byte(i)).String(), "7"), &wire.Gossip{Process: uint64(i + 2), Sequence: 1})
	}
	if got := len(g.members.Neighbours()); got != member.Fanout {
		t.Errorf("got %d targets, want %d", got, member.Fanout)
	}
	for range 10000 {
		g.BroadcastEnded(1)
	}
	if g.pendingBytes > 4*datagramBytes {
		t.Errorf("got %d pending bytes, want at most %d", g.pendingBytes, 4*datagramBytes)
	}
	if g.Dropped() == 0 {
		t.Error("got no dropped events counted, want some")
	}
	sent, largest := 0, 0
	g.Positions = func(time.Time) []*wire.Position { return nil }
	g.Send = func(_ string, data []byte) {
		sent++
		largest = max(largest, len(data))
	}
	g.BroadcastEnded(1)
	g.send(now)
	if want := member.Fanout + maxSuspects + helpers + 1; sent > want || largest > 6*datagramBytes {
		t.Errorf("got %d datagrams of up to %d bytes, want at most %d of %d", sent, largest, want, 6*datagramBytes)
	}
	for _, after := range []time.Duration{2 * time.Second, 4 * time.Second, 2 * time.Minute, 4 * time.Minute} {
		g.members.Check(now.Add(after))
	}
	if got := g.AliveCount(now.Add(4 * time.Minute)); got != 1 {
		t.Errorf("got %d entries alive after the silence, want this one", got)
	}
	if got := len(g.members.Absent()); got != 0 {
		t.Errorf("got %d absent entries kept, want none", got)
	}
}

func FuzzGossip(f *testing.F) {
	f.Add([]byte("\x0a\x01x"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		g := New(time.Unix(1000, 0), "hub", "c", "127.0.0.1:1", nil, 1, meter.NewLogger(io.Discard, "info", "json", "relay"))
		g.OnGossip = func(time.Time, *wire.Gossip) {}
		g.OnPeerUp = func(time.Time, string) {}
		g.Send = func(string, []byte) {}
		g.handleDatagram(time.Unix(1000, 0), "127.0.0.1:2", data)
	})
}

// TestBrokenReply checks that a peer's reply which is broken off with a reset is an error.
func TestBrokenReply(t *testing.T) {
	a, _ := newGossiper(t, 7)
	b, _ := newGossiper(t, 8)
	whole := false
	for n := int64(0); n < 1000 && !whole; n++ {
		raw, err := fakes.NewRawServer(fakes.ServeCut(a.address, n))
		if err != nil {
			t.Fatal(err)
		}
		reply, err := b.FetchSnapshot(t.Context(), raw.Address, &wire.SnapshotRequest{Prefix: 1})
		raw.Close()
		if err == nil && (reply.GetRevision() != 7 || len(reply.GetItems()) != 1) {
			t.Errorf("first %d bytes: got %v, want an error", n, reply)
		}
		whole = err == nil
	}
	if !whole {
		t.Error("got no whole reply with any number of bytes, want one")
	}
}
