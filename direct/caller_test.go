package direct

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cactustide/fakes"
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
			caller := newCallerConn(time.Now(), server)
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

// TestHeadTimeoutClockStep guards against connections that are closed in the middle of a head, as the
// time of day is set.
func TestHeadTimeoutClockStep(t *testing.T) {
	for name, c := range map[string]struct {
		step, after time.Duration
		want        bool
	}{
		"no step, in time":   {after: 500 * time.Millisecond},
		"no step, late":      {after: 1500 * time.Millisecond, want: true},
		"forward, in time":   {step: 30 * time.Second, after: 500 * time.Millisecond},
		"back, late":         {step: -30 * time.Second, after: 1500 * time.Millisecond, want: true},
		"back and in time":   {step: -30 * time.Second, after: 500 * time.Millisecond},
		"forward, late also": {step: 30 * time.Second, after: 1500 * time.Millisecond, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := net.Pipe()
			defer func() { _ = client.Close() }()
			caller := newCallerConn(time.Now(), server)
			caller.setState(http.StateNew)
			go func() { _, _ = io.WriteString(client, "G") }()
			if _, err := caller.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			now := fakes.StepClock(time.Now().Add(c.after), c.step)
			if got := caller.headTimedOut(now, time.Second); got != c.want {
				t.Errorf("got timed out %v, want %v", got, c.want)
			}
		})
	}
}
