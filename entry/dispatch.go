package entry

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/agent"
	"cactustide/retry"
	"cactustide/wire"
)

// maxDispatches bounds how often one request is sent to an agent. Being refused by
// an agent does not count as a retry, because a refused job was not run.
const maxDispatches = 16

// response is what a caller gets: an error, a complete body, or a stream whose
// first chunk has arrived.
type response struct {
	apiErr      *APIError
	status      int
	contentType string
	body        []byte
	replayed    bool
	// tokens of a complete body.
	tokens int64
	// streamCall delivers the rest of a stream.
	streamCall   *call
	firstFrame   *wire.Frame
	disconnected bool
}

// attemptResult is the result of sending a job to one agent. Without a response
// and a refusal reason the job failed and, unless unsent is set, may have run.
type attemptResult struct {
	response *response
	// refusalReason is the agent's reason if the job was not run.
	refusalReason string
	// unresponsive means that the agent itself did not answer.
	unresponsive bool
	// unsent means that the job did not reach the agent.
	unsent bool
}

// dispatch sends a request to one agent after another until one accepts it, and
// returns the start of the response. Once an attempt failed, the request may have
// run, whatever later attempts report.
func (e *Entry) dispatch(r *request, conn net.Conn) *response {
	e.retryBudget.Deposit()
	r.requirements.Excluded = map[string]bool{}
	maybeExecuted := false
	lastRefusal := ""
	for attempt := range maxDispatches {
		name, address, apiErr := e.chooseAgent(r)
		if apiErr != nil {
			return &response{apiErr: apiErr.orMaybeExecuted(maybeExecuted)}
		}
		if name == "" {
			e.log.With("request", r.id).With("attempt", attempt).With("refusal", lastRefusal).With("agents", e.table.Describe(time.Now(), r.requirements)).
				Infof("no agent can take the request")
			break
		}
		r.job.Id = r.id + "-" + strconv.Itoa(attempt)
		r.job.Again = r.sent
		result := e.tryAgent(r, name, address, conn)
		if result.response != nil {
			result.response.apiErr = result.response.apiErr.orMaybeExecuted(maybeExecuted)
			return result.response
		}
		r.requirements.Excluded[name] = true
		if result.refusalReason != "" {
			lastRefusal = result.refusalReason
			continue
		}
		if result.unresponsive {
			e.table.MarkUnreachable(name)
		}
		if result.unsent {
			lastRefusal = agent.ReasonDown
			continue
		}
		maybeExecuted = true
		if !e.retryBudget.TryWithdraw() {
			break
		}
		e.scope.Counter("retries").Inc(1)
	}
	return &response{apiErr: refusalError(lastRefusal).orMaybeExecuted(maybeExecuted)}
}

// chooseAgent returns the next agent for a request. The name is empty if no agent
// would accept it.
func (e *Entry) chooseAgent(r *request) (name, address string, apiErr *APIError) {
	now := time.Now()
	if apiErr := e.checkCrashRecords(now, r); apiErr != nil {
		return "", "", apiErr
	}
	r.job.Left = r.remainingQueueTime(now)
	if r.job.Left <= 0 {
		return "", "", refusalError(agent.ReasonExpired)
	}
	for {
		name, ok := e.table.Choose(now, r.requirements, rand.IntN)
		if !ok {
			name, ok = e.table.ChooseSuspect(now, r.requirements)
		}
		if !ok {
			return "", "", nil
		}
		if address, ok := e.agentAddress(name); ok {
			return name, address, nil
		}
		r.requirements.Excluded[name] = true
	}
}

// checkCrashRecords refuses a request that crashed several upstreams, sets Suspect
// if it may have crashed one, and excludes the upstreams that it crashed.
func (e *Entry) checkCrashRecords(now time.Time, r *request) *APIError {
	verdict, crashed := e.crashRecords.Evaluate(now, r.job.GetPrint())
	r.job.Suspect = verdict != retry.Clean
	for _, name := range crashed {
		r.requirements.Excluded[name] = true
	}
	if verdict == retry.Quarantined {
		return &APIError{
			Status:    fasthttp.StatusUnprocessableEntity,
			Code:      "quarantined",
			Message:   "this request was running when two upstreams crashed; it is refused for a time",
			Execution: ExecutionNone,
		}
	}
	return nil
}

