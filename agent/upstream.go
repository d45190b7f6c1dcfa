package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"cactustide/config"
	"cactustide/dial"
	"cactustide/setup"
	"cactustide/wire"
)

const (
	healthTimeout = 2 * time.Second
	// maxHealthBytes bounds what is read of the answer to a health check.
	maxHealthBytes = 64 << 10
	// upstreamReadTimeout is the longest time without data from a running upstream.
	upstreamReadTimeout  = 2 * time.Minute
	idleConnTimeout      = 30 * time.Second
	streamBufferBytes    = 4 << 10
	pathUpstreamHealth   = "/health"
	headerFence          = "X-Fence"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	priorityPrefix       = `{"priority":`
)

var errResponseTooLarge = errors.New("agent: response body is larger than the limit")

// upstream is the model engine or plain service behind the agent.
type upstream struct {
	setup.Upstream
	// incarnation returns the agent's incarnation, which is its fencing token.
	incarnation      func() uint64
	maxResponseBytes int64
	// healthConn is separate, so that health checks wait for no run.
	healthConn *upstreamConn
	mu         sync.Mutex
	idle       []*upstreamConn
}

func newUpstream(u setup.Upstream, maxResponseBytes int64, incarnation func() uint64) *upstream {
	return &upstream{Upstream: u, incarnation: incarnation, maxResponseBytes: maxResponseBytes, healthConn: newUpstreamConn(u.Address)}
}

// acquire takes an idle connection, or opens another one. The scheduler's slots
// bound their number.
func (u *upstream) acquire() *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.idle); n > 0 {
		c := u.idle[n-1]
		u.idle = u.idle[:n-1]
		return c
	}
	return newUpstreamConn(u.Address)
}

func (u *upstream) release(c *upstreamConn) {
	u.mu.Lock()
	u.idle = append(u.idle, c)
	u.mu.Unlock()
}

// closeIdle closes the idle connections after the upstream was found unhealthy:
// they are dead, and a request sent on one would be lost.
func (u *upstream) closeIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle {
		c.client.CloseIdleConnections()
	}
}

func (u *upstream) close() {
	u.closeIdle()
	u.healthConn.client.CloseIdleConnections()
}

// acceptsConns reports whether the upstream accepts connections.
func (u *upstream) acceptsConns() bool {
	conn, err := net.DialTimeout("tcp", u.Address, dial.Timeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// checkHealth returns nil if the upstream's health check answers with status 200, and otherwise why
// not. A response that breaks off is none.
func (u *upstream) checkHealth() error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.Address + pathUpstreamHealth)
	if err := u.healthConn.client.DoTimeout(req, resp, healthTimeout); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return errs.New("status %d", status)
	}
	_, err := io.Copy(io.Discard, io.LimitReader(bodyOf(resp), maxHealthBytes))
	return err
}

// result is the result of a run.
type result struct {
	status int
	tokens int64
	// complete means that the response was read to the end that its protocol
	// defines.
	complete bool
	// unsent means that the request certainly did not reach the upstream.
	unsent bool
	// fenced means that the upstream rejected the fencing token and did not run
	// the request.
	fenced bool
	// body is the body of a response that was not streamed.
	body        []byte
	contentType string
	err         error
}

// responseReceiver gets the parts of a response as they arrive.
type responseReceiver struct {
	onHead func(status int, contentType string)
	onData func(p []byte, tokens int64) error
}

// run sends a job to the upstream once and forwards the response. The end of ctx
// closes the connection, which cancels the run at the upstream. Calls that must run
// at most once use a new connection: the upstream may have closed an idle one, and
// then it is unknown whether the call ran.
func (u *upstream) run(ctx context.Context, job *wire.Job, tier int, to responseReceiver) result {
	c := u.acquire()
	defer u.release(c)
	if job.GetOnce() {
		c.client.CloseIdleConnections()
	}
	defer c.abortOnDone(ctx)()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.fillRequest(req, job, tier)
	if err := c.client.Do(req, resp); err != nil {
		return result{unsent: dial.IsDialError(err), err: err}
	}
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if u.SupportsFencing && status == fasthttp.StatusPreconditionFailed {
		return result{status: status, fenced: true}
	}
	contentType := string(resp.Header.ContentType())
	if bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		to.onHead(status, contentType)
		out := u.forwardStream(resp, to)
		out.status = status
		return out
	}
	return u.bufferBody(resp, status, contentType, to)
}

func (u *upstream) fillRequest(req *fasthttp.Request, job *wire.Job, tier int) {
	req.SetRequestURI("http://" + u.Address + job.GetPath())
	req.Header.SetMethod(job.GetMethod())
	req.Header.SetContentType(job.GetType())
	req.Header.Set(headerRequestID, job.GetId())
	if job.GetKey() != "" {
		req.Header.Set(headerIdempotencyKey, job.GetKey())
	}
	if u.SupportsFencing {
		req.Header.Set(headerFence, strconv.FormatUint(u.incarnation(), 10))
	}
	if u.Kind == setup.KindEngine {
		req.SetBody(addPriority(job.GetBody(), tier))
		return
	}
	req.SetBodyRaw(job.GetBody())
}

// addPriority adds the tier as priority to the body of an engine's request; lower
// goes first. The entry has checked that the body is a JSON object without that
// field.
func addPriority(body []byte, tier int) []byte {
	rest, ok := bytes.CutPrefix(bytes.TrimSpace(body), []byte("{"))
	if !ok {
		return body
	}
	out := make([]byte, 0, len(body)+len(priorityPrefix)+4)
	out = append(out, priorityPrefix...)
	out = strconv.AppendInt(out, int64(min(tier, config.Tiers)), 10)
	if len(bytes.TrimSpace(rest)) > 1 {
		out = append(out, ',')
	}
	return append(out, rest...)
}

// bodyOf returns the body of a response. The HTTP library has none for a status that allows no body.
func bodyOf(resp *fasthttp.Response) io.Reader {
	if body := resp.BodyStream(); body != nil {
		return body
	}
	return bytes.NewReader(nil)
}

// forwardStream forwards an event stream. It is complete only with its end marker.
func (u *upstream) forwardStream(resp *fasthttp.Response, to responseReceiver) result {
	var events wire.EventCounter
	buffer := make([]byte, streamBufferBytes)
	body := bodyOf(resp)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			events.Add(buffer[:n])
			if sendErr := to.onData(buffer[:n], events.Count); sendErr != nil {
				return result{tokens: events.Count, err: sendErr}
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && events.Done {
			return result{tokens: events.Count, complete: true}
		}
		return result{tokens: events.Count, err: err}
	}
}

// bufferBody reads a response that is not streamed. It fails if the body is larger
// than maxResponseBytes.
func (u *upstream) bufferBody(resp *fasthttp.Response, status int, contentType string, to responseReceiver) result {
	out := result{status: status, contentType: contentType}
	body, err := io.ReadAll(io.LimitReader(bodyOf(resp), u.maxResponseBytes+1))
	if err != nil {
		out.err = err
		return out
	}
	if int64(len(body)) > u.maxResponseBytes {
		out.err = errResponseTooLarge
		return out
	}
	out.complete = true
	out.body = body
	if u.Kind == setup.KindEngine {
		out.tokens = completionTokens(body)
	}
	to.onHead(status, contentType)
	out.err = to.onData(body, out.tokens)
	return out
}

// completionTokens returns the output tokens that an engine's response reports, if
// it is not streamed; 0 means none.
func completionTokens(body []byte) int64 {
	var parsed struct {
		Usage struct {
			Tokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return 0
	}
	return parsed.Usage.Tokens
}
