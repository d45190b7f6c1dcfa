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

	"cactustide/config"
	"cactustide/dial"
	"cactustide/setup"
	"cactustide/wire"
)

const (
	healthTimeout = 2 * time.Second
	// upstreamIdle is the longest silence of an upstream within a run.
	upstreamIdle   = 2 * time.Minute
	maxIdleConn    = 30 * time.Second
	streamBuffer   = 4 << 10 // Bytes.
	pathHealth     = "/health"
	headerFence    = "X-Fence"
	headerRunID    = "X-Request-Id"
	headerRunKey   = "Idempotency-Key"
	priorityFields = `{"priority":`
)

var errAnswerTooLarge = errors.New("agent: answer above the limit")

// upstream is the model engine or plain service beside the agent.
type upstream struct {
	setup.Upstream
	// number returns the agent's incarnation, which is its fencing number.
	number func() uint64
	limit  int64
	// health is a lane of its own, so that checks wait for no run.
	health *lane
	mu     sync.Mutex
	free   []*lane
}

func newUpstream(u setup.Upstream, limit int64, number func() uint64) *upstream {
	return &upstream{Upstream: u, number: number, limit: limit, health: newLane(u.Address)}
}

// acquire takes a free lane, or opens another one. The scheduler's slots bound
// their number.
func (u *upstream) acquire() *lane {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.free); n > 0 {
		l := u.free[n-1]
		u.free = u.free[:n-1]
		return l
	}
	return newLane(u.Address)
}

func (u *upstream) release(l *lane) {
	u.mu.Lock()
	u.free = append(u.free, l)
	u.mu.Unlock()
}

// reset closes the idle connections, after the upstream was found down: they
// are dead, and a request sent on one would be lost.
func (u *upstream) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.free {
		l.client.CloseIdleConnections()
	}
}

func (u *upstream) close() {
	u.reset()
	u.health.client.CloseIdleConnections()
}

// isAlive reports whether the upstream accepts connections.
func (u *upstream) isAlive() bool {
	conn, err := net.DialTimeout("tcp", u.Address, dial.Timeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// isHealthy asks the upstream's health end.
func (u *upstream) isHealthy() bool {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.Address + pathHealth)
	if err := u.health.client.DoTimeout(req, resp, healthTimeout); err != nil {
		return false
	}
	_ = resp.CloseBodyStream()
	return resp.StatusCode() == fasthttp.StatusOK
}

// result is how a run ended.
type result struct {
	status int
	tokens int64
	// whole means that the answer ended by the protocol's own end.
	whole bool
	// unsent means that the request certainly did not reach the upstream.
	unsent bool
	// fenced means that the upstream refused the fencing number, and did nothing.
	fenced bool
	// body is the whole answer of a call that was not streamed.
	body []byte
	kind string
	err  error
}

// receiver takes the parts of an answer as they arrive.
type receiver struct {
	head func(status int, kind string)
	data func(p []byte, tokens int64) error
}

// run sends a job to the upstream once and passes its answer on. The end of
// ctx closes the connection, which cancels the run at the upstream. Calls that
// must run at most once use a connection of their own: a kept one may have been
// closed by the upstream, and then it is unknown whether the call ran.
func (u *upstream) run(ctx context.Context, job *wire.Job, tier int, to receiver) result {
	l := u.acquire()
	defer u.release(l)
	if job.GetOnce() {
		l.client.CloseIdleConnections()
	}
	defer l.cutAfter(ctx)()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u.fill(req, job, tier)
	if err := l.client.Do(req, resp); err != nil {
		return result{unsent: dial.IsDialError(err), err: err}
	}
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if u.SupportsFencing && status == fasthttp.StatusPreconditionFailed {
		return result{status: status, fenced: true}
	}
	kind := string(resp.Header.ContentType())
	if bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		to.head(status, kind)
		out := u.copyStream(resp, to)
		out.status = status
		return out
	}
	return u.readWhole(resp, status, kind, to)
}

func (u *upstream) fill(req *fasthttp.Request, job *wire.Job, tier int) {
	req.SetRequestURI("http://" + u.Address + job.GetPath())
	req.Header.SetMethod(job.GetMethod())
	req.Header.SetContentType(job.GetType())
	req.Header.Set(headerRunID, job.GetId())
	if job.GetKey() != "" {
		req.Header.Set(headerRunKey, job.GetKey())
	}
	if u.SupportsFencing {
		req.Header.Set(headerFence, strconv.FormatUint(u.number(), 10))
	}
	if u.Kind == setup.KindEngine {
		req.SetBody(addPriority(job.GetBody(), tier))
		return
	}
	req.SetBodyRaw(job.GetBody())
}

// addPriority puts the tier into an engine's request; lower goes first. The
// entry has checked that the body is a JSON object without that field.
func addPriority(body []byte, tier int) []byte {
	rest, ok := bytes.CutPrefix(bytes.TrimSpace(body), []byte("{"))
	if !ok {
		return body
	}
	out := make([]byte, 0, len(body)+len(priorityFields)+4)
	out = append(out, priorityFields...)
	out = strconv.AppendInt(out, int64(min(tier, config.Tiers)), 10)
	if len(bytes.TrimSpace(rest)) > 1 {
		out = append(out, ',')
	}
	return append(out, rest...)
}

// copyStream passes an event stream on. It is whole only with its end marker.
func (u *upstream) copyStream(resp *fasthttp.Response, to receiver) result {
	var events wire.EventCounter
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.BodyStream().Read(buffer)
		if n > 0 {
			events.Add(buffer[:n])
			if sendErr := to.data(buffer[:n], events.Count); sendErr != nil {
				return result{tokens: events.Count, err: sendErr}
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && events.Done {
			return result{tokens: events.Count, whole: true}
		}
		return result{tokens: events.Count, err: err}
	}
}

// readWhole reads an answer that is not streamed.
func (u *upstream) readWhole(resp *fasthttp.Response, status int, kind string, to receiver) result {
	out := result{status: status, kind: kind}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), u.limit+1))
	if err != nil {
		out.err = err
		return out
	}
	if int64(len(body)) > u.limit {
		out.err = errAnswerTooLarge
		return out
	}
	out.whole = true
	out.body = body
	if u.Kind == setup.KindEngine {
		out.tokens = completionTokens(body)
	}
	to.head(status, kind)
	out.err = to.data(body, out.tokens)
	return out
}

// completionTokens reads the output length from an engine's whole answer.
func completionTokens(body []byte) int64 {
	var answer struct {
		Usage struct {
			Tokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0
	}
	return answer.Usage.Tokens
}
