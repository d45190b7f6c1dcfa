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

const eventsType = "text/event-stream"

func isEvents(kind string) bool { return strings.HasPrefix(kind, eventsType) }

// handle is the callers' end: bind, check, serve, write.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	id := e.newID()
	v := e.view.Load()
	if v == nil {
		(&APIError{Status: fasthttp.StatusServiceUnavailable, Code: "unready", Message: "no configuration yet", Execution: ExecutionNone, RetryAfter: retrySoon}).write(ctx, id)
		return
	}
	m, fault := v.identify(ctx)
	if fault != nil {
		fault.write(ctx, id)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathModels && ctx.IsGet():
		e.writeModels(ctx, id)
	case path == pathChat && ctx.IsPost():
		e.handleRequest(ctx, v, &request{id: id, member: m, arrived: time.Now()}, e.bindChat)
	case strings.HasPrefix(path, pathServices):
		e.handleRequest(ctx, v, &request{id: id, member: m, arrived: time.Now()}, e.bindService)
	default:
		(&APIError{Status: fasthttp.StatusNotFound, Code: "path", Message: "no such path: " + path, Execution: ExecutionNone}).write(ctx, id)
	}
}

type binder func(*fasthttp.RequestCtx, *view, *request) *APIError

func (e *Entry) handleRequest(ctx *fasthttp.RequestCtx, v *view, r *request, bind binder) {
	if fault := bind(ctx, v, r); fault != nil {
		e.settle(r, usage.Invalid, false)
		fault.write(ctx, r.id)
		return
	}
	r.fill(e.process)
	e.open(r)
	if !e.limits.enter(r.member.partner, r.member.team.Name, r.member.team.Limit) {
		e.settle(r, usage.Refused, false)
		limitFault(r).write(ctx, r.id)
		return
	}
	out := e.serve(r, ctx.Conn())
	if out.stream != nil {
		e.stream(ctx, r, out)
		return
	}
	e.limits.leave(r.member.partner, r.member.team.Name)
	e.writeWhole(ctx, r, out)
}

func limitFault(r *request) *APIError {
	return &APIError{
		Status:     fasthttp.StatusTooManyRequests,
		Code:       "limit",
		Message:    fmt.Sprintf("team %s has %d requests in progress, which is its limit", r.member.team.Name, r.member.team.Limit),
		Execution:  ExecutionNone,
		RetryAfter: retrySoon,
	}
}

// writeWhole answers with a fault or a whole body.
func (e *Entry) writeWhole(ctx *fasthttp.RequestCtx, r *request, out *answer) {
	switch {
	case out.gone:
		e.settle(r, usage.Cancelled, false)
		ctx.SetConnectionClose()
	case out.fault != nil:
		e.settle(r, outcomeOf(out.fault), false)
		out.fault.write(ctx, r.id)
	default:
		r.tokens += out.tokens
		e.settle(r, usage.Done, r.metWhole(time.Now(), out.tokens))
		ctx.SetStatusCode(out.status)
		ctx.SetContentType(out.kind)
		ctx.Response.Header.Set(headerRequest, r.id)
		ctx.Response.Header.Set(headerRun, string(ExecutionDone))
		if out.kept {
			ctx.Response.Header.Set(headerKept, "true")
		}
		ctx.SetBody(out.body)
	}
}

// outcomeOf says how a request ended that got a fault.
func outcomeOf(f *APIError) usage.Outcome {
	switch {
	case f.Execution != ExecutionNone:
		return usage.Failed
	case f.Status == fasthttp.StatusUnprocessableEntity:
		return usage.Invalid
	default:
		return usage.Refused
	}
}

// metWhole reports whether an answer that was not streamed met the targets:
// the first token's, plus the pace for each token.
func (r *request) metWhole(now time.Time, tokens int64) bool {
	return now.Sub(r.arrived) <= r.class.Target+time.Duration(tokens)*r.class.Pace
}

// stream answers with an event stream whose first piece has arrived.
func (e *Entry) stream(ctx *fasthttp.RequestCtx, r *request, out *answer) {
	ctx.SetStatusCode(out.status)
	ctx.SetContentType(out.kind)
	ctx.Response.Header.Set(headerRequest, r.id)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	e.streams.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.streams.Done()
		defer e.limits.leave(r.member.partner, r.member.team.Name)
		e.copyStream(w, r, out)
	})
}

