package direct_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cactustide/platform/stand"
	"cactustide/relay"
	"cactustide/wire"
)

const (
	// peerInterval is the time between two messages of a rawPeer.
	peerInterval = 50 * time.Millisecond
	// peerRevision is the position that a rawPeer has in each prefix in which it is ahead.
	peerRevision = 1000
	// peerEra is that of the store from its start on.
	peerEra = 1
	// closeTime is how long an entry may take from the end of its requests to its exit.
	closeTime = 400 * time.Millisecond
)

// replyWay is the way on which a peer's replies arrive. The zero value has no limit.
type replyWay struct {
	link *stand.Link
	// silent passes nothing on, trickle one byte a second.
	silent, trickle bool
}

// rawPeer is a peer that tells an entry that it is ahead and serves its fetches.
type rawPeer struct {
	t        *testing.T
	process  uint64
	udp      net.Conn
	listener net.Listener
	done     chan struct{}
	serving  sync.WaitGroup
	// ahead is set for the prefixes in which it is ahead.
	ahead [2]atomic.Bool
	// ways are those of the snapshots of each prefix, recallWay is that of what peers know.
	ways      [2]replyWay
	recallWay replyWay
	items     [2][]*wire.Item
	// fetched is closed with the first fetch of a prefix, recalled with that of what peers know.
	fetched  [2]chan struct{}
	recalled chan struct{}
}

// start starts a peer of an entry.
func (p *rawPeer) start(t *testing.T, process uint64, e *testEntry) *rawPeer {
	t.Helper()
	p.t, p.process, p.done, p.recalled = t, process, make(chan struct{}), make(chan struct{})
	p.fetched = [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	var err error
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	local, err := net.ResolveUDPAddr("udp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if p.udp, err = (&net.Dialer{LocalAddr: local}).Dial("udp", e.settings.Peer); err != nil {
		t.Fatal(err)
	}
	p.serving.Go(p.accept)
	p.serving.Go(p.tell)
	t.Cleanup(func() {
		close(p.done)
		_ = p.listener.Close()
		_ = p.udp.Close()
		p.serving.Wait()
	})
	return p
}

// tell sends the peer's positions until it is closed.
func (p *rawPeer) tell() {
	began := time.Now()
	for sequence := uint64(1); ; sequence++ {
		msg := &wire.Gossip{Process: p.process, Sequence: sequence, Beat: uint64(time.Now().UnixMilli()), Centre: "zone-a", Clock: 1 + uint64(time.Since(began).Milliseconds())}
		for i := range p.ahead {
			position := &wire.Position{Era: peerEra, Digest: p.process}
			if p.ahead[i].Load() {
				position.Revision = peerRevision
			}
			msg.Positions = append(msg.Positions, position)
		}
		data, err := proto.Marshal(msg)
		if err != nil {
			p.t.Error(err)
			return
		}
		_, _ = p.udp.Write(data) // The entry may have closed.
		select {
		case <-p.done:
			return
		case <-time.After(peerInterval):
		}
	}
}

func (p *rawPeer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.serving.Go(func() {
			stop := context.AfterFunc(p.t.Context(), func() { _ = c.Close() })
			defer stop()
			conn := &replyConn{Conn: c, done: p.done}
			server := rpc.NewServer()
			if err := server.RegisterName("Relay", &RawRelay{peer: p, conn: conn}); err != nil {
				p.t.Error(err)
				return
			}
			server.ServeConn(conn)
		})
	}
}

// RawRelay is the receiver of the fetches on one connection.
type RawRelay struct {
	peer *rawPeer
	conn *replyConn
}

// Catch serves a snapshot.
func (r *RawRelay) Catch(in, out *relay.Envelope) error {
	var req wire.SnapshotRequest
	if err := proto.Unmarshal(in.Data, &req); err != nil {
		return err
	}
	prefix := req.GetPrefix()
	signal(r.peer.fetched[prefix])
	r.conn.way = r.peer.ways[prefix]
	var err error
	out.Data, err = proto.Marshal(&wire.SnapshotReply{Era: peerEra, Revision: peerRevision, Items: r.peer.items[prefix]})
	return err
}

// Recall serves what peers know.
func (r *RawRelay) Recall(_, out *relay.Envelope) error {
	signal(r.peer.recalled)
	r.conn.way = r.peer.recallWay
	var err error
	out.Data, err = proto.Marshal(&wire.CacheStateReply{Complete: true})
	return err
}

