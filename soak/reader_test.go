package soak

import (
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// TestReaders checks the faults in how upstreams read: the plan of a seed stays the same, small
// requests pass an upstream that reads late, and the rest of a large body comes once it reads on.
func TestReaders(t *testing.T) {
	const duration, upstreams = 20 * time.Second, 3
	for seed := range uint64(10) {
		plan := NewReaders(seed, duration, upstreams)
		if again := NewReaders(seed, duration, upstreams); !slices.Equal(plan, again) || len(plan) == 0 {
			t.Errorf("seed %d: got %v and %v, want one plan", seed, plan, again)
		}
		for _, s := range plan {
			if s.Offset >= duration || s.Target < 0 || s.Target >= upstreams || s.Duration <= 0 {
				t.Errorf("seed %d: got %v, want it within %v at one of %d upstreams", seed, s, duration, upstreams)
			}
		}
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	var arrived atomic.Int64
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		for buffer := make([]byte, 4<<10); err == nil; {
			var n int
			n, err = c.Read(buffer)
			arrived.Add(int64(n))
		}
	}()
	r, err := newRelay("127.0.0.1:0", target.Addr().String(), smallReceiveBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	r.readsLate.Store(true)
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const large = 4 << 20
	written := make(chan error, 1)
	go func() {
		_, err := io.CopyN(c, endless{}, large)
		written <- err
	}()
	time.Sleep(300 * time.Millisecond)
	if got := arrived.Load(); got == 0 || got > lateReadBytes+16<<10 {
		t.Errorf("got %d bytes while the upstream reads late, want some and at most %d", got, lateReadBytes+16<<10)
	}
	select {
	case err := <-written:
		t.Errorf("got %d bytes taken by a closed window, error %v, want the writer to wait", large, err)
	default:
	}
	r.readsLate.Store(false)
	for end := time.Now().Add(5 * time.Second); arrived.Load() < large && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if got := arrived.Load(); got != large {
		t.Errorf("got %d bytes once the upstream reads on, want %d", got, large)
	}
}

// endless is a body without end.
type endless struct{}

// Read fills p.
func (endless) Read(p []byte) (int, error) { return len(p), nil }
