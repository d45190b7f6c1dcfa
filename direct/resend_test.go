package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// repeatingUpstream refuses each request at first, with a short pause. On a connection that
// carries a further request it sends the refusal once more before it runs that request.
type repeatingUpstream struct {
	respond func(id string) string
	mu      sync.Mutex
	refused map[string]bool
	runs    []string
	late    map[net.Conn]string
}

func newRepeatingUpstream(t *testing.T, respond func(id string) string) (u *repeatingUpstream, address string) {
	u = &repeatingUpstream{respond: respond, refused: map[string]bool{}, late: map[net.Conn]string{}}
	return u, newScriptedUpstream(t, u.serve).listener.Addr().String()
}

func (u *repeatingUpstream) serve(c net.Conn, q *http.Request) bool {
	id := requestID(q)
	u.mu.Lock()
	late, refuse := u.late[c], !u.refused[id]
	delete(u.late, c)
	if refuse {
		u.refused[id] = true
		u.late[c] = rawRefusal(id)
	} else {
		u.runs = append(u.runs, id)
	}
	u.mu.Unlock()
	if refuse {
		_, err := io.WriteString(c, late+withHeader(rawRefusal(id), "Retry-After: 0.1\r\n"))
		return err == nil
	}
	if _, err := io.WriteString(c, late); err != nil {
		return false
	}
	time.Sleep(20 * time.Millisecond)
	_, err := io.WriteString(c, u.respond(id))
	return err == nil
}

func (u *repeatingUpstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, run := range u.runs {
		if run == id {
			n++
		}
	}
	return n
}

// TestRepeatedRefusal guards against a refusal that an upstream repeats late, taken for the
// response to the second send of the same attempt: both carry the attempt's id. The request
// then ran at two upstreams, or ran and was answered 503.
func TestRepeatedRefusal(t *testing.T) {
	stream := func(id string) string {
		event := stand.EventOf(id, 1)
		return "HTTP/1.1 200 OK\r\nCactustide-Request-Id: " + id + "\r\nCactustide-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: " +
			strconv.Itoa(len(event)) + "\r\n\r\n" + event
	}
	tests := map[string]struct {
		path      string
		upstreams int
		respond   func(id string) string
	}{
		"one upstream":              {"/book/a", 1, rawBody},
		"two upstreams":             {"/book/a", 2, rawBody},
		"idempotent, two upstreams": {"/read/a", 2, rawBody},
		"stream, one upstream":      {"/chat/a", 1, stream},
		"stream, two upstreams":     {"/chat/a", 2, stream},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			var upstreams []*repeatingUpstream
			for i := range test.upstreams {
				u, address := newRepeatingUpstream(t, test.respond)
				upstreams = append(upstreams, u)
				if i == 0 {
					s.replaceUpstreams("a-repeats", address)
				} else {
					s.register("b-repeats", address)
				}
			}
			for range 8 {
				got := s.send(context.Background(), s.entries[0], callerRequest{path: test.path, key: testKey, body: "x", stream: !strings.HasPrefix(test.respond("x"), rawBody("x"))})
				var runs []int
				for _, u := range upstreams {
					runs = append(runs, u.count(got.id))
				}
				slices.Sort(runs)
				total := 0
				for _, n := range runs {
					total += n
				}
				if total > 1 {
					t.Errorf("got %v runs at the upstreams, want one in all", runs)
				}
				if got.status != http.StatusOK {
					t.Errorf("got status %d with %d runs, want the whole response", got.status, total)
				}
			}
		})
	}
}
