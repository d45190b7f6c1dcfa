package direct

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestIdleSet(t *testing.T) {
	s := &idleSet{since: map[net.Conn]time.Time{}, heads: map[*callerConn]struct{}{}, limit: 2}
	pipe := func() (net.Conn, net.Conn) { return net.Pipe() }
	closed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}
	a, callerA := pipe()
	b, callerB := pipe()
	over, callerOver := pipe()
	for _, c := range []net.Conn{a, b, over} {
		s.note(c, http.StateNew)
	}
	if !closed(callerOver) || closed(callerA) || closed(callerB) {
		t.Error("got another connection closed than the one above the limit")
	}
	s.note(over, http.StateClosed)
	s.note(a, http.StateIdle)
	s.note(b, http.StateActive)
	limit := 10 * time.Second
	s.sweep(time.Now().Add(12*time.Second), limit, 0)
	if closed(callerA) {
		t.Error("got an idle connection closed within the margin, want it open")
	}
	// A shorter limit does not hold for callers who know the longer one.
	s.sweep(time.Now().Add(12*time.Second), time.Second, 0)
	if closed(callerA) {
		t.Error("got an idle connection closed by a shorter limit, want it open")
	}
	s.sweep(time.Now().Add(16*time.Second), limit, 0)
	if !closed(callerA) || closed(callerB) {
		t.Error("got the idle connection open or the active one closed after the limit")
	}
	s.note(a, http.StateClosed)
	c, callerC := pipe()
	s.note(c, http.StateNew)
	if closed(callerC) {
		t.Error("got a connection closed below the limit, want it open")
	}
}

func TestBodies(t *testing.T) {
	b := bodies{limit: 10}
	if !b.take(6) || b.take(5) || !b.take(4) {
		t.Error("got another bound than 10")
	}
	b.give(6)
	if !b.take(6) {
		t.Error("got no room after some was given back")
	}
}
