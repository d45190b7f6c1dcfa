package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"cactustide/conn"
	"cactustide/fleet"
	"cactustide/head"
)

const (
	// nonIdempotentMaxIdle is the longest idle time of a connection that is reused for
	// a request that must not be sent twice: an upstream may close an idle connection
	// at any time, and a request sent while it does is lost.
	nonIdempotentMaxIdle = 800 * time.Millisecond
	// defaultIdleTimeout applies to connections of upstreams that send no Keep-Alive
	// timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of an upstream.
	idleTimeoutMargin = 400 * time.Millisecond
	// connFraction is the fraction of an upstream's connections that all entries
	// together may use.
	connFraction = 0.9
	// defaultMaxConns is the number of connections to an upstream whose service sets none.
	defaultMaxConns = 100
	// maxHeads bounds the responses read for one request, including skipped ones:
	// responses to other requests and informational ones.
	maxHeads = 16
	// maxResponseHeadBytes bounds the head of a response, bytes; http.ReadResponse does not.
	maxResponseHeadBytes = 256 << 10
	// headMemoryBytes is the memory that a large head may take: its bytes and the text of its
	// fields, which the parser copies.
	headMemoryBytes = 2 * maxResponseHeadBytes
	// freeHeadBytes is the part of a head that needs no reserved memory, bytes.
	freeHeadBytes = 16 << 10
	// maxBufferedBody is the largest response body that is buffered before it is sent
	// on, bytes.
	maxBufferedBody = 256 << 10
)

var (
	errMismatched = errs.New("response to another request")
	errUnsigned   = errs.New("success response has no signature")
	errNoResponse = errs.New("no response to this request")
)

// exchange is a request sent to an upstream whose response head was read.
type exchange struct {
	entry *Entry
	to    fleet.Upstream
	conn  *conn.Conn
	resp  *http.Response
	info  ResponseInfo
	// skipped is set when a response to another request was read.
	skipped bool
	// buffered is the memory that is reserved for the body of the response, headReserved that
	// for a large head.
	buffered     int64
	headReserved int64
	// writeResult receives the result of sending the request.
	writeResult chan error
	stopCancel  func() bool
}

// failure is the reason why an exchange has no response.
type failure struct {
	err error
	// sent is set when bytes may have reached the upstream, which may have executed
	// the request.
	sent bool
	// unreachable is set when the host did not respond or no connection to it could
	// be opened.
	unreachable bool
	// connsFull is set when all connections to the upstream are in use.
	connsFull bool
	// withdrawn is the reason why the upstream must not get the request any more.
	withdrawn fleet.Withdrawal
}

// send sends a request to an upstream and reads the head of the response.
func (e *Entry) send(ctx context.Context, q *request, to fleet.Upstream, lastEventID string) (*exchange, *failure) {
	c, err := e.connect(time.Now(), q, to)
	if err != nil {
		return nil, connectFailure(err)
	}
	c, failed := e.identify(ctx, q, to, c)
	if failed != nil {
		return nil, failed
	}
	if w := e.fleet.Withdrawn(time.Now(), to); w != fleet.WithdrawalNone {
		e.pool.Discard(c)
		return nil, &failure{err: errs.New("the upstream was withdrawn: %s", string(w)), withdrawn: w}
	}
	if reason := e.findMisrouting(q, to); reason != "" {
		e.pool.Discard(c)
		e.scope.Counter("misrouted").Inc(1)
		return nil, &failure{err: errs.New("%s", reason), withdrawn: fleet.WithdrawalMisrouted}
	}
	if !q.admits(e, to) {
		e.pool.Discard(c)
		return nil, &failure{err: errs.New("the upstream runs another release than the one that began the stream"), withdrawn: fleet.WithdrawalReplaced}
	}
	if !e.takeTurn(time.Now(), q, to) {
		e.pool.Discard(c)
		return nil, &failure{err: errs.New("another request took the turn"), withdrawn: fleet.WithdrawalLimited}
	}
	x := &exchange{entry: e, to: to, conn: c, writeResult: make(chan error, 1)}
	if err := c.SetDeadline(q.deadline); err != nil {
		e.pool.Discard(c)
		return nil, &failure{err: err}
	}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // Aborts pending reads and writes.
	q.sentTo, q.sentAt = append(q.sentTo, to.Address), time.Now()
	x.write(e.encodeHead(q, to, lastEventID), q.body)
	if err := x.readHead(q); err != nil {
		x.abort()
		return nil, &failure{err: err, sent: true, unreachable: conn.IsUnreachable(err)}
	}
	return x, nil
}

