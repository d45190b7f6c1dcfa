package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"cactustide/conn"
	"cactustide/fleet"
)

const (
	// freshOnce is how long a connection may have been idle for a request that must
	// not be sent twice: an upstream may drop an idle connection at any time, and a
	// request that crosses this is lost.
	freshOnce = 800 * time.Millisecond
	// usualKeep is how long an upstream that says nothing keeps idle connections.
	usualKeep = 800 * time.Millisecond
	// keepMargin is left before the end of an upstream's stated time.
	keepMargin = 400 * time.Millisecond
	// connShare is the part of an upstream's connections that all entries may use.
	connShare = 0.9
	// usualConns is the bound for upstreams that state none.
	usualConns = 100
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 3
	// wholeBody is the largest answer that is read before it is passed on, bytes.
	wholeBody = 256 << 10
)

var (
	errStray    = errs.New("an answer to another request")
	errUnsigned = errs.New("a success that no upstream signed")
	errNoAnswer = errs.New("no answer in the protocol")
)

// exchange is a request at an upstream whose answer's head has arrived.
type exchange struct {
	entry *Entry
	to    fleet.Upstream
	conn  *conn.Conn
	resp  *http.Response
	reply ResponseInfo
	// written is closed when the request was sent whole, or sending failed.
	written chan error
	release func() bool
}

// failure tells why an exchange gave no answer.
type failure struct {
	err error
	// sent says that bytes may have reached the upstream, which may have run the
	// request.
	sent bool
	// away says that the host showed no sign of life.
	away bool
	// full says that all connections to the upstream are in use.
	full bool
}

// send sends a request to an upstream and reads the head of the answer.
func (e *Entry) send(ctx context.Context, q *request, to fleet.Upstream, lastEvent string) (*exchange, *failure) {
	now := time.Now()
	fresh := freshOnce
	if q.route.MayRepeat() {
		fresh = time.Minute
	}
	c, err := e.pool.Get(now, to.Address, fresh, e.connLimit(q))
	if err != nil {
		var typed *conn.Error
		full := errors.As(err, &typed) && typed.Kind == conn.KindFull
		return nil, &failure{err: err, away: !full, full: full}
	}
	x := &exchange{entry: e, to: to, conn: c, written: make(chan error, 1)}
	if err := c.SetDeadline(q.deadline); err != nil {
		e.pool.Discard(c)
		return nil, &failure{err: err}
	}
	x.release = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // Ends reads and writes.
	x.write(e.encode(q, to, lastEvent), q.body)
	if err := x.readHead(q); err != nil {
		x.drop()
		return nil, &failure{err: err, sent: true, away: isAway(err)}
	}
	return x, nil
}

// connLimit is this entry's part of the connections that an upstream accepts.
func (e *Entry) connLimit(q *request) int {
	all := usualConns
	if q.service != nil && q.service.Channels > 0 {
		all = q.service.Channels
	}
	return max(2, int(connShare*float64(all))/max(1, e.entries()))
}

// encode writes the head of the request to an upstream.
func (e *Entry) encode(q *request, to fleet.Upstream, lastEvent string) []byte {
	h := q.header.Clone()
	dropHops(h)
	h.Del("Expect")
	h.Del("Content-Length")
	e.wire.WriteForward(h, ForwardInfo{
		Upstream:    to.ID,
		Timeout:     time.Until(q.deadline),
		Team:        q.owner.Team,
		Inference:   q.work.Engine,
		Tier:        q.tier,
		LastEventID: lastEvent,
	})
	if q.hasBody {
		h.Set("Content-Length", strconv.Itoa(len(q.body)))
	}
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(q.method + " " + q.target + " HTTP/1.1\r\nHost: " + q.host + "\r\n")
	_ = h.Write(&b) // A buffer never fails.
	b.WriteString("\r\n")
	return b.Bytes()
}

// smallRequest is sent in one go before the answer is read, bytes.
const smallRequest = 8 << 10

// write sends the request. A large one is sent while the answer is read, as an
// upstream may answer before it has read all.
func (x *exchange) write(head, body []byte) {
	if len(head)+len(body) <= smallRequest {
		_, err := x.conn.Write(append(head, body...))
		x.written <- err
		return
	}
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(body)
		}
		x.written <- err
	}()
}

// readHead reads the answer's head. Answers to other requests, which arrive
// late on a reused connection, are skipped.
func (x *exchange) readHead(q *request) error {
	for range maxStray {
		resp, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: q.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		reply := x.entry.wire.ReadResponse(resp.Header)
		if reply.ID == q.ask.ID || reply.ID == "" && resp.StatusCode >= http.StatusMultipleChoices {
			if resp.StatusCode < http.StatusMultipleChoices && !reply.Signed {
				return errUnsigned
			}
			x.resp, x.reply = resp, reply
			return nil
		}
		x.entry.log.With("request", q.ask.ID).With("upstream", x.to.ID).With("other", reply.ID).Warnf("skipped an answer to another request")
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errStray
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeBody)); err != nil {
			return err
		}
	}
	return errNoAnswer
}

// finish gives the connection back after the answer was read to its end.
func (x *exchange) finish() {
	unused := x.release()
	select {
	case err := <-x.written:
		if err != nil || !unused || x.resp.Close || x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
			x.entry.pool.Discard(x.conn)
			return
		}
		x.entry.pool.Put(time.Now(), x.conn, keepOf(x.resp.Header))
	default:
		// The answer came before the request was sent whole.
		x.entry.pool.Discard(x.conn)
	}
}

// drop closes the connection, by which the upstream learns that nobody waits.
func (x *exchange) drop() {
	x.release()
	x.entry.pool.Discard(x.conn)
}

// readWhole reads an answer's body if it is small enough to be kept.
func (x *exchange) readWhole() ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(x.resp.Body, wholeBody+1))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) <= wholeBody, nil
}

// keepOf is how long an upstream keeps the connection while it is idle.
func keepOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s)*time.Second - keepMargin
		}
	}
	return usualKeep
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHops(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
