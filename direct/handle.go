package direct

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactustide/meter"
	"cactustide/origin"
	"cactustide/place"
	"cactustide/quota"
	"cactustide/rules"
)

// request is one attempt of a caller.
type request struct {
	// caller is the connection of the caller. endsWithConn is set if its end is that of a response
	// without a length, as with HTTP/1.0.
	caller       *callerConn
	endsWithConn bool
	info         RequestInfo
	route        *rules.Route
	service      *rules.Service
	owner        rules.Owner
	// tier is the priority of the team and, within it, of the route.
	tier    int
	version uint64
	method  string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   requestBody
	// hasBody is set for an empty body too, but not for a request without one.
	hasBody     bool
	arrived     time.Time
	deadline    time.Time
	placement   place.Request
	log         *meter.Logger
	fingerprint uint64
	// origin is what began the stream that the request goes on with, or its own stream once its
	// caller gets the first event; hasOrigin is set then.
	origin    origin.Origin
	hasOrigin bool
	// turn is the process of a limited upstream whose turn the request has; zero without one.
	turn quota.Key
	// sends counts the sends that reached an upstream.
	sends int
	// sentTo are the addresses of upstreams to which the request was sent, sentAt is when it
	// was sent last.
	sentTo []string
	sentAt time.Time
	// firstEventTime is when the first event of a stream was forwarded, and expectedFirst
	// the predicted time from the last choice of an upstream to it.
	firstEventTime time.Time
	expectedFirst  time.Duration
	// lastEventTime is when the last event was forwarded, longestGap the longest time
	// between two events.
	lastEventTime time.Time
	longestGap    time.Duration
}

// Reasons in responses that the entry itself makes.
const (
	reasonUnready        = "no configuration yet"
	reasonNoRoute        = "no route"
	reasonUnknownKey     = "unknown key"
	reasonUnconfirmed    = "the configuration may be out of date"
	reasonHeaderTooLarge = "header too large"
	reasonBodyTooLarge   = "body too large"
	reasonInvalid        = "unreadable request"
	reasonBodyMemory     = "too many bodies in progress"
	reasonBodySlow       = "the body did not arrive in time"
	reasonNoUpstream     = "no upstream"
	reasonUpstreamsFull  = "upstreams are full"
	reasonPaused         = "upstreams want no requests now"
	reasonLimited        = "upstreams limit their rate"
	reasonShed           = "no room in time"
	reasonAborted        = "the upstream broke off"
	reasonTimeout        = "time is up"
	reasonStopping       = "this entry is stopping"
	reasonQuarantined    = "the request crashed upstreams"
	reasonUnknownOrigin  = "the software version that began the stream is not known"
	reasonNoneOfRelease  = "no upstream of the software version that began the stream"
)

// Outcomes other than a response that the entry itself makes.
const (
	outcomeStreamed     = "streamed"
	outcomeDisconnected = "the caller left"
)

// handle serves the callers: it parses and checks the request and forwards it.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	q, status, reason := e.parseRequest(now, w, r)
	if e.stopping.Load() || isChunked(r) {
		// Bytes after a chunked request may be taken by another parser for part of its
		// body; closing the connection discards them.
		w.Header().Set("Connection", "close")
	}
	if status != 0 {
		e.respond(w, q, status, reason, q.retryAfter(reason))
		return
	}
	defer e.bodyMemory.release(q.body.reserved)
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.refusing.Load() {
		e.respond(w, q, http.StatusServiceUnavailable, reasonStopping, 0)
		return
	}
	ctx, cancel := e.requestContext(r)
	defer cancel()
	e.join.wait(ctx, now)
	e.forward(ctx, w, q)
}

func isChunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// parseRequest reads and checks a request. A status other than 0 is to be returned
// to the caller, with the reason.
func (e *Entry) parseRequest(now time.Time, w http.ResponseWriter, r *http.Request) (*request, int, string) {
	q := &request{endsWithConn: !r.ProtoAtLeast(1, 1), info: e.headers.DecodeRequest(r.Header), method: r.Method, host: r.Host, header: r.Header, arrived: now, log: e.log}
	q.caller, _ = r.Context().Value(callerConnKey{}).(*callerConn)
	table := e.rules.Get()
	if table == nil {
		return q, http.StatusServiceUnavailable, reasonUnready
	}
	q.version = table.Document.Version
	q.target = r.RequestURI
	if !strings.HasPrefix(q.target, "/") {
		q.target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.FindRoute(r.Host, path)
	if q.route == nil {
		status, reason := e.refuseUnknown(now, q.version, http.StatusNotFound, reasonNoRoute)
		return q, status, reason
	}
	if table.NeedsKey(q.route) {
		owner, ok := table.FindOwner(q.info.APIKey)
		if !ok {
			status, reason := e.refuseUnknown(now, q.version, http.StatusUnauthorized, reasonUnknownKey)
			return q, status, reason
		}
		q.owner = owner
	}
	limits := table.Document.Limits
	if limits.MaxHeaderBytes > 0 && headSize(r) > limits.MaxHeaderBytes {
		return q, http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge
	}
	if q.info.ID == "" {
		return q, http.StatusBadRequest, reasonInvalid
	}
	if status, reason := e.readBody(w, r, q, limits.MaxBodyBytes); status != 0 {
		return q, status, reason
	}
	e.prepare(q, table)
	return q, 0, ""
}

// timeLimit returns how long the caller waits, at most the route's timeout.
func (q *request) timeLimit() time.Duration {
	if q.info.HasTimeout {
		return min(q.route.Timeout, q.info.Timeout)
	}
	return q.route.Timeout
}

// prepare sets the fields on which the choice of an upstream depends.
func (e *Entry) prepare(q *request, table *rules.Table) {
	q.tier = q.owner.Priority(q.route)
	wait := q.timeLimit()
	q.deadline = q.arrived.Add(wait)
	q.placement = place.Request{
		Segments:       q.info.Segments,
		PromptTokens:   q.info.PromptTokens,
		OutputTokens:   q.info.MaxOutputTokens,
		LatencyTarget:  q.route.LatencyTarget,
		EventGapTarget: q.route.EventGapTarget,
		Timeout:        wait,
		Tier:           q.tier,
		RouteTier:      q.route.Tier,
		Centre:         e.settings.Load().Centre,
		Bytes:          int(q.body.size) + assumedResponseBytes,
		ArrivedAt:      q.arrived,
	}
	if q.info.OutputHint > 0 {
		q.placement.OutputTokens = min(q.info.MaxOutputTokens, q.info.OutputHint)
	}
	q.setService(table.FindService(q.route.PickService(q.info.ID)))
}

// setService sets the service that runs the request; nil if there is none.
func (q *request) setService(s *rules.Service) {
	q.service = s
	if q.placement.Engine = s != nil && s.Engine != nil; q.placement.Engine {
		q.placement.KVCapacity, q.placement.TokensPerEvent = s.Engine.KVCapacity, s.Engine.TokensPerEvent
	}
}

// assumedResponseBytes is the response size assumed for the forecast, bytes.
const assumedResponseBytes = 2000

// headSize returns the size of a request's head, bytes.
func headSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host: ") + 4
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// respond sends a response that the entry itself makes and logs it. A 503 gets a
// Retry-After of at least minRetryAfter.
func (e *Entry) respond(w http.ResponseWriter, q *request, status int, reason string, after time.Duration) {
	if q.info.ID != "" {
		e.headers.EncodeRequestID(w.Header(), q.info.ID)
	}
	if status == http.StatusServiceUnavailable {
		after = max(after, minRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, err := io.WriteString(w, reason+"\n")
	e.logResult(q, status, reason, err)
}

const (
	// unreadyRetryAfter is the Retry-After while there is no configuration: the
	// store's outages last for seconds.
	unreadyRetryAfter = 2 * time.Second
	// fullRetryAfter is the Retry-After when no upstream or no memory is available.
	fullRetryAfter = 500 * time.Millisecond
	// maxRetryAfterFraction bounds Retry-After as a fraction of the caller's remaining
	// time.
	maxRetryAfterFraction = 0.3
)

// retryAfter returns the Retry-After for a refused request. Callers often retry only
// once, so too early is as bad as too late.
func (q *request) retryAfter(reason string) time.Duration {
	after := minRetryAfter
	switch reason {
	case reasonUnready, reasonUnconfirmed:
		after = unreadyRetryAfter
	case reasonNoUpstream, reasonUnknownOrigin, reasonNoneOfRelease, reasonUpstreamsFull, reasonShed, reasonBodyMemory:
		after = fullRetryAfter
	}
	return q.boundRetryAfter(after)
}

// boundRetryAfter returns a Retry-After that the caller can observe.
func (q *request) boundRetryAfter(after time.Duration) time.Duration {
	if q.info.HasTimeout {
		after = min(after, time.Duration(maxRetryAfterFraction*float64(q.info.Timeout)))
	}
	return after
}

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 200 * time.Millisecond

// logResult logs the outcome of a request and updates the metrics.
func (e *Entry) logResult(q *request, status int, outcome string, err error) {
	now := time.Now()
	logger := e.log.With("request", q.info.ID).With("status", status).With("version", q.version).
		With("sends", q.sends).With("ms", now.Sub(q.arrived).Milliseconds())
	if q.route != nil {
		logger = logger.With("route", q.route.Name)
	}
	if !q.firstEventTime.IsZero() {
		logger = logger.With("first", q.firstEventTime.Sub(q.arrived).Milliseconds()).With("expected", q.expectedFirst.Milliseconds()).
			With("pause", q.longestGap.Milliseconds())
	}
	switch outcome {
	case reasonNoRoute, reasonUnknownKey, reasonUnconfirmed:
		logger = e.withConfig(now, logger)
	}
	if err != nil {
		logger = logger.With("error", err.Error())
	}
	logger.Infof("%s", outcome)
	e.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "outcome": outcome}).Counter("requests").Inc(1)
	e.scope.Timer("answer").Record(now.Sub(q.arrived))
}
