package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"cactustide/platform/stand"
)

func itoa(n int) string { return strconv.Itoa(n) }

// TestStrayRefusal guards against a refusal that an upstream repeats on a kept connection:
// it states nothing about the request that is sent there, which the upstream runs. The
// caller must get the whole response, or an error that does not promise "not run", and no
// other upstream may get the request.
func TestStrayRefusal(t *testing.T) {
	const pause = 20 * time.Millisecond
	write := func(c net.Conn, parts ...string) bool {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return true
	}
	split := func(c net.Conn, text string) bool {
		for i := range text {
			if !write(c, text[i:i+1]) {
				return false
			}
			if i%40 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		return true
	}
	tests := map[string]struct {
		respond func(c net.Conn, id string) bool
		// whole is set if the caller must get the response.
		whole bool
	}{
		"with another id":  {whole: true, respond: func(c net.Conn, id string) bool { return write(c, rawRefusal("earlier"), rawBody(id)) }},
		"without an id":    {whole: true, respond: func(c net.Conn, id string) bool { return write(c, rawRefusal(""), rawBody(id)) }},
		"split":            {whole: true, respond: func(c net.Conn, id string) bool { return split(c, rawRefusal("earlier")+rawBody(id)) }},
		"split without id": {whole: true, respond: func(c net.Conn, id string) bool { return split(c, rawRefusal("")+rawBody(id)) }},
		"long before the response": {whole: true, respond: func(c net.Conn, id string) bool {
			ok := write(c, rawRefusal(""))
			time.Sleep(pause)
			return ok && write(c, rawBody(id))
		}},
		"five times": {whole: true, respond: func(c net.Conn, id string) bool {
			r := rawRefusal("earlier")
			return write(c, r, r, r, r, r, rawBody(id))
		}},
		"429 without an id": {whole: true, respond: func(c net.Conn, id string) bool {
			return write(c, "HTTP/1.1 429 Too Many Requests\r\nCactustide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", rawBody(id))
		}},
		"421 without an id": {whole: true, respond: func(c net.Conn, id string) bool {
			return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", rawBody(id))
		}},
		"503 that does not say not executed": {whole: true, respond: func(c net.Conn, id string) bool {
			return write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", rawBody(id))
		}},
		"after the response": {whole: true, respond: func(c net.Conn, id string) bool { return write(c, rawBody(id), rawRefusal("earlier")) }},
		"after the response, without an id": {whole: true, respond: func(c net.Conn, id string) bool {
			ok := write(c, rawBody(id))
			time.Sleep(pause)
			return ok && write(c, rawRefusal(""))
		}},
		"and no response": {respond: func(c net.Conn, id string) bool {
			write(c, rawRefusal("earlier"))
			return false
		}},
		"without an id and no response": {respond: func(c net.Conn, id string) bool {
			write(c, rawRefusal(""))
			return false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			other := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool { return write(c, rawBody(requestID(q))) })
			stray := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool { return test.respond(c, requestID(q)) })
			s.replaceUpstreams("stray", stray.listener.Addr().String())
			s.register("z-other", other.listener.Addr().String())
			for range 12 {
				got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: "x"})
				ran := stray.count(got.id) + other.count(got.id)
				if ran > 1 {
					t.Errorf("got the request at %d upstreams, want 1", ran)
				}
				if ran > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusMisdirectedRequest || got.status == http.StatusRequestTimeout) {
					t.Errorf("got status %d for a request that ran, want none that promises it did not", got.status)
				}
				if test.whole && (got.status != http.StatusOK || got.body != stand.BodyOf(got.id)) {
					t.Errorf("got status %d, body %q, error %v, want the whole response", got.status, got.body, got.err)
				}
			}
		})
	}
}

// TestUnprovenRefusal checks responses with a status that promises "not run" from an
// upstream that does not state it: the caller must not get the promise.
func TestUnprovenRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			s := newStack(t, 1)
			u := newScriptedUpstream(t, func(c net.Conn, q *http.Request) bool {
				_, err := io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" x\r\nCactustide-Request-Id: "+requestID(q)+
					"\r\nCactustide-Response-Signature: s\r\nContent-Length: 2\r\n\r\nno")
				return err == nil
			})
			s.replaceUpstreams("raw", u.listener.Addr().String())
			got := s.send(context.Background(), s.entries[0], callerRequest{path: "/book/a", key: testKey, body: "x"})
			if got.status != http.StatusBadGateway || got.header.Get("Cactustide-Response-Signature") != "" {
				t.Errorf("got status %d, signature %q, want 502 of the entry itself", got.status, got.header.Get("Cactustide-Response-Signature"))
			}
			if n := u.count(got.id); n != 1 {
				t.Errorf("got %d sends, want 1", n)
			}
		})
	}
}
