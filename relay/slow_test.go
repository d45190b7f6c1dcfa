package relay

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"cactustide/platform/stand"
	"cactustide/wire"
)

// newSlowWay listens on an address that leads to another one over a link.
func newSlowWay(t *testing.T, to string, link *stand.Link) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var passing sync.WaitGroup
	pass := func(from, to net.Conn, limited bool) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 2<<10)
		for {
			n, err := from.Read(buffer)
			if limited {
				link.Wait(n)
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	passing.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			passing.Go(func() { pass(near, far, false) })
			passing.Go(func() { pass(far, near, true) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		passing.Wait()
	})
	return l.Addr().String()
}

// TestSlowFetch guards against an entry that is cut off from the store and never gets a large
// configuration from its peers, because the reply takes longer than the time of the call (CONFIG).
func TestSlowFetch(t *testing.T) {
	tests := map[string]struct{ size, bits int }{
		"100 KB at 4 Mbit per s":  {size: 100 << 10, bits: 4e6},
		"900 KB at 10 Mbit per s": {size: 900 << 10, bits: 10e6},
		"900 KB at 4 Mbit per s":  {size: 900 << 10, bits: 4e6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g, _ := newGossiper(t, 1)
			g.Snapshot = func(*wire.SnapshotRequest) *wire.SnapshotReply {
				return &wire.SnapshotReply{Revision: 7, Items: []*wire.Item{{Key: "op/config", Value: bytes.Repeat([]byte("x"), test.size)}}}
			}
			way := newSlowWay(t, g.address, stand.NewLink(test.bits))
			limit := 2*time.Second + time.Duration(float64(test.size*8)/float64(test.bits)*float64(time.Second))
			began := time.Now()
			reply, err := g.FetchSnapshot(way, &wire.SnapshotRequest{})
			if took := time.Since(began); err != nil || len(reply.GetItems()) != 1 || took > limit {
				t.Errorf("got %d items, error %v after %v, want one within %v", len(reply.GetItems()), err, took, limit)
			}
		})
	}
}