// signal closes a channel that may be closed already; one call at a time.
func signal(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// replyConn sends what is written on a way.
type replyConn struct {
	net.Conn
	way  replyWay
	done chan struct{}
}

var errClosed = errors.New("closed by the test")

func (c *replyConn) Write(data []byte) (int, error) {
	sent := 0
	for sent < len(data) {
		piece := min(2<<10, len(data)-sent)
		switch {
		case c.way.silent:
			<-c.done
			return sent, errClosed
		case c.way.trickle:
			piece = 1
			select {
			case <-c.done:
				return sent, errClosed
			case <-time.After(time.Second):
			}
		case c.way.link != nil:
			c.way.link.Wait(piece)
		}
		n, err := c.Conn.Write(data[sent : sent+piece])
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// largeConfig returns the item of a configuration of 100 KB with an added route.
func largeConfig(t *testing.T) []*wire.Item {
	t.Helper()
	return []*wire.Item{{Key: "op/config", Revision: peerRevision, Value: paddedConfig(t, 2, append(slices.Clone(testRoutes), addedRoute), 100<<10)}}
}

// waitSignal waits until a channel is closed.
func waitSignal(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatalf("timed out after 5 s: %s", what)
	}
}

// TestCloseDuringFetch guards against an entry that ends late, because a peer from which it fetches
// answers nothing, or slowly (STOP).
func TestCloseDuringFetch(t *testing.T) {
	tests := map[string]struct {
		way    replyWay
		recall bool
	}{
		"answers nothing":       {way: replyWay{silent: true}},
		"trickles":              {way: replyWay{trickle: true}},
		"slow":                  {way: replyWay{link: stand.NewLink(mbit / 5)}},
		"cache state, nothing":  {way: replyWay{silent: true}, recall: true},
		"cache state, trickles": {way: replyWay{trickle: true}, recall: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			e := s.entries[0]
			e.storeCut.Store(true)
			p := &rawPeer{}
			p.items[0] = largeConfig(t)
			if test.recall {
				p.recallWay = test.way
				p.start(t, 7, e)
				waitSignal(t, "the cache state is fetched", p.recalled)
			} else {
				p.ways[0] = test.way
				p.ahead[0].Store(true)
				p.start(t, 7, e)
				waitSignal(t, "the configuration is fetched", p.fetched[0])
			}
			time.Sleep(20 * time.Millisecond)
			e.closed = true
			began := time.Now()
			e.Close()
			if took := time.Since(began); took > closeTime {
				t.Errorf("got the entry closed after %v, want it within %v", took, closeTime)
			}
		})
	}
}

// TestFetchBesideSlowOne guards against a registration that an entry does not get from a peer, because
// it waits for a large configuration from it (CONFIG, ORDER).
func TestFetchBesideSlowOne(t *testing.T) {
	// otherTime is within which the entry uses what the peer has: longer than the time for which a peer
	// may be ahead, shorter than that of a call.
	const otherTime = 800 * time.Millisecond
	tests := map[string]replyWay{
		"answers nothing": {silent: true},
		"trickles":        {trickle: true},
		"slow":            {link: stand.NewLink(mbit / 5)},
	}
	for name, way := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			e := s.entries[0]
			e.storeCut.Store(true)
			added, err := stand.NewReplica("u-9", "desk", "zone-a", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer added.Close()
			p := &rawPeer{ways: [2]replyWay{way, {}}}
			p.items[0] = largeConfig(t)
			for i, r := range append(slices.Clone(s.replicas), added) {
				state := "draining"
				if r == added {
					state = "ready"
				}
				p.items[1] = append(p.items[1], &wire.Item{Key: r.StoreKey(), Value: r.Registration(state), Revision: peerRevision - 10 + uint64(i)})
			}
			p.ahead[0].Store(true)
			p.start(t, 7, e)
			waitSignal(t, "the configuration is fetched", p.fetched[0])
			p.ahead[1].Store(true)
			began := time.Now()
			for len(added.ExecutedRequests()) == 0 && time.Since(began) < 5*time.Second {
				s.send(context.Background(), e, callerRequest{path: "/read/a", key: testKey})
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(began); took > otherTime {
				t.Errorf("got the added upstream used after %v, want it within %v", took, otherTime)
			}
		})
	}
}

// TestFetchFromAnotherPeer guards against an entry that is cut off from the store and keeps its old
// configuration, because it waits for a slow peer while another one could answer (CONFIG).
func TestFetchFromAnotherPeer(t *testing.T) {
	tests := map[string]replyWay{
		"at once":         {},
		"answers nothing": {silent: true},
		"trickles":        {trickle: true},
		"slow":            {link: stand.NewLink(mbit / 5)},
	}
	for name, way := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, 1)
			e := s.entries[0]
			e.storeCut.Store(true)
			slow := &rawPeer{ways: [2]replyWay{way, {}}}
			slow.items[0] = largeConfig(t)
			slow.ahead[0].Store(true)
			slow.start(t, 7, e)
			waitSignal(t, "the configuration is fetched", slow.fetched[0])
			other := &rawPeer{}
			other.items[0] = slow.items[0]
			other.ahead[0].Store(true)
			other.start(t, 8, e)
			began := time.Now()
			for s.send(context.Background(), e, callerRequest{method: http.MethodGet, path: "/added/a", key: testKey}).status != http.StatusOK {
				if time.Since(began) > applyTime {
					t.Fatalf("got the added route not served, want it within %v", applyTime)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
