package relay

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cactustide/meter"
	"cactustide/wire"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// heard collects the beats that a hub takes.
type heard struct {
	mu    sync.Mutex
	beats []*wire.Gossip
}

func (h *heard) add(_ time.Time, b *wire.Gossip) {
	h.mu.Lock()
	h.beats = append(h.beats, b)
	h.mu.Unlock()
}

func (h *heard) sent() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.beats {
		n += len(b.GetSent())
	}
	return n
}

func newHub(t *testing.T, process uint64, seeds ...string) (*Gossiper, *heard) {
	t.Helper()
	h := New("hub", freeAddress(t), seeds, process, meter.NewLog(io.Discard, "info", "json", "relay"))
	got := &heard{}
	h.OnGossip = got.add
	h.OnPeerUp = func(time.Time, string) {}
	h.Positions = func() []*wire.Position { return []*wire.Position{{Revision: process}} }
	h.Snapshot = func(prefix int) *wire.SnapshotReply {
		return &wire.SnapshotReply{Revision: process, Items: []*wire.Item{{Key: "k", Revision: uint64(prefix)}}}
	}
	h.CacheState = func(time.Time) *wire.CacheStateReply {
		return &wire.CacheStateReply{Caches: []*wire.Cache{{Upstream: process}}}
	}
	if err := h.Start(time.Now()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h, got
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not seen within 5 s: %s", what)
}

func TestPeersFindEachOther(t *testing.T) {
	a, heardA := newHub(t, 1)
	b, _ := newHub(t, 2, a.address)
	c, _ := newHub(t, 3, a.address)
	waitFor(t, "b and c know each other through a", func() bool {
		now := time.Now()
		return a.AliveCount(now) == 3 && b.AliveCount(now) == 3 && c.AliveCount(now) == 3
	})
	b.BroadcastSent(&wire.SentRequest{Id: 9})
	waitFor(t, "a hears what b sent", func() bool { return heardA.sent() == 1 })
	if got := a.PeerAddress(2); got != b.address {
		t.Errorf("got address %s of b, want %s", got, b.address)
	}
}

func TestFetchFromPeer(t *testing.T) {
	a, _ := newHub(t, 7)
	b, _ := newHub(t, 8)
	got, err := b.FetchSnapshot(a.address, 1)
	if err != nil || got.GetRevision() != 7 || got.GetItems()[0].GetRevision() != 1 {
		t.Errorf("got %v, %v, want revision 7 of prefix 1", got, err)
	}
	recalled, err := b.FetchCacheState(a.address)
	if err != nil || recalled.GetCaches()[0].GetUpstream() != 7 {
		t.Errorf("got %v, %v, want what a believes", recalled, err)
	}
	if _, err := b.FetchSnapshot(freeAddress(t), 0); err == nil {
		t.Error("got no error from a peer that is not there, want one")
	}
}

func TestUpdatePeer(t *testing.T) {
	h := New("hub", "127.0.0.1:1", nil, 1, meter.NewLog(io.Discard, "info", "json", "relay"))
	now := time.Unix(1000, 0)
	steps := []struct {
		name         string
		process, seq uint64
		after        time.Duration
		newer, fresh bool
	}{
		{"first", 2, 5, 0, true, true},
		{"the same again", 2, 5, 0, false, false},
		{"older", 2, 4, 0, false, false},
		{"next", 2, 6, 0, true, false},
		{"after a silence", 2, 7, 2 * quietLimit, true, true},
		{"another run", 3, 1, 0, true, true},
		{"its own", 1, 9, 0, false, false},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		newer, fresh := h.accepts(now, "127.0.0.1:2", &wire.Gossip{Process: s.process, Sequence: s.seq})
		if newer != s.newer || fresh != s.fresh {
			t.Errorf("%s: got newer %v, fresh %v, want %v, %v", s.name, newer, fresh, s.newer, s.fresh)
		}
	}
}

// TestResourceBounds: what a hub keeps and whom it tells does not grow with the fleet.
func TestResourceBounds(t *testing.T) {
	h := New("hub", "127.0.0.1:1", nil, 1, meter.NewLog(io.Discard, "info", "json", "relay"))
	now := time.Unix(1000, 0)
	for i := range 1000 {
		h.accepts(now, net.JoinHostPort(net.IPv4(10, 0, byte(i>>8), byte(i)).String(), "7"), &wire.Gossip{Process: uint64(i + 2), Sequence: 1})
	}
	if got := len(h.targets(now)); got != fanout {
		t.Errorf("got %d targets, want %d", got, fanout)
	}
	for range 10000 {
		h.BroadcastEnded(1)
	}
	if h.size > 4*datagramBytes {
		t.Errorf("got %d bytes waiting, want at most %d", h.size, 4*datagramBytes)
	}
	h.targets(now.Add(2 * forgetLimit))
	if got := len(h.peers); got != 0 {
		t.Errorf("got %d peers long after, want 0", got)
	}
}

func FuzzGossip(f *testing.F) {
	f.Add([]byte("\x0a\x01x"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		h := New("hub", "127.0.0.1:1", nil, 1, meter.NewLog(io.Discard, "info", "json", "relay"))
		h.OnGossip = func(time.Time, *wire.Gossip) {}
		h.OnPeerUp = func(time.Time, string) {}
		h.take(time.Unix(1000, 0), "127.0.0.1:2", data)
	})
}