// copyStream passes the pieces of a stream on. Only a whole stream ends with
// the end marker, which is one of its own pieces.
func (e *Entry) copyStream(w *bufio.Writer, r *request, out *answer) {
	defer out.stream.close()
	first := time.Now()
	e.scope.Timer("first_token").Record(first.Sub(r.arrived))
	f := out.first
	var events wire.EventCounter
	for {
		switch f.GetKind() {
		case wire.FrameKind_DATA:
			events.Add(f.GetData())
			_, _ = w.Write(f.GetData())
			if err := w.Flush(); err != nil {
				e.endStream(r, usage.Cancelled, events.Count, false)
				return
			}
		case wire.FrameKind_END:
			e.learn(f.GetState())
			out.stream.finish()
			if f.GetRun() == wire.Execution_DONE && events.Done {
				e.endWhole(r, first, time.Now(), events.Count)
				return
			}
			e.breakStream(w, r, events.Count)
			return
		}
		var err error
		f, err = out.stream.next(func() bool { return false })
		if err != nil {
			e.breakStream(w, r, events.Count)
			return
		}
	}
}

// endWhole settles a stream that reached its caller with its end marker.
func (e *Entry) endWhole(r *request, first, last time.Time, tokens int64) {
	if tokens > 1 {
		e.scope.Timer("between_tokens").Record(last.Sub(first) / time.Duration(tokens-1))
	}
	e.endStream(r, usage.Done, tokens, r.metStream(first, last, tokens))
}

// metStream reports whether a stream met its class's targets.
func (r *request) metStream(first, last time.Time, tokens int64) bool {
	if first.Sub(r.arrived) > r.class.Target {
		return false
	}
	if r.class.Pace == 0 || tokens < 2 {
		return true
	}
	return last.Sub(first) <= r.class.Pace*time.Duration(tokens-1)
}

// breakStream ends a stream that cannot be completed. The caller can tell by
// the error event and by the missing end marker.
func (e *Entry) breakStream(w *bufio.Writer, r *request, tokens int64) {
	body := bytes.TrimSpace(brokenFault().body(r.id))
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", body)
	_ = w.Flush()
	e.endStream(r, usage.Incomplete, tokens, false)
}

func (e *Entry) endStream(r *request, outcome usage.Outcome, tokens int64, met bool) {
	r.tokens += tokens
	if outcome != usage.Done {
		r.wasted += tokens
	}
	e.settle(r, outcome, met)
}

// settle counts a request once, under its one outcome.
func (e *Entry) settle(r *request, outcome usage.Outcome, met bool) {
	if r.settled {
		return
	}
	r.settled = true
	now := time.Now()
	count := usage.Count{Requests: 1, Tokens: r.tokens, Wasted: r.wasted}
	if met {
		count.Attained = 1
	}
	class := r.class.Name
	e.book.Add(e.usageKey(r, outcome), count)
	if r.sent {
		e.book.Add(e.usageKey(r, usage.SettledAfterSend), usage.Count{Requests: 1})
	}
	if r.opened {
		e.book.Add(e.usageKey(r, usage.Open), usage.Count{Requests: -1})
	}
	if outcome != usage.Invalid && outcome != usage.Cancelled {
		e.burn.Add(now, class, met)
	}
	e.scope.Tagged(map[string]string{
		"class": class, "partner": r.member.partner, "outcome": string(outcome),
	}).Counter("requests").Inc(1)
	if e.log.IsDebugEnabled() {
		e.log.With("request", r.id).Debugf("%s after %v", outcome, now.Sub(r.arrived))
	}
}

// open counts a request as in progress until it is settled.
func (e *Entry) open(r *request) {
	r.opened = true
	e.book.Add(e.usageKey(r, usage.Open), usage.Count{Requests: 1})
}

func (e *Entry) usageKey(r *request, outcome usage.Outcome) usage.Key {
	return usage.Key{Entry: e.process, Partner: r.member.partner, Team: r.member.team.Name, Class: r.class.Name, Outcome: outcome}
}

// writeModels lists the models in the published form.
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
	data, _ := json.Marshal(list) // Plain structs always encode.
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequest, id)
	ctx.SetBody(data)
}
