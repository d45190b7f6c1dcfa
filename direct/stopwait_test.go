package direct_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/meter"
	"cactustide/platform/stand"
	"cactustide/relay"
	"cactustide/setup"
	"cactustide/wire"
)

// silentPeers are peers that send gossip and leave calls without an answer.
type silentPeers struct {
	addresses []string
	gossipers []*relay.Gossiper
	// asked has an element once a peer was asked for changes.
	asked chan struct{}
}

// newSilentPeers starts peers that have some positions in the store.
func newSilentPeers(t *testing.T, n int, positions []*wire.Position) *silentPeers {
	t.Helper()
	p := &silentPeers{asked: make(chan struct{}, 1)}
	for i := range n {
		address := fakes.FreePeerAddress()
		g := relay.New(time.Now(), fmt.Sprintf("silent-%d", i), "zone-a", address, nil, uint64(i+1), meter.NewLogger(io.Discard, "info", "json", "peer"))
		release := make(chan struct{})
		g.OnGossip = func(time.Time, *wire.Gossip) {}
		g.OnPeerUp = func(time.Time, string) {}
		g.Positions = func(time.Time) []*wire.Position { return positions }
		g.CacheState = func(time.Time) *wire.CacheStateReply { <-release; return &wire.CacheStateReply{} }
		g.Snapshot = func(*wire.SnapshotRequest) *wire.SnapshotReply {
			select {
			case p.asked <- struct{}{}:
			default:
			}
			<-release
			return &wire.SnapshotReply{}
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { close(release); g.Close() })
		p.addresses, p.gossipers = append(p.addresses, address), append(p.gossipers, g)
	}
	return p
}

// restartBeside starts an entry in place of the first one, whose seeds are the peers; each sends to it.
func (s *testStack) restartBeside(p *silentPeers) *testEntry {
	s.t.Helper()
	s.entries[0].closed = true
	s.entries[0].Close()
	s.entries = nil
	for _, address := range p.addresses {
		s.entries = append(s.entries, &testEntry{settings: &setup.DirectSettings{Peer: address}})
	}
	e := s.newEntry(len(p.addresses))
	s.entries = append(s.entries, e)
	for _, g := range p.gossipers {
		g.AddSeeds(time.Now(), []string{e.settings.Peer})
	}
	return e
}

// talkToAdmin sends a text to the admin listener and leaves the connection open.
func (s *testStack) talkToAdmin(e *testEntry, text string) {
	s.t.Helper()
	c, err := net.Dial("tcp", e.settings.Admin)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // The server has read it.
}

// TestStopWaits guards against an entry that waits for others in its stop, beyond the grace: for an
// operator, peers or the store.
func TestStopWaits(t *testing.T) {
	const grace = time.Second
	operator := func(text string) func(*testStack) *testEntry {
		return func(s *testStack) *testEntry {
			s.talkToAdmin(s.entries[0], text)
			return s.entries[0]
		}
	}
	tests := map[string]func(s *testStack) *testEntry{
		"nothing":                           func(s *testStack) *testEntry { return s.entries[0] },
		"an operator that sends nothing":    operator(""),
		"an operator's head without an end": operator("GET /status HTTP/1.1\r\nHost: a\r\n"),
		"an operator's body without an end": operator("POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"),
		"peers that do not tell their state": func(s *testStack) *testEntry {
			e := s.restartBeside(newSilentPeers(s.t.(*testing.T), 8, nil))
			time.Sleep(600 * time.Millisecond) // It has heard of them and asks.
			return e
		},
		"a peer that does not tell changes": func(s *testStack) *testEntry {
			ahead := &wire.Position{Era: 1 << 40, Revision: 1 << 40, Age: 1}
			peers := newSilentPeers(s.t.(*testing.T), 1, []*wire.Position{ahead, ahead})
			e := s.restartBeside(peers)
			select {
			case <-peers.asked:
			case <-time.After(5 * time.Second):
				s.t.Error("got no question for changes within 5 s, want one")
			}
			return e
		},
		"a store that does not answer for the records": func(s *testStack) *testEntry {
			e := s.restartBeside(&silentPeers{})
			e.getStuck.Store(true)
			time.Sleep(900 * time.Millisecond) // It reads them, one after the other.
			return e
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			routes := testRoutes
			services := []string{"desk"}
			for i := range 20 {
				service := fmt.Sprintf("desk-%d", i)
				services = append(services, service)
				routes = append(routes[:len(routes):len(routes)], stand.Route{
					Host: testHost, Prefix: "/" + service + "/", Kind: "streaming", Service: service, Timeout: time.Second, MaxAttempts: 2, Resumable: true,
				})
			}
			s.store.Put("op/config", stand.EncodeConfig(2, routes, services, map[string][]string{"team-one": {testKey}}))
			e := begin(s)
			began := time.Now()
			e.Drain(grace)
			e.Close()
			e.closed = true
			if took := time.Since(began); took > grace {
				t.Errorf("got a stop of %v, want it within the grace of %v", took, grace)
			}
		})
	}
}
