package agent

import (
	"context"
	"time"

	"cactustide/claim"
	"cactustide/meter"
	"cactustide/sched"
	"cactustide/usage"
	"cactustide/wire"
)

const (
	// maxStoredBody is the largest response body stored for retries, bytes.
	maxStoredBody = 256 << 10
	// minConflictPollInterval is the time before a claim of another run is read a
	// second time. It doubles, since each read is a call of the platform's service.
	minConflictPollInterval = 100 * time.Millisecond
)

// serveJob answers one job with frames. It returns when the job has ended and no
// more frames will be written.
func (a *Agent) serveJob(job *wire.Job, write func(f *wire.Frame, flush bool) error) {
	started := time.Now()
	log := a.log.With("request", job.GetId())
	out := &sender{write: write}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hb := startHeartbeat(out, cancel)
	defer hb.Close()

	if !job.GetAgain() {
		a.counters.Add(usage.Key{Entry: job.GetEntry(), Partner: job.GetPartner(), Team: job.GetTeam(), Class: job.GetClass(), Outcome: usage.ReceivedByAgent}, usage.Count{Requests: 1})
	}
	request, reason := a.admit(ctx, job, started)
	if reason != "" {
		log.Debugf("job refused: %s", reason)
		a.refuse(out, reason, wire.Execution_NONE)
		return
	}
	a.scope.Timer("queue_time").Record(time.Since(started))
	a.executions.add(job.GetId(), cancel)
	a.execute(ctx, log, job, request, out)
	a.executions.remove(job.GetId())
	log.Debugf("job ended after %v", time.Since(started))
}

// admit waits in the queue. It returns the reason for a refusal, and an empty one
// if the job was started.
func (a *Agent) admit(ctx context.Context, job *wire.Job, now time.Time) (*sched.Request, string) {
	document := a.effective.Load()
	switch {
	case document == nil:
		return nil, ReasonNoConfig
	case !a.healthy.Load():
		return nil, ReasonDown
	case job.GetOnce() && a.incarnation.Load() == 0:
		return nil, ReasonPlatformUnavailable
	}
	class, _ := document.FindClass(job.GetClass())
	request := &sched.Request{
		ID:           job.GetId(),
		Class:        job.GetClass(),
		Partner:      job.GetPartner(),
		Tokens:       float64(class.Tokens),
		Deadline:     now.Add(time.Duration(job.GetLeft()) * time.Millisecond),
		Suspect:      job.GetSuspect(),
		Redispatched: job.GetAgain(),
	}
	waiter := a.queue.enqueue(request)
	for {
		select {
		case d := <-waiter:
			return request, d.reason
		case <-ctx.Done():
			a.queue.cancel(job.GetId())
			ctx = context.Background() // The waiter still gets the decision.
		}
	}
}

// execute claims the job's key if needed, runs the job and frees its slot.
func (a *Agent) execute(ctx context.Context, log *meter.Logger, job *wire.Job, request *sched.Request, out *sender) {
	var tokens int64
	defer func() { a.queue.finish(job.GetId(), tokens) }()
	if ctx.Err() != nil {
		a.refuse(out, ReasonCancelled, wire.Execution_NONE)
		return
	}
	if !job.GetOnce() {
		r := a.runUnclaimed(ctx, log, job, request, out)
		tokens = r.tokens
		return
	}
	verdict, record, err := a.takeClaim(ctx, job)
	switch verdict {
	case claim.Start:
		a.runClaimed(ctx, log, job, request, record, out)
	case claim.Replay:
		a.replay(out, record)
	case claim.Mismatch:
		a.refuse(out, ReasonMismatch, wire.Execution_NONE)
	case claim.Running:
		a.refuse(out, ReasonConflict, wire.Execution_MAYBE)
	case claim.Refuse:
		log.Warnf("claim not confirmed: %v", err)
		a.refuse(out, ReasonPlatformUnavailable, wire.Execution_NONE)
	}
}

// takeClaim claims the job's key. While another run holds it, takeClaim polls for
// that run's response, for at most the queue time that the job arrived with.
func (a *Agent) takeClaim(ctx context.Context, job *wire.Job) (claim.Verdict, claim.Record, error) {
	runID := newRunID(job.GetId(), a.settings.Name)
	deadline := time.Now().Add(time.Duration(job.GetLeft()) * time.Millisecond)
	for wait := minConflictPollInterval; ; wait *= 2 {
		verdict, record, err := claim.Take(a.claims, claimKey(job.GetPartner(), job.GetKey()), runID, a.settings.Name, job.GetPrint())
		if verdict != claim.Running || time.Now().After(deadline) {
			return verdict, record, err
		}
		select {
		case <-ctx.Done():
			return verdict, record, err
		case <-time.After(min(wait, time.Until(deadline))):
		}
	}
}

