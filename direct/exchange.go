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
	// onceMaxIdle is how long a connection may have been idle for a request that must
	// not be sent twice: an upstream may drop an idle connection at any time, and a
	// request that crosses this is lost.
	onceMaxIdle = 800 * time.Millisecond
	// defaultIdleTimeout is how long an upstream that says nothing keeps idle connections.
	defaultIdleTimeout = 800 * time.Millisecond
	// idleTimeoutMargin is left before the end of an upstream's stated time.
	idleTimeoutMargin = 400 * time.Millisecond
	// connFraction is the part of an upstream's connections that all entries may use.
	connFraction = 0.9
	// defaultMaxConns is the bound for upstreams that state none.
	defaultMaxConns = 100
	// maxMismatched bounds the answers to other requests that are skipped.
	maxMismatched = 3
	// maxBufferedBody is the largest answer that is read before it is passed on, bytes.
	maxBufferedBody = 256 << 10
)

var (
	errMismatched = errs.New("an answer to another request")
	errUnsigned   = errs.New("a success that no upstream signed")
	errNoResponse = errs.New("no answer in the protocol")
)

// exchange is a request at an upstream whose answer's head has arrived.
type exchange struct {
	entry *Entry
	to    fleet.Upstream
	conn  *conn.Conn
	resp  *http.Response
	info  ResponseInfo
	// writeResult is closed when the request was sent whole, or sending failed.
	writeResult chan error
	stopCancel  func() bool
}

// failure tells why an exchange gave no answer.
type failure struct {
	err error
	// sent says that bytes may have reached the upstream, which may have run the
	// request.
	sent bool
	// unreachable says that the host showed no sign of life.
	unreachable bool
	// connsFull says that all connections to the upstream are in use.
	connsFull bool
}

// send sends a request to an upstream and reads the head of the answer.
func (e *Entry) send(ctx context.Context, q *request, to fleet.Upstream, lastEventID string) (*exchange, *failure) {
	now := time.Now()
	maxIdle := onceMaxIdle
	if q.route.MayRepeat() {
		maxIdle = time.Minute
	}
	c, err := e.pool.Get(now, to.Address, maxIdle, e.connLimit(q))
	if err != nil {
		var typed *conn.Error
		full := errors.As(err, &typed) && typed.Kind == conn.KindFull
		return nil, &failure{err: err, unreachable: !full, connsFull: full}
	}
	x := &exchange{entry: e, to: to, conn: c, writeResult: make(chan error, 1)}
	if err := c.SetDeadline(q.deadline); err != nil {
		e.pool.Discard(c)
		return nil, &failure{err: err}
	}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // Ends reads and writes.
	x.write(e.encodeHead(q, to, lastEventID), q.body)
	if err := x.readHead(q); err != nil {
		x.abort()
		return nil, &failure{err: err, sent: true, unreachable: isUnreachable(err)}
	}
	return x, nil
}

// connLimit is this entry's part of the connections that an upstream accepts.
func (e *Entry) connLimit(q *request) int {
	all := defaultMaxConns
	if q.service != nil && q.service.Channels > 0 {
		all = q.service.Channels
	}
	return max(2, int(connFraction*float64(all))/max(1, e.entryCount()))
}

// encodeHead writes the head of the request to an upstream.
func (e *Entry) encodeHead(q *request, to fleet.Upstream, lastEventID string) []byte {
	h := q.header.Clone()
	removeHopByHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	e.headers.EncodeForward(h, ForwardInfo{
		Upstream:    to.ID,
		Timeout:     time.Until(q.deadline),
		Team:        q.owner.Team,
		Inference:   q.placement.Engine,
		Tier:        q.tier,
		LastEventID: lastEventID,
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

// inlineWriteBytes is sent in one go before the answer is read, bytes.
const inlineWriteBytes = 8 << 10

// write sends the request. A large one is sent while the answer is read, as an
// upstream may answer before it has read all.
func (x *exchange) write(head, body []byte) {
	if len(head)+len(body) <= inlineWriteBytes {
		_, err := x.conn.Write(append(head, body...))
		x.writeResult <- err
		return
	}
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(body)
		}
		x.writeResult <- err
	}()
}

// readHead reads the answer's head. Answers to other requests, which arrive
// late on a reused connection, are skipped.
func (x *exchange) readHead(q *request) error {
	for range maxMismatched {
		resp, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: q.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := x.entry.headers.DecodeResponse(resp.Header)
		if info.ID == q.info.ID || info.ID == "" && resp.StatusCode >= http.StatusMultipleChoices {
			if resp.StatusCode < http.StatusMultipleChoices && !info.Signed {
				return errUnsigned
			}
			x.resp, x.info = resp, info
			return nil
		}
		x.entry.log.With("request", q.info.ID).With("upstream", x.to.ID).With("other", info.ID).Warnf("skipped an answer to another request")
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errMismatched
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody)); err != nil {
			return err
		}
	}
	return errNoResponse
}

// finish gives the connection back after the answer was read to its end.
func (x *exchange) finish() {
	stopped := x.stopCancel()
	select {
	case err := <-x.writeResult:
		if err != nil || !stopped || x.resp.Close || x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 {
			x.entry.pool.Discard(x.conn)
			return
		}
		x.entry.pool.Put(time.Now(), x.conn, idleTimeoutOf(x.resp.Header))
	default:
		// The answer came before the request was sent whole.
		x.entry.pool.Discard(x.conn)
	}
}

// abort closes the connection, by which the upstream learns that nobody waits.
func (x *exchange) abort() {
	x.stopCancel()
	x.entry.pool.Discard(x.conn)
}

// bufferBody reads an answer's body if it is small enough to be kept.
func (x *exchange) bufferBody() ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(x.resp.Body, maxBufferedBody+1))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) <= maxBufferedBody, nil
}

// idleTimeoutOf is how long an upstream keeps the connection while it is idle.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
