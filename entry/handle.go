package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/usage"
	"cactustide/wire"
)

const eventStreamType = "text/event-stream"

func isEventStream(contentType string) bool { return strings.HasPrefix(contentType, eventStreamType) }

// handle serves the callers' listener: it parses a request, checks the team's
// limit, dispatches the request and writes the response.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	id := e.newRequestID()
	idx := e.configIndex.Load()
	if idx == nil {
		(&APIError{Status: fasthttp.StatusServiceUnavailable, Code: "unready", Message: "no configuration yet", Execution: ExecutionNone, RetryAfter: shortRetryAfter}).write(ctx, id)
		return
	}
	var owner keyOwner
	apiErr := e.withDocument(id, idx, func(current *configIndex) (err *APIError) {
		idx = current
		owner, err = current.identify(ctx)
		return err
	})
	if apiErr != nil {
		apiErr.write(ctx, id)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathModels && ctx.IsGet():
		e.writeModels(ctx, id)
	case path == pathChat && ctx.IsPost():
		e.handleRequest(ctx, idx, &request{id: id, owner: owner, arrivedAt: time.Now()}, e.parseChat)
	case strings.HasPrefix(path, pathServices):
		e.handleRequest(ctx, idx, &request{id: id, owner: owner, arrivedAt: time.Now()}, e.parseServiceCall)
	default:
		(&APIError{Status: fasthttp.StatusNotFound, Code: "path", Message: "no such path: " + path, Execution: ExecutionNone}).write(ctx, id)
	}
}

type requestParser func(*fasthttp.RequestCtx, *configIndex, *request) *APIError

func (e *Entry) handleRequest(ctx *fasthttp.RequestCtx, idx *configIndex, r *request, parse requestParser) {
	if apiErr := e.withDocument(r.id, idx, func(current *configIndex) *APIError { return parse(ctx, current, r) }); apiErr != nil {
		e.recordOutcome(r, usage.Invalid, false)
		apiErr.write(ctx, r.id)
		return
	}
	r.fillJob(e.process)
	e.recordOpen(r)
	if !e.limiter.acquire(r.owner.partner, r.owner.team.Name, r.owner.team.Limit) {
		e.recordOutcome(r, usage.Refused, false)
		teamLimitError(r).write(ctx, r.id)
		return
	}
	resp := e.dispatch(r, ctx.Conn())
	if resp.streamCall != nil {
		e.writeStream(ctx, r, resp)
		return
	}
	e.limiter.release(r.owner.partner, r.owner.team.Name)
	e.writeResponse(ctx, r, resp)
}

func teamLimitError(r *request) *APIError {
	return &APIError{
		Status:     fasthttp.StatusTooManyRequests,
		Code:       "limit",
		Message:    fmt.Sprintf("team %s has %d requests in progress, which is its limit", r.owner.team.Name, r.owner.team.Limit),
		Execution:  ExecutionNone,
		RetryAfter: shortRetryAfter,
	}
}

// writeResponse answers with an error or a complete body.
func (e *Entry) writeResponse(ctx *fasthttp.RequestCtx, r *request, resp *response) {
	switch {
	case resp.disconnected:
		e.recordOutcome(r, usage.Cancelled, false)
		ctx.SetConnectionClose()
	case resp.apiErr != nil:
		e.recordOutcome(r, outcomeOf(resp.apiErr), false)
		resp.apiErr.write(ctx, r.id)
	default:
		r.tokens += resp.tokens
		e.recordOutcome(r, usage.Done, r.metTargets(time.Now(), resp.tokens))
		ctx.SetStatusCode(resp.status)
		ctx.SetContentType(resp.contentType)
		ctx.Response.Header.Set(headerRequestID, r.id)
		ctx.Response.Header.Set(headerExecution, string(ExecutionDone))
		if resp.replayed {
			ctx.Response.Header.Set(headerReplayed, "true")
		}
		ctx.SetBody(resp.body)
	}
}

// outcomeOf returns the outcome of a request that was answered with an error.
func outcomeOf(e *APIError) usage.Outcome {
	switch {
	case e.Execution != ExecutionNone:
		return usage.Failed
	case e.Status == fasthttp.StatusUnprocessableEntity:
		return usage.Invalid
	default:
		return usage.Refused
	}
}

// metTargets reports whether a response that was not streamed took at most its
// class's target for the first token plus the target pace for each token.
func (r *request) metTargets(now time.Time, tokens int64) bool {
	return now.Sub(r.arrivedAt) <= r.class.Target+time.Duration(tokens)*r.class.Pace
}

// writeStream answers with an event stream whose first chunk has arrived.
func (e *Entry) writeStream(ctx *fasthttp.RequestCtx, r *request, resp *response) {
	ctx.SetStatusCode(resp.status)
	ctx.SetContentType(resp.contentType)
	ctx.Response.Header.Set(headerRequestID, r.id)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	e.streams.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.streams.Done()
		defer e.limiter.release(r.owner.partner, r.owner.team.Name)
		e.copyStream(w, r, resp)
	})
}

