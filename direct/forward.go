package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactustide/fleet"
	"cactustide/place"
	"cactustide/quota"
	"cactustide/rules"
)

// maxUnreached is the number of upstreams that could not be reached after which a
// request is given up.
const maxUnreached = 4

// entryCount returns the number of entries among which connections and retry budgets
// are divided. Those that went down lately count: they may be alive beyond a cut, and what they
// used counts on. While few peers are alive, as after the start, the seeds count too.
func (e *Entry) entryCount() int {
	return max(e.gossiper.Members().Known(time.Now()), len(e.settings.Load().Seeds)+1)
}

// forwardState is the state of forwarding one request.
type forwardState struct {
	tried []string
	// unreached counts upstreams that could not be reached, or did not say which process they are;
	// replaced counts those that are another process than the registered one.
	unreached int
	replaced  int
	// executed counts upstreams that may have executed the request.
	executed int
	// responseStarted is set when the caller has part of the response.
	responseStarted bool
	// lastEventID is the id of the last event that the caller received. idGaps is set if
	// the ids so far were no consecutive numbers.
	lastEventID string
	idGaps      bool
	// notExecuted is set when an upstream reported that it did not execute the request.
	notExecuted   bool
	upstreamsFull bool
	// waited is the time spent waiting for a paused upstream.
	waited time.Duration
	// passed are the processes of limited upstreams that the last choice passed over, and
	// turnAt is when one of them is likely to take a request; zero if none was passed over.
	passed []quota.Key
	turnAt time.Time
	// resumesAt is when the first paused upstream takes requests again; zero if none is
	// paused.
	resumesAt time.Time
}

// forward sends a request to an upstream and the response to the caller. It tries
// further upstreams as far as the route and the retry budget allow.
func (e *Entry) forward(ctx context.Context, w http.ResponseWriter, q *request) {
	if q.service == nil {
		e.respond(w, q, http.StatusServiceUnavailable, reasonNoUpstream, q.retryAfter(reasonNoUpstream))
		return
	}
	e.budget.RecordRequest(q.arrived, q.service.Name)
	if e.isQuarantined(q.arrived, q) {
		e.respond(w, q, http.StatusServiceUnavailable, reasonQuarantined, quarantineRetryAfter)
		return
	}
	if q.takesUp() && !e.findOrigin(ctx, time.Now(), q) {
		e.respond(w, q, http.StatusServiceUnavailable, reasonUnknownOrigin, q.retryAfter(reasonUnknownOrigin))
		return
	}
	if q.hasOrigin {
		e.useOriginService(q)
	}
	state := &forwardState{lastEventID: q.info.LastEventID}
	defer e.returnTurn(q)
	for {
		now := time.Now()
		if ctx.Err() != nil {
			e.abandon(w, q, state)
			return
		}
		if !now.Before(q.deadline) {
			e.fail(w, q, state, http.StatusGatewayTimeout, reasonTimeout)
			return
		}
		if q.service == nil {
			e.fail(w, q, state, http.StatusServiceUnavailable, reasonNoUpstream)
			return
		}
		choice, ok := e.choose(now, q, state)
		if !ok && (e.waitForTurn(ctx, now, q, state) || e.waitForResume(ctx, now, q, state)) {
			continue
		}
		if !ok {
			e.logNoUpstream(now, q, state)
			e.fail(w, q, state, http.StatusServiceUnavailable, reasonNoUpstream)
			return
		}
		if q.sends == 0 && !e.stopPlan.Load().hasRoom(now, q, choice.Forecast) {
			e.respond(w, q, http.StatusServiceUnavailable, reasonStopping, 0)
			return
		}
		if f := choice.Forecast; q.sends == 0 && e.balancer.ShouldShed(now, q.service.Name, &q.placement, f) {
			q.log.With("request", q.info.ID).With("first", f.TimeToFirst.Milliseconds()).With("backlog", f.Backlog.Milliseconds()).
				With("limit", q.placement.Timeout.Milliseconds()).Infof("request shed; its first event is forecast too late")
			e.respond(w, q, http.StatusServiceUnavailable, reasonShed, max(q.retryAfter(reasonShed), q.placement.RetryAfter(f)))
			return
		}
		if q.sends > 0 && e.isQuarantined(now, q) {
			e.fail(w, q, state, http.StatusServiceUnavailable, reasonQuarantined)
			return
		}
		if q.sends > 0 && !e.budget.TryWithdraw(now, q.service.Name, e.entryCount()) {
			q.log.With("request", q.info.ID).Infof("not retried; the retry budget is exhausted")
			e.fail(w, q, state, http.StatusServiceUnavailable, reasonNoUpstream)
			return
		}
		if e.tryUpstream(ctx, w, q, state, choice) {
			return
		}
	}
}

