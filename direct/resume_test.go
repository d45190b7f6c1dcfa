package direct_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cactustide/platform/stand"
)

// TestResumedByOther guards against a stream whose second upstream does not go on with it:
// the caller gets whole events only, in order, and a stream that is cut never looks
// complete.
func TestResumedByOther(t *testing.T) {
	const events = 6
	head := func(id, status, rest string) string {
		return "HTTP/1.1 " + status + "\r\nCactustide-Request-Id: " + id + "\r\n" + rest
	}
	signed := "Cactustide-Response-Signature: s\r\n"
	stream := signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	all := func(id string, from, to int) string {
		var b strings.Builder
		for n := from; n <= to; n++ {
			b.WriteString(stand.EventOf(id, n))
		}
		return b.String()
	}
	const last = "0\r\n\r\n"
	tests := map[string]struct {
		second func(id string) string
		// complete is set if the second upstream ends the stream.
		complete bool
	}{
		"goes on":       {complete: true, second: func(id string) string { return head(id, "200 OK", stream+chunk(all(id, 4, events))+last) }},
		"500":           {second: func(id string) string { return head(id, "500 x", signed+"Content-Length: 5\r\n\r\nerror") }},
		"500, unframed": {second: func(id string) string { return head(id, "500 x", signed+"\r\nerror\n\n") }},
		"503 not run": {second: func(id string) string {
			return head(id, "503 x", "Cactustide-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror")
		}},
		"429 not run": {second: func(id string) string {
			return head(id, "429 x", "Cactustide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}},
		"421":      {second: func(id string) string { return head(id, "421 x", "Content-Length: 0\r\n\r\n") }},
		"400":      {second: func(id string) string { return head(id, "400 x", "Content-Length: 5\r\n\r\nerror") }},
		"redirect": {second: func(id string) string { return head(id, "302 Found", "Location: /\r\nContent-Length: 0\r\n\r\n") }},
		"whole response": {second: func(id string) string {
			return head(id, "200 OK", signed+"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
		}},
		"500 as a stream": {second: func(id string) string {
			return head(id, "500 x", stream+chunk(all(id, 4, events))+last)
		}},
		"from the beginning":  {second: func(id string) string { return head(id, "200 OK", stream+chunk(all(id, 1, events))+last) }},
		"an event is missing": {second: func(id string) string { return head(id, "200 OK", stream+chunk(all(id, 5, events))+last) }},
		"empty stream":        {second: func(id string) string { return head(id, "200 OK", stream+last) }},
		"empty stream of length 0": {second: func(id string) string {
			return head(id, "200 OK", signed+"Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
		}},
		"empty stream, unframed": {second: func(id string) string { return head(id, "200 OK", signed+"Content-Type: text/event-stream\r\n\r\n") }},
		"events without ids":     {second: func(id string) string { return head(id, "200 OK", stream+chunk("data: error\n\n")+last) }},
		"head inside the stream": {second: func(id string) string {
			return head(id, "200 OK", stream+chunk(all(id, 4, 4)+"HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nerror\n\n")+last)
		}},
		"not signed": {second: func(id string) string {
			return head(id, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(all(id, 4, events))+last)
		}},
		"breaks off too": {second: func(id string) string { return head(id, "200 OK", stream+chunk(all(id, 4, 4)+"id: 5\nda")) }},
		"no response":    {second: func(string) string { return "" }},
		"no HTTP":        {second: func(string) string { return "error\r\n\r\n" }},
	}
	for name, test := range tests {
		for _, cut := range []string{"between events", "inside an event", "unframed"} {
			t.Run(name+", cut "+cut, func(t *testing.T) {
				t.Parallel()
				s := newStack(t, 1)
				respond := func(c net.Conn, q *http.Request) bool {
					id := requestID(q)
					if q.Header.Get("Last-Event-Id") != "" {
						_, _ = io.WriteString(c, test.second(id)) // The entry may have closed the connection.
						return false
					}
					text := head(id, "200 OK", stream) + chunk(all(id, 1, 3))
					switch cut {
					case "inside an event":
						text += chunk("id: 4\ndata: ")
					case "unframed":
						text = head(id, "200 OK", signed+"Content-Type: text/event-stream\r\n\r\n") + all(id, 1, 3) + "id: 4\nda"
					}
					_, _ = io.WriteString(c, text)
					return false
				}
				first, second := newScriptedUpstream(t, respond), newScriptedUpstream(t, respond)
				s.replaceUpstreams("first", first.listener.Addr().String())
				s.register("second", second.listener.Addr().String())
				got := s.send(context.Background(), s.entries[0], callerRequest{path: "/draft/a", key: testKey, stream: true})
				want := all(got.id, 1, events)
				if got.status != http.StatusOK || !strings.HasPrefix(want, got.body) || !strings.HasSuffix(got.body, "\n\n") || !strings.HasPrefix(got.body, all(got.id, 1, 3)) {
					t.Errorf("got status %d, body %q, want whole events in order, the first three at least", got.status, got.body)
				}
				if complete := got.err == nil; complete != test.complete {
					t.Errorf("got complete %v, body %q, want complete %v", complete, got.body, test.complete)
				}
				if test.complete && got.body != want {
					t.Errorf("got body %q, want %q", got.body, want)
				}
			})
		}
	}
}
