package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestRelayReleases guards against a relay that keeps the descriptors of connections that
// have ended: a run with many entries had used them up.
func TestRelayReleases(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r, err := newRelay("127.0.0.1:0", target.Addr().String(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	for range 20 {
		c, err := net.Dial("tcp", r.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	open := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns)
	}
	for end := time.Now().Add(3 * time.Second); open() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if got := open(); got != 0 {
		t.Errorf("got %d connections kept after all ended, want none", got)
	}
}