// runClaimed runs a job whose key is claimed by this run, and stores the response.
func (a *Agent) runClaimed(ctx context.Context, log *meter.Logger, job *wire.Job, request *sched.Request, record claim.Record, out *sender) {
	key := claimKey(job.GetPartner(), job.GetKey())
	if ctx.Err() != nil {
		a.releaseClaim(log, key, record)
		a.refuse(out, ReasonCancelled, wire.Execution_NONE)
		return
	}
	// The response is stored before it is sent: a caller that has it can rely on a
	// retry getting the same one. A disconnected caller does not cancel the run:
	// its retry needs the response.
	r := a.upstream.run(context.WithoutCancel(ctx), job, request.Tier(), responseReceiver{
		onHead: func(int, string) {},
		onData: func([]byte, int64) error { return nil },
	})
	if r.unsent || r.fenced {
		a.releaseClaim(log, key, record)
		a.handleFailure(log, out, job, r)
		return
	}
	if !r.complete {
		a.handleFailure(log, out, job, r)
		return
	}
	record.Status = r.status
	record.ContentType = r.contentType
	record.Body = r.body
	if len(r.body) > maxStoredBody {
		record.Body = nil
		record.BodyOmitted = true
	}
	if err := claim.Finish(a.claims, key, record); err != nil {
		log.Warnf("storing the response failed: %v", err)
	}
	record.Body = r.body
	record.BodyOmitted = false
	a.sendRecord(out, record, false)
}

func (a *Agent) releaseClaim(log *meter.Logger, key string, record claim.Record) {
	if ok, err := claim.Release(a.claims, key, record); !ok {
		log.Warnf("claim not released: %v", err)
	}
}

// replay answers from a stored record.
func (a *Agent) replay(out *sender, record claim.Record) {
	if record.BodyOmitted {
		a.refuse(out, ReasonConflict, wire.Execution_DONE)
		return
	}
	a.sendRecord(out, record, true)
}

func (a *Agent) sendRecord(out *sender, record claim.Record, replayed bool) {
	_ = out.send(&wire.Frame{Kind: wire.FrameKind_HEAD, Status: int32(record.Status), Type: record.ContentType, Kept: replayed}, false)
	_ = out.send(&wire.Frame{Kind: wire.FrameKind_DATA, Data: record.Body}, false)
	a.sendFinal(out, &wire.Frame{Kind: wire.FrameKind_END, Run: wire.Execution_DONE, Kept: replayed})
}

// runUnclaimed runs a job that may run more than once.
func (a *Agent) runUnclaimed(ctx context.Context, log *meter.Logger, job *wire.Job, request *sched.Request, out *sender) result {
	started := time.Now()
	var firstData time.Time
	r := a.upstream.run(ctx, job, request.Tier(), responseReceiver{
		onHead: func(status int, contentType string) {
			_ = out.send(&wire.Frame{Kind: wire.FrameKind_HEAD, Status: int32(status), Type: contentType}, false)
		},
		onData: func(p []byte, tokens int64) error {
			if firstData.IsZero() {
				firstData = time.Now()
			}
			if err := ctx.Err(); err != nil {
				return err
			}
			a.queue.charge(job.GetId(), tokens)
			// A response that is not streamed is flushed with its END frame.
			return out.send(&wire.Frame{Kind: wire.FrameKind_DATA, Data: p}, job.GetStream())
		},
	})
	if !r.complete || r.fenced {
		a.handleFailure(log, out, job, r)
		return r
	}
	if firstData.IsZero() || !job.GetStream() {
		firstData = started
	}
	a.recordTimePerToken(time.Since(firstData), r.tokens)
	a.sendFinal(out, &wire.Frame{Kind: wire.FrameKind_END, Run: wire.Execution_DONE, Tokens: r.tokens})
	return r
}

// handleFailure ends a job without a complete response, and logs why it is none. If the upstream crashed, a
// crash record of the job is added.
func (a *Agent) handleFailure(log *meter.Logger, out *sender, job *wire.Job, r result) {
	log.Infof("response ended early after %d tokens: %v", r.tokens, r.err)
	switch {
	case r.fenced:
		a.log.Warnf("upstream rejected incarnation %d: a newer agent has replaced this one", a.incarnation.Load())
		a.refuse(out, ReasonReplaced, wire.Execution_NONE)
		return
	case r.unsent:
		a.healthy.Store(false)
		a.refuse(out, ReasonDown, wire.Execution_NONE)
		return
	}
	reason := ReasonBroken
	if !out.hasFailed() && !a.upstream.acceptsConns() {
		reason = ReasonCrashed
		a.healthy.Store(false)
		a.crashRecords.Add(time.Now(), job.GetPrint(), a.settings.Name)
		a.scope.Counter("upstream_crashes").Inc(1)
	}
	a.scope.Counter("wasted_tokens").Inc(r.tokens)
	a.sendFinal(out, &wire.Frame{Kind: wire.FrameKind_END, Run: wire.Execution_MAYBE, Reason: reason, Tokens: r.tokens})
}

func (a *Agent) refuse(out *sender, reason string, run wire.Execution) {
	a.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	a.sendFinal(out, &wire.Frame{Kind: wire.FrameKind_REFUSE, Reason: reason, Run: run})
}

// sendFinal sends the last frame, with the agent's state.
func (a *Agent) sendFinal(out *sender, f *wire.Frame) {
	f.State = a.state(time.Now())
	_ = out.send(f, true)
}

// recordTimePerToken adds a sample to the moving average of the time per token.
// Fewer than 2 tokens give none.
func (a *Agent) recordTimePerToken(elapsed time.Duration, tokens int64) {
	if tokens < 2 {
		return
	}
	sample := elapsed.Microseconds() / tokens
	old := a.timePerToken.Load()
	if old == 0 {
		a.timePerToken.Store(sample)
		return
	}
	a.timePerToken.Store(old + int64(timePerTokenWeight*float64(sample-old)))
}
