package store

import (
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

// TestSlowAnswer guards against a value that never arrives, because its answer takes longer than a call
// may take until it begins, and against waiting for an answer that stands still or trickles.
func TestSlowAnswer(t *testing.T) {
	// silence is how long an answer may make no progress, beside the time of the call.
	const silence = time.Second
	tests := map[string]struct {
		// size is that of the value; its answer comes in pieces with pauses between them, up to stop bytes.
		size, piece, stop int
		pause             time.Duration
		whole             bool
	}{
		"at once":               {size: 900 << 10, piece: 2 << 20, whole: true},
		"900 KB at 4 Mbit/s":    {size: 900 << 10, piece: 5000, pause: 10 * time.Millisecond, whole: true},
		"16 KiB each 500 ms":    {size: 100 << 10, piece: 16 << 10, pause: 500 * time.Millisecond, whole: true},
		"8 KiB each 2 s":        {size: 900 << 10, piece: 8 << 10, pause: 2 * time.Second},
		"4 KiB/s":               {size: 900 << 10, piece: 400, pause: 100 * time.Millisecond},
		"stops at its start":    {size: 900 << 10, piece: 1 << 10, stop: 1 << 10},
		"stops midway":          {size: 900 << 10, piece: 4 << 10, pause: time.Millisecond, stop: 512 << 10},
		"no answer":             {size: 900 << 10, piece: 1, stop: -1},
		"small, in time":        {size: 1 << 10, piece: 100, pause: 10 * time.Millisecond, whole: true},
		"small, after its time": {size: 1 << 10, piece: 100, pause: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := fmt.Sprintf(`[{"Key":"k","Value":%q,"ModifyIndex":3}]`, base64.StdEncoding.EncodeToString(make([]byte, test.size)))
			answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Consul-Index: 3\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			progressed := make(chan time.Time, 1)
			c := newRawClient(t, func(conn *net.TCPConn) {
				defer conn.Close()
				request := make([]byte, 4<<10)
				if _, err := conn.Read(request); err != nil {
					return
				}
				sent := 0
				for part := range slices.Chunk(answer, test.piece) {
					if test.stop != 0 && sent >= test.stop {
						break
					}
					if sent > 0 {
						time.Sleep(test.pause)
					}
					if _, err := conn.Write(part); err != nil {
						return
					}
					sent += len(part)
				}
				if test.whole {
					return
				}
				progressed <- time.Now()
				_, _ = conn.Read(request) // Until the client closes it.
			})
			began := time.Now()
			pair, err := c.Get("k")
			took := time.Since(began)
			if test.whole {
				if err != nil || len(pair.Value) != test.size || pair.Version != 3 {
					t.Errorf("got %d bytes of version %d, error %v after %v, want the whole", len(pair.Value), pair.Version, err, took)
				}
				return
			}
			select {
			case at := <-progressed:
				took = min(took, time.Since(at)) // The last byte came after the begin.
			default:
			}
			if err == nil || took > CallTimeout+silence {
				t.Errorf("got error %v, %v after the call or the last byte, want one within %v", err, took, CallTimeout+silence)
			}
		})
	}
}

// TestIndex checks that the index of a key is read without its value, and that an answer without one is
// an error: it would count as that of a key which has not changed.
func TestIndex(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     uint64
		fails    bool
	}{
		"a key":    {response: "HTTP/1.1 200 OK\r\nX-Consul-Index: 3\r\nContent-Length: 5\r\n\r\n[\"k\"]", want: 3},
		"no key":   {response: "HTTP/1.1 404 Not Found\r\nX-Consul-Index: 3\r\nContent-Length: 0\r\n\r\n", want: 3},
		"no index": {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[\"k\"]", fails: true},
		"an error": {response: "HTTP/1.1 500 Error\r\nX-Consul-Index: 3\r\nContent-Length: 0\r\n\r\n", fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newRawClient(t, func(conn *net.TCPConn) {
				defer conn.Close()
				request := make([]byte, 4<<10)
				if _, err := conn.Read(request); err == nil {
					_, _ = conn.Write([]byte(test.response))
				}
			})
			got, err := c.Index("k", 1, 0, CallTimeout)
			if got != test.want || err != nil != test.fails {
				t.Errorf("got index %d, error %v, want %d, an error: %v", got, err, test.want, test.fails)
			}
		})
	}
}
