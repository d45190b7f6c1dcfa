package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRoomForCallers guards against an entry that counts as ready and closes each new connection, as
// idle ones of other callers fill its limit (RECOVER).
func TestRoomForCallers(t *testing.T) {
	const limit = 60 // 0.6 of the sockets below.
	tests := map[string]struct {
		// busy is the number of connections with a request in progress; the others are idle.
		busy  int
		ready bool
	}{
		"all are idle":       {ready: true},
		"all but one busy":   {busy: limit - 1, ready: true},
		"all of them busy":   {busy: limit},
		"one in two is busy": {busy: limit / 2, ready: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: 1, maxSockets: 100})
			open := func() net.Conn {
				conn, err := net.Dial("tcp", s.entries[0].settings.Listen)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			send := func(conn net.Conn, id, path, length string) {
				head := "POST " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\nCactustide-Request-Id: " + id +
					"\r\nCactustide-Deadline-Ms: 4000\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: " + length + "\r\n\r\n"
				if _, err := io.WriteString(conn, head); err != nil {
					t.Error(err)
				}
			}
			answer := func(conn net.Conn) error {
				if err := conn.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
					return err
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			}
			for i := range limit {
				conn := open()
				if i < test.busy {
					send(conn, fmt.Sprintf("busy-%d", i), "/long/a", "10") // The body does not follow.
					continue
				}
				send(conn, fmt.Sprintf("idle-%d", i), "/none/a", "0")
				if err := answer(conn); err != nil {
					t.Fatal(err)
				}
			}
			waitFor(t, "readiness", func() bool { return s.isReady(s.entries[0]) == test.ready })
			late := open()
			send(late, "late", "/none/a", "0")
			if err := answer(late); (err == nil) != test.ready {
				t.Errorf("got error %v on a new connection, want none: %v", err, test.ready)
			}
		})
	}
}
