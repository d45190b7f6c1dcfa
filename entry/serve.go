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

// maxTries bounds the agents asked for one request. Agents that refuse are not
// retries: a refused job was not run.
const maxTries = 16

// answer is what a caller gets: a fault, a whole body, or a stream of which the
// first piece is there.
type answer struct {
	fault  *APIError
	status int
	kind   string
	body   []byte
	kept   bool
	// tokens of a whole body.
	tokens int64
	// stream is the call that the rest of a stream comes from.
	stream *call
	first  *wire.Frame
	gone   bool
}

// attempt is how one try at an agent ended. With no answer and no refusal, the
// job broke off and may have run.
type attempt struct {
	answer *answer
	// refused holds the agent's reason if the job was not run.
	refused string
	// silent means that the agent itself did not answer.
	silent bool
	// unsent means that the job did not reach the agent.
	unsent bool
}

// serve finds an agent for a request and returns the answer's start. Once an
// attempt broke, the request may have run, whatever later attempts say.
func (e *Entry) serve(r *request, conn net.Conn) *answer {
	e.budget.Deposit()
	r.want.Excluded = map[string]bool{}
	mayHaveRun := false
	refusal := ""
	for try := range maxTries {
		name, address, fault := e.choose(r)
		if fault != nil {
			return &answer{fault: fault.orBroken(mayHaveRun)}
		}
		if name == "" {
			break
		}
		r.job.Id = r.id + "-" + strconv.Itoa(try)
		r.job.Again = r.sent
		out := e.try(r, name, address, conn)
		if out.answer != nil {
			out.answer.fault = out.answer.fault.orBroken(mayHaveRun)
			return out.answer
		}
		r.want.Excluded[name] = true
		if out.refused != "" {
			refusal = out.refused
			continue
		}
		if out.silent {
			e.table.MarkUnreachable(name)
		}
		if out.unsent {
			refusal = agent.ReasonDown
			continue
		}
		mayHaveRun = true
		if !e.budget.TryWithdraw() {
			break
		}
		e.scope.Counter("retries").Inc(1)
	}
	return &answer{fault: refusalFault(refusal).orBroken(mayHaveRun)}
}

// choose picks the next agent for a request. The name is empty when no agent
// would take it.
func (e *Entry) choose(r *request) (name, address string, fault *APIError) {
	now := time.Now()
	if fault := e.judge(now, r); fault != nil {
		return "", "", fault
	}
	r.job.Left = r.left(now)
	if r.job.Left <= 0 {
		return "", "", refusalFault(agent.ReasonExpired)
	}
	for {
		name, ok := e.table.Choose(now, r.want, rand.IntN)
		if !ok {
			return "", "", nil
		}
		if address, ok := e.addressOf(name); ok {
			return name, address, nil
		}
		r.want.Excluded[name] = true
	}
}

// judge refuses requests that crashed several upstreams, and marks suspects.
func (e *Entry) judge(now time.Time, r *request) *APIError {
	verdict, crashed := e.marks.Evaluate(now, r.job.GetPrint())
	r.job.Suspect = verdict != retry.Clean
	for _, name := range crashed {
		r.want.Excluded[name] = true
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

// try sends the job to one agent and waits for the answer's start.
func (e *Entry) try(r *request, name, address string, conn net.Conn) attempt {
	gone := func() bool { return isGone(conn) }
	c, err := e.send(name, address, r.job)
	if err != nil {
		e.log.With("request", r.job.GetId()).Infof("no answer from %s: %v", name, err)
		return attempt{silent: true, unsent: c.unsent}
	}
	r.sent = true
	out := &answer{}
	for {
		f, err := c.next(gone)
		if err == errCallerGone {
			c.close()
			return attempt{answer: &answer{gone: true}}
		}
		if err != nil {
			c.close()
			return attempt{silent: true}
		}
		e.learn(f.GetState())
		switch f.GetKind() {
		case wire.FrameKind_HEAD:
			out.status = int(f.GetStatus())
			out.kind = f.GetType()
			out.kept = f.GetKept()
		case wire.FrameKind_DATA:
			if isEvents(out.kind) {
				out.stream = c
				out.first = f
				return attempt{answer: out}
			}
			out.body = append(out.body, f.GetData()...)
		case wire.FrameKind_END:
			c.finish()
			return e.endOf(r, out, f)
		case wire.FrameKind_REFUSE:
			c.finish()
			return refused(f)
		}
	}
}

// endOf judges the last frame of a job.
func (e *Entry) endOf(r *request, out *answer, f *wire.Frame) attempt {
	if f.GetRun() == wire.Execution_DONE {
		out.tokens = f.GetTokens()
		return attempt{answer: out}
	}
	r.tokens += f.GetTokens()
	r.wasted += f.GetTokens()
	return attempt{}
}

// refused judges a job that the agent did not run now. Some refusals hold at
// every agent.
func refused(f *wire.Frame) attempt {
	switch {
	case f.GetReason() == agent.ReasonMismatch, f.GetRun() != wire.Execution_NONE:
		return attempt{answer: &answer{fault: keyFault(f)}}
	default:
		return attempt{refused: f.GetReason()}
	}
}

func keyFault(f *wire.Frame) *APIError {
	if f.GetReason() == agent.ReasonMismatch {
		return &APIError{
			Status:    fasthttp.StatusUnprocessableEntity,
			Code:      "mismatch",
			Message:   "the idempotency key was used with another request",
			Param:     headerKey,
			Execution: ExecutionNone,
		}
	}
	fault := &APIError{
		Status:     fasthttp.StatusConflict,
		Code:       "conflict",
		Message:    "an earlier call with this idempotency key has started; its answer is not known",
		Param:      headerKey,
		Execution:  ExecutionMaybe,
		RetryAfter: retryLater,
	}
	if f.GetRun() == wire.Execution_DONE {
		fault.Message = "an earlier call with this idempotency key ran; its answer was too large to keep"
		fault.Execution = ExecutionDone
		fault.RetryAfter = 0
	}
	return fault
}

// Times after which a resend may help, seconds.
const (
	retrySoon  = 1
	retryLater = 5
)

func refusalFault(reason string) *APIError {
	f := &APIError{Status: fasthttp.StatusServiceUnavailable, Code: reason, Execution: ExecutionNone, RetryAfter: retrySoon}
	switch reason {
	case "", agent.ReasonDown, agent.ReasonDraining, agent.ReasonReplaced, agent.ReasonNoConfig:
		f.Code = "unavailable"
		f.Message = "no upstream can take the request now"
	case agent.ReasonExpired:
		f.Message = "the request could not start within its class's queue time"
	case agent.ReasonPlatformUnavailable:
		f.Message = "the platform cannot record the call now, so it was not started"
		f.RetryAfter = retryLater
	default:
		f.Code = "full"
		f.Message = "all upstreams are full of work that goes first"
	}
	return f
}

// orBroken returns the fault that says so if the request may have run.
func (f *APIError) orBroken(mayHaveRun bool) *APIError {
	if f != nil && f.Execution == ExecutionNone && mayHaveRun {
		return brokenFault()
	}
	return f
}

func brokenFault() *APIError {
	return &APIError{
		Status:    fasthttp.StatusBadGateway,
		Code:      "broken",
		Message:   "the upstream broke off; the request may have run",
		Execution: ExecutionMaybe,
	}
}
