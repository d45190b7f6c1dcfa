package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client, as the client sees it.
type attempt struct {
	id string
	// status is that of a complete answer; 0 means that there was none.
	status int
	signed bool
	body   string
	// started is set if the head of an answer arrived, ended if the channel ended without
	// a complete answer before the time limit.
	started, ended bool
	reused         bool
	sent, done     time.Time
	retryAfter     string
}

// channel is a client's channel to an entry, kept for many requests.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close() // The channel is not used again.
	}
	c.conn, c.used = nil, false
}

// spec describes a request.
type spec struct {
	id, method, path, key string
	limit                 time.Duration
	header                map[string]string
	body                  []byte
	// chunked sends the body in chunks, at bytesPerSecond.
	chunked        bool
	bytesPerSecond int
}

// send sends a request on the channel, opens one if there is none, and reads the answer.
func (c *channel) send(s spec) (a attempt) {
	a = attempt{id: s.id, sent: time.Now()}
	defer func() { a.done = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.reused = c.used
	_ = c.conn.SetDeadline(a.sent.Add(s.limit)) // An open channel takes deadlines.
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nCactustide-Request-Id: %s\r\nCactustide-Deadline-Ms: %d\r\n", s.method, s.path, host, s.id, s.limit.Milliseconds())
	if s.key != "" {
		head += "Authorization: Bearer " + s.key + "\r\n"
	}
	for name, value := range s.header {
		head += name + ": " + value + "\r\n"
	}
	switch {
	case s.chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case s.body != nil:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(s.body))
	}
	err := writeRequest(c.conn, head+"\r\n", s)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: s.method})
	}
	if err != nil {
		a.ended = time.Since(a.sent) < s.limit
		c.close()
		return a
	}
	a.started = true
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.ended = time.Since(a.sent) < s.limit
		c.close()
		return a
	}
	a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get("Cactustide-Response-Signature") != "", string(body)
	a.retryAfter = resp.Header.Get("Retry-After")
	c.used = true
	if resp.Close {
		c.close()
	}
	return a
}

// chunkBytes is the size of the chunks of a request body.
const chunkBytes = 16 << 10

func writeRequest(w io.Writer, head string, s spec) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	if !s.chunked {
		_, err := w.Write(s.body)
		return err
	}
	begin := time.Now()
	for rest := s.body; len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		due := float64(len(s.body)-len(rest)) / float64(max(1, s.bytesPerSecond))
		time.Sleep(time.Until(begin.Add(time.Duration(due * float64(time.Second)))))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

var lastID atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastID.Add(1)) }

// attempts collects what the clients saw.
type attempts struct {
	rec  *record
	mu   sync.Mutex
	list []attempt
}

func (l *attempts) add(a attempt) {
	what := fmt.Sprintf("gets %d", a.status)
	if a.status == 0 {
		what = "gets no complete answer"
	}
	l.rec.add("client %s after %d ms: %s", a.id, a.done.Sub(a.sent).Milliseconds(), what)
	l.mu.Lock()
	l.list = append(l.list, a)
	l.mu.Unlock()
}

func (l *attempts) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.list...)
}

// statuses counts the answers by status.
func (l *attempts) statuses() map[int]int {
	out := map[int]int{}
	for _, a := range l.all() {
		out[a.status]++
	}
	return out
}