// connectFailure returns the failure of an exchange for which no connection could be opened.
func connectFailure(err error) *failure {
	var typed *conn.Error
	full := errors.As(err, &typed) && typed.Kind == conn.KindFull
	return &failure{err: err, unreachable: !full, connsFull: full}
}

// connect returns a connection on which to send a request. A request that was sent to the
// address before gets a new one: a connection that carried it may still deliver a second
// copy of the first response, which has the same request id as the next one.
func (e *Entry) connect(now time.Time, q *request, to fleet.Upstream) (*conn.Conn, error) {
	if slices.Contains(q.sentTo, to.Address) {
		e.scope.Counter("resends").Inc(1)
		return e.pool.Open(to.Address, e.connLimit(q))
	}
	maxIdle := nonIdempotentMaxIdle
	if q.route.AllowsRetry() {
		maxIdle = time.Minute
	}
	return e.pool.Get(now, to.Address, maxIdle, e.connLimit(q))
}

// connLimit returns this entry's share of the connections that an upstream accepts.
func (e *Entry) connLimit(q *request) int {
	maxConns := defaultMaxConns
	if q.service != nil && q.service.MaxConns > 0 {
		maxConns = q.service.MaxConns
	}
	return max(2, int(connFraction*float64(maxConns))/max(1, e.entryCount()))
}

// encodeHead returns the head of the request to an upstream.
func (e *Entry) encodeHead(q *request, to fleet.Upstream, lastEventID string) []byte {
	h := q.header.Clone()
	removeHopByHop(h, e.headers.EndToEnd)
	h.Del("Expect")
	h.Del("Content-Length")
	e.headers.EncodeForward(h, ForwardInfo{
		ID:          q.info.ID,
		Upstream:    to.ID,
		Timeout:     time.Until(q.deadline),
		Team:        q.owner.Team,
		Inference:   q.placement.Engine,
		Tier:        q.tier,
		LastEventID: lastEventID,
	})
	if q.hasBody {
		h.Set("Content-Length", strconv.FormatInt(q.body.size, 10))
	}
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(q.method + " " + q.target + " HTTP/1.1\r\nHost: " + q.host + "\r\n")
	_ = h.Write(&b) // bytes.Buffer never returns an error.
	b.WriteString("\r\n")
	return b.Bytes()
}

// guardedBytes is the largest request that fits into the receive buffer of any upstream, bytes.
const guardedBytes = 4 << 10

// inlineWriteBytes is the largest request that is written before the response is
// read, bytes.
const inlineWriteBytes = 8 << 10

// write sends the request. A large one is written in a goroutine while the response
// is read, as an upstream may respond before it has read the whole request.
func (x *exchange) write(head []byte, body requestBody) {
	if int64(len(head))+body.size > guardedBytes {
		x.conn.Guard()
	}
	if int64(len(head))+body.size <= inlineWriteBytes {
		for _, segment := range body.segments {
			head = append(head, segment...)
		}
		_, err := x.conn.Write(head)
		x.writeResult <- err
		return
	}
	go func() {
		_, err := x.conn.Write(head)
		for _, segment := range body.segments {
			if err != nil {
				break
			}
			_, err = x.conn.Write(segment)
		}
		x.writeResult <- err
	}()
}

// readHead reads the head of the response. It skips responses that are not to this
// request, which may arrive on a reused connection.
func (x *exchange) readHead(q *request) error {
	for range maxHeads {
		x.conn.LimitRead(maxResponseHeadBytes, freeHeadBytes, x.reserveHead)
		resp, err := http.ReadResponse(x.conn.Reader, &http.Request{Method: q.method})
		if err != nil {
			return err
		}
		x.conn.UnlimitRead()
		if err := checkHead(resp); err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := x.entry.headers.DecodeResponse(resp.Header)
		if info.Leaving {
			x.entry.recordLeaving(fleet.Departure{Upstream: x.to.ID, StartedAt: x.to.StartedAt, Source: fleet.SourceResponse, At: time.Now()})
		}
		if x.isResponseTo(q, resp, info) {
			if resp.StatusCode < http.StatusMultipleChoices && !info.Signed {
				return errUnsigned
			}
			x.resp, x.info = resp, info
			x.recordPause(q)
			x.recordRate(q)
			return nil
		}
		x.skipped = true
		x.entry.log.With("request", q.info.ID).With("upstream", x.to.ID).With("other", info.ID).With("status", resp.StatusCode).
			With("reused", x.conn.Reused).Warnf("skipped a response that is not to this request")
		x.entry.scope.Counter("stray").Inc(1)
		if isUnframed(resp) {
			return errMismatched
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody)); err != nil {
			return err
		}
	}
	return errNoResponse
}