// choose returns the next upstream for a request, or false if there is none.
func (e *Entry) choose(now time.Time, q *request, state *forwardState) (place.Choice, bool) {
	if state.unreached >= maxUnreached || state.replaced >= maxReplaced {
		return place.Choice{}, false
	}
	candidates, sampled := e.candidates(now, q, state)
	chooser := e.balancer.Choose
	if sampled {
		chooser = e.balancer.ChooseSampled
	}
	choice, ok := chooser(now, q.service.Name, candidates, &q.placement)
	if !ok {
		return place.Choice{}, false
	}
	f := choice.Forecast
	q.expectedFirst = f.TimeToFirst
	lapsed := slices.ContainsFunc(candidates, func(c fleet.Candidate) bool { return c.ID == choice.Upstream.ID && c.Lapsed })
	q.log.With("request", q.info.ID).With("upstream", choice.Upstream.ID).With("release", choice.Upstream.Release).With("version", q.version).
		With("revision", choice.Upstream.Position.Revision).With("lapsed", lapsed).With("candidates", len(candidates)).
		With("first", f.TimeToFirst.Milliseconds()).With("cached", f.CachedTokens).With("backlog", f.Backlog.Milliseconds()).With("last", f.TimeToLast.Milliseconds()).
		With("running", f.Running).With("tier", q.tier).With("copy", e.copyAge(now).Milliseconds()).With("cost", strconv.FormatFloat(f.Cost, 'f', 3, 64)).Infof("sending request")
	return choice, true
}

// candidates returns the upstreams to compare for a request, without those that were tried and
// those that name a rate and for which there is no turn: all of a service, or a sample of a
// large one.
func (e *Entry) candidates(now time.Time, q *request, state *forwardState) (list []fleet.Candidate, sampled bool) {
	list, sampled = e.untried(now, q, state)
	if list, state.passed = e.quota.Admit(now, list, q.turn); sampled && len(list) == 0 {
		list, state.passed = e.quota.Admit(now, e.allUntried(now, q, state), q.turn)
		sampled = false
	}
	e.askForTurns(now, q.service.Name, state.passed)
	return list, sampled
}

// untried returns the upstreams that were not tried and may run the request: all of a service, or
// a sample of a large one.
func (e *Entry) untried(now time.Time, q *request, state *forwardState) (list []fleet.Candidate, sampled bool) {
	if ring := e.fleet.Ring(q.service.Name); len(ring) > place.MaxScanned {
		ids := e.balancer.Sample(q.service.Name, ring, &q.placement, rand.IntN)
		if list = slices.DeleteFunc(e.fleet.Pick(now, q.service.Name, ids), e.isExcluded(q, state)); len(list) > 0 {
			return list, true
		}
	}
	return e.allUntried(now, q, state), false
}

func (e *Entry) allUntried(now time.Time, q *request, state *forwardState) []fleet.Candidate {
	return slices.DeleteFunc(e.fleet.Candidates(now, q.service.Name), e.isExcluded(q, state))
}

// isExcluded returns whether a request cannot be sent to an upstream: it was, or the upstream
// runs another release than the one that began the stream.
func (e *Entry) isExcluded(q *request, state *forwardState) func(fleet.Candidate) bool {
	return func(c fleet.Candidate) bool { return slices.Contains(state.tried, c.ID) || !q.admits(e, c.Upstream) }
}

// findMisrouting returns why an upstream that was chosen must not get a request: whatever chose it,
// it has to belong to the service of the request, to which the route has to lead. A route that was
// removed since the request came still leads there. It is asked right before the request is sent.
func (e *Entry) findMisrouting(q *request, to fleet.Upstream) string {
	if to.Service != q.service.Name {
		return "the upstream was chosen from the service " + to.Service
	}
	if u, ok := e.fleet.Find(to.ID); ok && u.Service != q.service.Name {
		return "the upstream belongs to the service " + u.Service + " now"
	}
	if route := e.routeInForce(q); route != nil && !route.LeadsTo(q.service.Name) {
		return "the route leads to another service now"
	}
	return ""
}

// routeInForce returns the route of a request in the configuration in force, or nil if there is
// none or it has not changed since the request was parsed.
func (e *Entry) routeInForce(q *request) *rules.Route {
	table := e.rules.Get()
	if table == nil || table.Document.Version == q.version {
		return nil
	}
	path, _, _ := strings.Cut(q.target, "?")
	return table.FindRoute(q.host, path)
}