// tryAgent sends the job to one agent and waits for the start of the response.
func (e *Entry) tryAgent(r *request, name, address string, conn net.Conn) attemptResult {
	disconnected := func() bool { return isDisconnected(conn) }
	c, err := e.sendJob(name, address, r.job)
	if err != nil {
		e.log.With("request", r.job.GetId()).Infof("no answer from %s: %v", name, err)
		return attemptResult{unresponsive: true, unsent: c.unsent}
	}
	r.sent = true
	resp := &response{}
	for {
		f, err := c.nextFrame(disconnected)
		if err == errCallerDisconnected {
			c.close()
			return attemptResult{response: &response{disconnected: true}}
		}
		if err != nil {
			c.close()
			e.log.With("request", r.job.GetId()).Infof("answer from %s ended early: %v", name, err)
			return attemptResult{unresponsive: true}
		}
		e.applyState(f.GetState())
		switch f.GetKind() {
		case wire.FrameKind_HEAD:
			resp.status = int(f.GetStatus())
			resp.contentType = f.GetType()
			resp.replayed = f.GetKept()
		case wire.FrameKind_DATA:
			if isEventStream(resp.contentType) {
				resp.streamCall = c
				resp.firstFrame = f
				return attemptResult{response: resp}
			}
			resp.body = append(resp.body, f.GetData()...)
		case wire.FrameKind_END:
			c.finish()
			return e.evaluateEnd(r, resp, f)
		case wire.FrameKind_REFUSE:
			c.finish()
			return evaluateRefusal(f)
		}
	}
}

// evaluateEnd returns the result of a job from its END frame.
func (e *Entry) evaluateEnd(r *request, resp *response, f *wire.Frame) attemptResult {
	if f.GetRun() == wire.Execution_DONE {
		resp.tokens = f.GetTokens()
		return attemptResult{response: resp}
	}
	r.tokens += f.GetTokens()
	r.wastedTokens += f.GetTokens()
	return attemptResult{}
}

// evaluateRefusal returns the result of a job that the agent refused. Refusals that
// concern the idempotency key are the same at every agent, so they are final.
func evaluateRefusal(f *wire.Frame) attemptResult {
	switch {
	case f.GetReason() == agent.ReasonMismatch, f.GetRun() != wire.Execution_NONE:
		return attemptResult{response: &response{apiErr: idempotencyKeyError(f)}}
	default:
		return attemptResult{refusalReason: f.GetReason()}
	}
}

func idempotencyKeyError(f *wire.Frame) *APIError {
	if f.GetReason() == agent.ReasonMismatch {
		return &APIError{
			Status:    fasthttp.StatusUnprocessableEntity,
			Code:      "mismatch",
			Message:   "the idempotency key was used with another request",
			Param:     headerIdempotencyKey,
			Execution: ExecutionNone,
		}
	}
	apiErr := &APIError{
		Status:     fasthttp.StatusConflict,
		Code:       "conflict",
		Message:    "an earlier call with this idempotency key has started; its answer is not known",
		Param:      headerIdempotencyKey,
		Execution:  ExecutionMaybe,
		RetryAfter: longRetryAfter,
	}
	if f.GetRun() == wire.Execution_DONE {
		apiErr.Message = "an earlier call with this idempotency key ran; its answer was too large to keep"
		apiErr.Execution = ExecutionDone
		apiErr.RetryAfter = 0
	}
	return apiErr
}

// Values of APIError.RetryAfter, seconds.
const (
	shortRetryAfter = 1
	longRetryAfter  = 5
)

func refusalError(reason string) *APIError {
	e := &APIError{Status: fasthttp.StatusServiceUnavailable, Code: reason, Execution: ExecutionNone, RetryAfter: shortRetryAfter}
	switch reason {
	case "", agent.ReasonDown, agent.ReasonDraining, agent.ReasonReplaced, agent.ReasonNoConfig:
		e.Code = "unavailable"
		e.Message = "no upstream can take the request now"
	case agent.ReasonExpired:
		e.Message = "the request could not start within its class's queue time"
	case agent.ReasonPlatformUnavailable:
		e.Message = "the platform cannot record the call now, so it was not started"
		e.RetryAfter = longRetryAfter
	default:
		e.Code = "full"
		e.Message = "all upstreams are full of work that goes first"
	}
	return e
}

// orMaybeExecuted returns the error to report if an earlier attempt may have run:
// brokenError in place of an error that says the request did not run, e otherwise.
// e may be nil.
func (e *APIError) orMaybeExecuted(maybeExecuted bool) *APIError {
	if e != nil && e.Execution == ExecutionNone && maybeExecuted {
		return brokenError()
	}
	return e
}

func brokenError() *APIError {
	return &APIError{
		Status:    fasthttp.StatusBadGateway,
		Code:      "broken",
		Message:   "the upstream broke off; the request may have run",
		Execution: ExecutionMaybe,
	}
}