// checkHead returns an error if the head of a response, which may be an informational one, has a
// defect that http.ReadResponse lets pass.
func checkHead(resp *http.Response) error {
	if err := head.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return head.CheckNames(resp.Header)
}

// isResponseTo reports whether a response is to the request. Upstreams state the id of the
// request. A response without one counts only as a failure, and only on a connection that
// carried no other request; it never shows that the request was not executed.
func (x *exchange) isResponseTo(q *request, resp *http.Response, info ResponseInfo) bool {
	if info.ID != "" {
		return info.ID == q.info.ID
	}
	return !x.conn.Reused && !info.NotExecuted &&
		resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable
}

// recordPause records for how long an upstream that refused the request wants no others.
func (x *exchange) recordPause(q *request) {
	if x.resp.StatusCode != http.StatusServiceUnavailable && x.resp.StatusCode != http.StatusTooManyRequests {
		return
	}
	logger := x.entry.log.With("request", q.info.ID).With("upstream", x.to.ID)
	if x.info.InvalidRetryAfter != "" {
		logger.Warnf("ignored a Retry-After that is no number of seconds: %.40q", x.info.InvalidRetryAfter)
	}
	if x.info.RetryAfter <= 0 {
		return
	}
	now := time.Now()
	until := x.entry.fleet.Pause(now, x.to.ID, x.to.StartedAt, x.info.RetryAfter)
	logger.With("asked", x.info.RetryAfter.Milliseconds()).With("pause", until.Sub(now).Milliseconds()).Infof("upstream wants no requests for a time")
	x.entry.scope.Counter("pauses").Inc(1)
}

// isUnframed reports whether a response has neither a length nor chunks and so ends with
// its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// reserveHead reserves memory for a large head, and reports whether there is enough.
func (x *exchange) reserveHead() bool {
	if x.headReserved > 0 {
		return true
	}
	if !x.entry.responseMemory.reserve(headMemoryBytes, headMemoryBytes, headMemoryBytes) {
		x.entry.scope.Counter("oversized_heads").Inc(1)
		return false
	}
	x.headReserved = headMemoryBytes
	return true
}

func (x *exchange) releaseHead() {
	x.entry.responseMemory.release(x.headReserved)
	x.headReserved = 0
}

// finish returns the connection to the pool after the response was read to its end.
func (x *exchange) finish() {
	x.releaseHead()
	stopped := x.stopCancel()
	select {
	case err := <-x.writeResult:
		if err != nil || !stopped || x.skipped || x.resp.Close || isUnframed(x.resp) {
			x.entry.pool.Discard(x.conn)
			return
		}
		x.entry.pool.Put(time.Now(), x.conn, idleTimeoutOf(x.resp.Header))
	default:
		// The response was read before the whole request was sent.
		x.entry.pool.Discard(x.conn)
	}
}

// abort closes the connection, so that the upstream can stop working on the request.
func (x *exchange) abort() {
	x.releaseHead()
	x.stopCancel()
	x.entry.pool.Discard(x.conn)
}

// bufferBody reads a response body of at most maxBufferedBody bytes. It returns false and
// the bytes read so far if the body is larger, or if there is no memory for it.
func (x *exchange) bufferBody() ([]byte, bool, error) {
	need := x.resp.ContentLength
	if need < 0 || need > maxBufferedBody {
		need = maxBufferedBody
	}
	if !x.entry.responseMemory.reserve(need, 0, need) {
		x.entry.scope.Counter("unbuffered").Inc(1)
		return nil, false, nil
	}
	x.buffered += need
	data, err := io.ReadAll(io.LimitReader(x.resp.Body, maxBufferedBody+1))
	if err != nil {
		return nil, false, err
	}
	return data, len(data) <= maxBufferedBody, nil
}

// releaseBody gives the memory of a buffered body back.
func (x *exchange) releaseBody() {
	x.entry.responseMemory.release(x.buffered)
	x.buffered = 0
}

// idleTimeoutOf returns how long the upstream keeps the connection open while it is
// idle, less a margin.
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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the fields that apply to a single connection, and those that the Connection
// field names unless they are meant for the recipient of the message.
func removeHopByHop(h http.Header, endToEnd []string) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if name != "" && !slices.Contains(endToEnd, name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
