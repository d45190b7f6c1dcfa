package direct

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestConnTracker(t *testing.T) {
	s := &connTracker{idleSince: map[net.Conn]time.Time{}, awaitingHead: map[*callerConn]struct{}{}, limit: 2}
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
		s.trackState(c, http.StateNew)
	}
	if !closed(callerOver) || closed(callerA) || closed(callerB) {
		t.Error("got another connection closed than the one above the limit")
	}
	s.trackState(over, http.StateClosed)
	s.trackState(a, http.StateIdle)
	s.trackState(b, http.StateActive)
	limit := 10 * time.Second
	s.sweep(time.Now().Add(12*time.Second), limit, 0)
	if closed(callerA) {
		t.Error("got an idle connection closed within the margin, want it open")
	}
	// A shorter limit must not apply to callers who still use the longer one.
	s.sweep(time.Now().Add(12*time.Second), time.Second, 0)
	if closed(callerA) {
		t.Error("got an idle connection closed by a shorter limit, want it open")
	}
	s.sweep(time.Now().Add(16*time.Second), limit, 0)
	if !closed(callerA) || closed(callerB) {
		t.Error("got the idle connection open or the active one closed after the limit")
	}
	s.trackState(a, http.StateClosed)
	c, callerC := pipe()
	s.trackState(c, http.StateNew)
	if closed(callerC) {
		t.Error("got a connection closed below the limit, want it open")
	}
}
