package relay

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"cactustide/platform/stand"
	"cactustide/wire"
)

// newWay listens on an address that leads to another one. Replies are passed on by a function; an error
// from it ends the connection.
func newWay(t *testing.T, to string, reply func(to net.Conn, part []byte) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var passing sync.WaitGroup
	send := func(to net.Conn, part []byte) error {
		_, err := to.Write(part)
		return err
	}
	pass := func(from, to net.Conn, send func(net.Conn, []byte) error) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 2<<10)
		for {
			n, err := from.Read(buffer)
			if sendErr := send(to, buffer[:n]); err != nil || sendErr != nil {
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
			passing.Go(func() { pass(near, far, send) })
			passing.Go(func() { pass(far, near, reply) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		passing.Wait()
	})
	return l.Addr().String()
}

// newSlowWay listens on an address that leads to another one over a link.
func newSlowWay(t *testing.T, to string, link *stand.Link) string {
	t.Helper()
	return newWay(t, to, func(to net.Conn, part []byte) error {
		link.Wait(len(part))
		_, err := to.Write(part)
		return err
	})
}

// newLargeGossiper returns a gossiper whose snapshot has a size.
func newLargeGossiper(t *testing.T, size int) *Gossiper {
	t.Helper()
	g, _ := newGossiper(t, 1)
	g.Snapshot = func(*wire.SnapshotRequest) *wire.SnapshotReply {
		return &wire.SnapshotReply{Revision: 7, Items: []*wire.Item{{Key: "op/config", Value: bytes.Repeat([]byte("x"), size)}}}
	}
	return g
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
			g := newLargeGossiper(t, test.size)
			way := newSlowWay(t, g.address, stand.NewLink(test.bits))
			limit := 2*time.Second + time.Duration(float64(test.size*8)/float64(test.bits)*float64(time.Second))
			began := time.Now()
			reply, err := g.FetchSnapshot(t.Context(), way, &wire.SnapshotRequest{})
			if took := time.Since(began); err != nil || len(reply.GetItems()) != 1 || took > limit {
				t.Errorf("got %d items, error %v after %v, want one within %v", len(reply.GetItems()), err, took, limit)
			}
		})
	}
}

var errStopped = errors.New("stopped by the test")

// TestFetchWithoutProgress guards against a fetch that waits for a peer which answers nothing, trickles
// or stands still, for longer than a call may take (CONFIG).
func TestFetchWithoutProgress(t *testing.T) {
	// slack is for what the machine does besides.
	const slack = 500 * time.Millisecond
	tests := map[string]struct {
		size int
		// passed is how much of the reply comes at once; after it single bytes with a pause, or nothing.
		passed int
		pause  time.Duration
	}{
		"nothing":                          {size: 900 << 10},
		"one byte a second":                {size: 900 << 10, pause: time.Second},
		"one byte each 10 ms":              {size: 900 << 10, pause: 10 * time.Millisecond},
		"a small one, a byte each 20 ms":   {size: 100, pause: 20 * time.Millisecond},
		"half, then nothing":               {size: 900 << 10, passed: 450 << 10},
		"half, then one byte a second":     {size: 900 << 10, passed: 450 << 10, pause: time.Second},
		"4 KB, then one byte each 10 ms":   {size: 900 << 10, passed: 4 << 10, pause: 10 * time.Millisecond},
		"nearly all, then one each 100 ms": {size: 900 << 10, passed: 900 << 10, pause: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newLargeGossiper(t, test.size)
			left := test.passed
			done := make(chan struct{})
			defer close(done)
			way := newWay(t, g.address, func(to net.Conn, part []byte) error {
				n := min(left, len(part))
				left -= n
				if _, err := to.Write(part[:n]); err != nil {
					return err
				}
				for _, b := range part[n:] {
					pause := test.pause
					if pause == 0 {
						pause = time.Hour
					}
					select {
					case <-done:
						return errStopped
					case <-time.After(pause):
					}
					if _, err := to.Write([]byte{b}); err != nil {
						return err
					}
				}
				return nil
			})
			began := time.Now()
			_, err := g.FetchSnapshot(t.Context(), way, &wire.SnapshotRequest{})
			if took := time.Since(began); err == nil || took > callTimeout+slack {
				t.Errorf("got error %v after %v, want one within %v", err, took, callTimeout)
			}
		})
	}
}