// copyStream forwards the chunks of a stream. The end marker is part of the
// upstream's data, so only a complete stream ends with it.
func (e *Entry) copyStream(w *bufio.Writer, r *request, resp *response) {
	defer resp.streamCall.close()
	first := time.Now()
	e.scope.Timer("first_token").Record(first.Sub(r.arrivedAt))
	f := resp.firstFrame
	var events wire.EventCounter
	for {
		switch f.GetKind() {
		case wire.FrameKind_DATA:
			events.Add(f.GetData())
			_, _ = w.Write(f.GetData())
			if err := w.Flush(); err != nil {
				e.recordStream(r, usage.Cancelled, events.Count, false)
				return
			}
		case wire.FrameKind_END:
			e.applyState(f.GetState())
			resp.streamCall.finish()
			if f.GetRun() == wire.Execution_DONE && events.Done {
				e.finishStream(r, first, time.Now(), events.Count)
				return
			}
			e.abortStream(w, r, events.Count)
			return
		}
		var err error
		f, err = resp.streamCall.nextFrame(func() bool { return false })
		if err != nil {
			e.log.With("request", r.id).Infof("stream from the agent ended early: %v", err)
			e.abortStream(w, r, events.Count)
			return
		}
	}
}

// finishStream records a stream that was written to its caller with the end marker.
func (e *Entry) finishStream(r *request, first, last time.Time, tokens int64) {
	if tokens > 1 {
		e.scope.Timer("between_tokens").Record(last.Sub(first) / time.Duration(tokens-1))
	}
	e.recordStream(r, usage.Done, tokens, r.metStreamTargets(first, last, tokens))
}

// metStreamTargets reports whether a stream met its class's targets.
func (r *request) metStreamTargets(first, last time.Time, tokens int64) bool {
	if first.Sub(r.arrivedAt) > r.class.Target {
		return false
	}
	if r.class.Pace == 0 || tokens < 2 {
		return true
	}
	return last.Sub(first) <= r.class.Pace*time.Duration(tokens-1)
}

// abortStream ends a stream that cannot be completed. The caller recognises this
// by the error event and by the missing end marker.
func (e *Entry) abortStream(w *bufio.Writer, r *request, tokens int64) {
	body := bytes.TrimSpace(brokenError().encode(r.id))
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", body)
	_ = w.Flush()
	e.recordStream(r, usage.Incomplete, tokens, false)
}

func (e *Entry) recordStream(r *request, outcome usage.Outcome, tokens int64, metTargets bool) {
	r.tokens += tokens
	if outcome != usage.Done {
		r.wastedTokens += tokens
	}
	e.recordOutcome(r, outcome, metTargets)
}

// recordOutcome counts a request once, under its outcome.
func (e *Entry) recordOutcome(r *request, outcome usage.Outcome, metTargets bool) {
	if r.outcomeRecorded {
		return
	}
	r.outcomeRecorded = true
	now := time.Now()
	count := usage.Count{Requests: 1, Tokens: r.tokens, Wasted: r.wastedTokens}
	if metTargets {
		count.Attained = 1
	}
	class := r.class.Name
	e.counters.Add(e.usageKey(r, outcome), count)
	if r.sent {
		e.counters.Add(e.usageKey(r, usage.SettledAfterSend), usage.Count{Requests: 1})
	}
	if r.openRecorded {
		e.counters.Add(e.usageKey(r, usage.Open), usage.Count{Requests: -1})
	}
	if outcome != usage.Invalid && outcome != usage.Cancelled {
		e.burn.Add(now, class, metTargets)
	}
	e.scope.Tagged(map[string]string{
		"class": class, "partner": r.owner.partner, "outcome": string(outcome),
	}).Counter("requests").Inc(1)
	if e.log.IsDebugEnabled() {
		e.log.With("request", r.id).Debugf("%s after %v", outcome, now.Sub(r.arrivedAt))
	}
}

// recordOpen counts a request as in progress until recordOutcome is called.
func (e *Entry) recordOpen(r *request) {
	r.openRecorded = true
	e.counters.Add(e.usageKey(r, usage.Open), usage.Count{Requests: 1})
}

func (e *Entry) usageKey(r *request, outcome usage.Outcome) usage.Key {
	return usage.Key{Entry: e.process, Partner: r.owner.partner, Team: r.owner.team.Name, Class: r.class.Name, Outcome: outcome}
}

// writeModels lists the models in the format of the OpenAI API.
func (e *Entry) writeModels(ctx *fasthttp.RequestCtx, id string) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	agents, _ := e.table.List()
	var names []string
	for _, a := range agents {
		if a.Model != "" && !slices.Contains(names, a.Model) {
			names = append(names, a.Model)
			list.Data = append(list.Data, model{ID: a.Model, Object: "model", OwnedBy: "cactustide"})
		}
	}
	data, _ := json.Marshal(list) // Encoding plain structs cannot fail.
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetBody(data)
}
