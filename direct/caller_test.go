package direct

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCloseIdle: a stopping entry closes connections that wait for a request, but
// not those on which one has begun to arrive, and reads nothing after the close.
func TestCloseIdle(t *testing.T) {
	for name, c := range map[string]struct {
		// before and after are sent before and after the sweep.
		before, after string
		want          string
	}{
		"waiting":          {want: ""},
		"begun":            {before: "GET /", after: " HTTP", want: "GET / HTTP"},
		"crosses the end":  {after: "GET /", want: ""},
		"begun, no more":   {before: "GET /", want: "GET /"},
		"one byte arrived": {before: "G", after: "ET", want: "GET"},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := net.Pipe()
			caller := &callerConn{Conn: server}
			s := &connTracker{idleSince: map[net.Conn]time.Time{}, awaitingHead: map[*callerConn]struct{}{}, limit: 10}
			s.trackState(caller, http.StateNew)
			s.trackState(caller, http.StateIdle)
			got := ""
			read := func() {
				b := make([]byte, 64)
				_ = caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				n, _ := caller.Read(b)
				got += string(b[:n])
			}
			send := func(text string) {
				if text == "" {
					return
				}
				go func() { _, _ = io.WriteString(client, text) }()
				read()
			}
			send(c.before)
			s.sweep(time.Now(), 0, 0)
			send(c.after)
			if got != c.want {
				t.Errorf("got %q read, want %q", got, c.want)
			}
		})
	}
}