// reroute picks the service of a request anew if its route leads elsewhere now.
func (e *Entry) reroute(q *request) {
	if route := e.routeInForce(q); route != nil && !route.LeadsTo(q.service.Name) {
		q.setService(e.rules.Get().FindService(route.PickService(q.info.ID)))
	}
}

// tryUpstream sends the request to one upstream and reports whether the request is
// finished.
func (e *Entry) tryUpstream(ctx context.Context, w http.ResponseWriter, q *request, state *forwardState, choice place.Choice) bool {
	to := choice.Upstream
	state.tried = append(state.tried, to.ID)
	inFlight := e.balancer.Start(time.Now(), q.service.Name, to, &q.placement)
	id := e.broadcastSent(to, q)
	defer e.trackRun(time.Now(), q)()
	defer func() {
		inFlight.Finish(time.Now())
		e.gossiper.BroadcastEnded(id)
	}()
	x, failed := e.send(ctx, q, to, state.lastEventID)
	if failed != nil {
		return e.handleFailure(ctx, w, q, state, to, failed)
	}
	q.sends++
	now := time.Now()
	if x.info.Slots > 0 {
		e.balancer.RecordLoad(now, to.ID, x.info.Running, x.info.Waiting)
	}
	if isNotExecuted(x) {
		return e.handleNotExecuted(q, state, x)
	}
	state.executed++
	streams := isEventStream(x.resp.Header) && x.resp.StatusCode == http.StatusOK
	if state.responseStarted && !streams {
		return e.handleNotResumed(w, q, state, x)
	}
	unproven := promisesNotExecuted(x.resp.StatusCode)
	if x.resp.StatusCode >= http.StatusInternalServerError || unproven {
		e.recordOutcome(now, to, true)
		if e.canRetry(q, state) {
			q.log.With("request", q.info.ID).With("upstream", to.ID).With("status", x.resp.StatusCode).Infof("upstream failed; trying another")
			x.drainBody()
			return false
		}
	}
	if unproven {
		q.log.With("request", q.info.ID).With("upstream", to.ID).With("status", x.resp.StatusCode).Infof("upstream did not state that it did not execute the request")
		x.drainBody()
		e.fail(w, q, state, http.StatusBadGateway, reasonAborted)
		return true
	}
	if streams {
		return e.forwardStream(ctx, w, q, state, x, inFlight)
	}
	return e.forwardResponse(ctx, w, q, state, x, inFlight)
}

// canRetry reports whether the request may be executed by one more upstream.
func (e *Entry) canRetry(q *request, state *forwardState) bool {
	return q.route.AllowsRetry() && !state.responseStarted && state.executed < q.route.MaxAttempts &&
		e.budget.Balance(time.Now(), q.service.Name, e.entryCount()) >= 1
}

// canResume reports whether the stream may be resumed at another upstream.
func (e *Entry) canResume(q *request, state *forwardState) bool {
	return q.route.Resumable && state.executed < q.route.MaxAttempts &&
		e.budget.Balance(time.Now(), q.service.Name, e.entryCount()) >= 1
}

// isNotExecuted reports whether the upstream did not execute the request. A success that
// says so contradicts itself and counts as executed.
func isNotExecuted(x *exchange) bool {
	return x.info.NotExecuted && x.resp.StatusCode >= http.StatusBadRequest || x.resp.StatusCode == http.StatusMisdirectedRequest
}

// promisesNotExecuted reports whether callers take a status for the promise that the
// request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleNotResumed handles an upstream that did not resume a stream of which the
// caller has a part. It reports whether the request is finished.
func (e *Entry) handleNotResumed(w http.ResponseWriter, q *request, state *forwardState, x *exchange) bool {
	q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("status", x.resp.StatusCode).Infof("upstream did not resume the stream")
	e.recordOutcome(time.Now(), x.to, x.resp.StatusCode >= http.StatusInternalServerError)
	x.drainBody()
	if e.canResume(q, state) {
		return false
	}
	e.fail(w, q, state, http.StatusBadGateway, reasonAborted)
	return true
}

// handleNotExecuted handles an upstream that did not execute the request; another
// one is tried next.
func (e *Entry) handleNotExecuted(q *request, state *forwardState, x *exchange) bool {
	q.log.With("request", q.info.ID).With("upstream", x.to.ID).With("status", x.resp.StatusCode).
		With("running", x.info.Running).With("waiting", x.info.Waiting).With("reused", x.conn.Reused).With("sent", len(q.sentTo)).
		Infof("upstream did not execute the request")
	if x.resp.StatusCode == http.StatusMisdirectedRequest {
		// The address is in use by another process.
		e.ban(time.Now(), x.to, nil)
	} else {
		state.upstreamsFull = true
	}
	state.notExecuted = true
	x.drainBody()
	return false
}

