package direct_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"cactustide/platform/stand"
)

// scriptedUpstream serves requests on kept connections with a function that writes the raw
// bytes of each response. The function returns false to close the connection.
type scriptedUpstream struct {
	listener net.Listener
	serve    func(c net.Conn, q *http.Request) bool
	// report answers the question which process it is in place of rawReport; it is set before the
	// upstream is registered.
	report   func(c net.Conn) bool
	mu       sync.Mutex
	requests []string
}

// newScriptedUpstream starts an upstream that is not registered yet.
func newScriptedUpstream(t testing.TB, serve func(c net.Conn, q *http.Request) bool) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &scriptedUpstream{listener: listener, serve: serve}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serveConn(c)
		}
	}()
	return u
}

func (u *scriptedUpstream) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		_, _ = io.Copy(&body, q.Body) // A short body shows in the next request.
		if q.URL.Path == stand.PathReport {
			if u.report != nil {
				if !u.report(c) {
					return
				}
				continue
			}
			if _, err := io.WriteString(c, rawReport); err != nil {
				return
			}
			continue
		}
		u.mu.Lock()
		u.requests = append(u.requests, q.Header.Get("Cactustide-Request-Id"))
		u.mu.Unlock()
		if !u.serve(c, q) {
			return
		}
	}
}

// received returns the ids of the requests in the order of their arrival.
func (u *scriptedUpstream) received() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.requests...)
}

// count returns how often a request arrived.
func (u *scriptedUpstream) count(id string) int {
	n := 0
	for _, got := range u.received() {
		if got == id {
			n++
		}
	}
	return n
}

// requestID returns the id of a request.
func requestID(q *http.Request) string { return q.Header.Get("Cactustide-Request-Id") }

// rawReport is the report of a process with the start that register names.
const rawReport = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}"

// rawBody returns a complete response to a request, as the stand-in replica would send it.
func rawBody(id string) string {
	body := stand.BodyOf(id)
	return "HTTP/1.1 200 OK\r\nCactustide-Request-Id: " + id + "\r\nCactustide-Response-Signature: s\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}

// rawRefusal returns a response that states that the request with the id was not executed;
// without an id it names none.
func rawRefusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nCactustide-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Cactustide-Request-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}
