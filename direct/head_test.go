package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cactustide/fakes"
	"cactustide/platform/stand"
)

const rawFields = "Cactustide-Request-Id: ID\r\nCactustide-Response-Signature: s\r\n"

// TestBrokenHead guards against a response whose head has a defect that the parser lets pass being
// passed on: nothing of it may reach the caller, and the request counts as one that may have run.
func TestBrokenHead(t *testing.T) {
	for name, response := range fakes.BrokenHeads(rawFields, "hello") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log lockedBuffer
			s := newStackOf(t, stackOptions{entries: 1, log: &log})
			u := s.newScripted(response)
			for _, request := range []callerRequest{
				{path: "/book/a", key: testKey, body: "x"},
				{path: "/read/a", key: testKey, body: "y"},
				{path: "/chat/a", key: testKey, body: "z", stream: true},
			} {
				got := s.send(context.Background(), s.entries[0], request)
				if got.status != http.StatusBadGateway || got.err != nil {
					t.Errorf("%s: got status %d, error %v, want 502", request.path, got.status, got.err)
				}
				if strings.Contains(got.body, "hello") || strings.Contains(got.body, "data:") {
					t.Errorf("%s: got body %q, want nothing of the upstream's", request.path, got.body)
				}
				for field := range got.header {
					if strings.HasPrefix(field, "Bad") {
						t.Errorf("%s: got field %q of the upstream, want none", request.path, field)
					}
				}
				if n := u.count(got.id); n != 1 {
					t.Errorf("%s: got the request %d times at the upstream, want 1", request.path, n)
				}
				if !hasRefusal(log.String(), got.id) {
					t.Errorf("%s: got no line in the log that states why the response was refused", request.path)
				}
			}
		})
	}
}

// hasRefusal reports whether a log states why a response to a request was refused.
func hasRefusal(log, id string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, id) && (strings.Contains(line, "no status of a response") ||
			strings.Contains(line, "no name of a field") || strings.Contains(line, "malformed MIME header")) {
			return true
		}
	}
	return false
}

// newScripted replaces the stack's upstreams by one that sends a response to each request.
func (s *testStack) newScripted(response string) *scriptedUpstream {
	s.t.Helper()
	u := newScriptedUpstream(s.t, func(c net.Conn, q *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", requestID(q))) // The entry may have closed it.
		return false
	})
	s.replaceUpstreams("a-broken", u.listener.Addr().String())
	return u
}

// TestBrokenHeadRetried checks where a request goes after a response with a broken head: to
// another upstream if it may run twice, nowhere else if it may not, even if the response states
// that the request was not executed.
func TestBrokenHeadRetried(t *testing.T) {
	responses := map[string]string{
		"status 000":               "HTTP/1.1 000 Unknown\r\n" + rawFields + "Content-Length: 5\r\n\r\nhello",
		"blank in a name":          "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + rawFields + "Content-Length: 5\r\n\r\nhello",
		"refusal, blank in a name": "HTTP/1.1 503 Busy\r\nBad Name: x\r\nCactustide-Not-Executed: 1\r\n" + rawFields + "Content-Length: 0\r\n\r\n",
		"refusal, status 000":      "HTTP/1.1 000 Busy\r\nCactustide-Not-Executed: 1\r\n" + rawFields + "Content-Length: 0\r\n\r\n",
	}
	for name, response := range responses {
		for path, retried := range map[string]bool{"/read/a": true, "/book/a": false} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 1)
				broken := s.newScripted(response)
				sound := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
					_, err := io.WriteString(c, rawBody(requestID(q)))
					return err == nil
				})
				s.register("b-sound", sound.listener.Addr().String())
				for range 8 {
					got := s.send(context.Background(), s.entries[0], callerRequest{path: path, key: testKey, body: "x"})
					atBroken, atSound := broken.count(got.id), sound.count(got.id)
					want := http.StatusOK
					if atBroken > 0 && !retried {
						want = http.StatusBadGateway
					}
					if got.status != want || got.err != nil || got.status == http.StatusOK && got.body != stand.BodyOf(got.id) {
						t.Errorf("got status %d, error %v after %d sends to the broken upstream and %d to the other, want %d and nothing of the broken one", got.status, got.err, atBroken, atSound, want)
					}
					if atBroken > 1 || atSound > 1 || !retried && atBroken+atSound > 1 {
						t.Errorf("got %d sends to the broken upstream and %d to the other, want none twice", atBroken, atSound)
					}
				}
			})
		}
	}
}