// drainBody reads the rest of a small response so that the connection can be reused,
// and closes the connection after a large one.
func (x *exchange) drainBody() {
	defer x.releaseBody()
	if _, complete, err := x.bufferBody(); err != nil || !complete {
		x.abort()
		return
	}
	x.finish()
}

// handleFailure handles an exchange without a response and reports whether the
// request is finished.
func (e *Entry) handleFailure(ctx context.Context, w http.ResponseWriter, q *request, state *forwardState, to fleet.Upstream, f *failure) bool {
	now := time.Now()
	logger := q.log.With("request", q.info.ID).With("upstream", to.ID).With("sent", f.sent).With("parts", q.info.Parts).With("error", f.err.Error())
	if ctx.Err() != nil {
		if f.sent {
			q.sends++
			state.executed++
			e.recordUnresponsive(now, q, to, q.arrived)
		}
		e.abandon(w, q, state)
		return true
	}
	if f.withdrawn != fleet.WithdrawalNone {
		logger.Infof("upstream withdrawn before the request was sent")
		switch f.withdrawn {
		case fleet.WithdrawalMisrouted:
			e.reroute(q)
		case fleet.WithdrawalLimited:
			state.tried = slices.DeleteFunc(state.tried, func(id string) bool { return id == to.ID }) // It may have a turn later.
		case fleet.WithdrawalReplaced:
			state.replaced++
		case fleet.WithdrawalUnidentified:
			state.unreached++
		}
		return false
	}
	if isConnRefused(f.err) {
		e.fleet.RecordRefused(now, to.ID, to.StartedAt)
	}
	if f.unreachable {
		logger = logger.With("ban", e.ban(now, to, f.err).Milliseconds())
	}
	if !f.sent {
		logger.Infof("upstream not reached; nothing was sent")
		state.unreached++
		state.upstreamsFull = state.upstreamsFull || f.connsFull
		return false
	}
	logger.Infof("upstream sent no response")
	q.sends++
	state.executed++
	if isTimeout(f.err) && !now.Before(q.deadline) {
		e.recordUnresponsive(now, q, to, q.arrived)
		e.fail(w, q, state, http.StatusGatewayTimeout, reasonTimeout)
		return true
	}
	e.recordAbort(now, q, to, time.Time{})
	if e.canRetry(q, state) || e.canResume(q, state) {
		return false
	}
	e.fail(w, q, state, http.StatusBadGateway, reasonAborted)
	return true
}

// unresponsiveTargets is the number of latency targets for which an upstream may
// send nothing before an abandoned request counts as its failure.
const unresponsiveTargets = 2

// recordUnresponsive records a failure if the upstream had sent nothing for
// unresponsiveTargets latency targets, or 1 s if that is longer, when the wait ended.
func (e *Entry) recordUnresponsive(now time.Time, q *request, to fleet.Upstream, since time.Time) {
	if now.Sub(since) > max(time.Second, unresponsiveTargets*q.route.LatencyTarget) {
		e.recordOutcome(now, to, true)
	}
}

// fail sends the final response of a request that no upstream completed.
func (e *Entry) fail(w http.ResponseWriter, q *request, state *forwardState, status int, reason string) {
	if state.responseStarted {
		e.logResult(q, http.StatusOK, "broken off: "+reason, nil)
		breakOff(q)
	}
	if state.executed > 0 && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway // It may have been executed; 503 would state that it was not.
	}
	if !state.turnAt.IsZero() && reason == reasonNoUpstream && (state.resumesAt.IsZero() || state.turnAt.Before(state.resumesAt)) {
		e.scope.Counter("limited_refusals").Inc(1)
		e.respond(w, q, status, reasonLimited, q.boundRetryAfter(spread(time.Until(state.turnAt))))
		return
	}
	if !state.resumesAt.IsZero() && reason == reasonNoUpstream {
		e.respond(w, q, status, reasonPaused, q.boundRetryAfter(time.Until(state.resumesAt)))
		return
	}
	switch {
	case state.upstreamsFull && reason == reasonNoUpstream:
		reason = reasonUpstreamsFull
	case q.hasOrigin && reason == reasonNoUpstream:
		reason = reasonNoneOfRelease
	}
	e.respond(w, q, status, reason, q.retryAfter(reason))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
