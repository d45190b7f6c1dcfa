package direct

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"cactustide/fleet"
	"cactustide/place"
)

// maxUnsent bounds the upstreams tried for one request without reaching any.
const maxUnsent = 4

// entries is the number of entries that share what is shared. While few were
// heard, as after the start, the seeds count too.
func (e *Entry) entries() int { return max(e.hub.Count(time.Now()), len(e.settings.Load().Seeds)+1) }

// attempt is the state of forwarding one request.
type attempt struct {
	tried []string
	// unsent counts upstreams that could not be reached.
	unsent int
	// ran counts upstreams that may have run the request.
	ran int
	// passed is set when the caller has part of the answer.
	passed bool
	// last event that the caller has.
	last string
	// refused is set when an upstream said that it did not run the request.
	refused bool
	full    bool
}

// forward finds an upstream for a request and passes the answer on.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, q *request) {
	ctx := r.Context()
	if q.service == nil {
		e.answer(w, q, http.StatusServiceUnavailable, reasonUpstream, q.comeBack(reasonUpstream))
		return
	}
	e.budget.Seen(q.arrived, q.service.Name)
	if e.isQuarantined(q.arrived, q) {
		e.answer(w, q, http.StatusServiceUnavailable, reasonCrash, crashAfter)
		return
	}
	a := &attempt{last: q.ask.LastEventID}
	for {
		now := time.Now()
		if !now.Before(q.deadline) {
			e.giveUp(w, q, a, http.StatusGatewayTimeout, reasonTimeout)
			return
		}
		choice, ok := e.choose(now, q, a)
		if !ok {
			e.giveUp(w, q, a, http.StatusServiceUnavailable, reasonUpstream)
			return
		}
		if f := choice.Forecast; q.sends == 0 && e.model.MayRefuse(now, q.service.Name, &q.work, f) {
			q.log.With("request", q.ask.ID).With("first", f.First.Milliseconds()).With("backlog", f.Backlog.Milliseconds()).
				With("limit", q.work.Limit.Milliseconds()).Infof("refused before it was sent")
			e.answer(w, q, http.StatusServiceUnavailable, reasonBusy, max(q.comeBack(reasonBusy), q.work.RoomAfter(f)))
			return
		}
		if q.sends > 0 && !e.budget.Take(now, q.service.Name, e.entries()) {
			q.log.With("request", q.ask.ID).Infof("not repeated: the budget is spent")
			e.giveUp(w, q, a, http.StatusServiceUnavailable, reasonUpstream)
			return
		}
		if e.try(ctx, w, q, a, choice) {
			return
		}
	}
}

// choose picks the next upstream for a request.
func (e *Entry) choose(now time.Time, q *request, a *attempt) (place.Choice, bool) {
	candidates := slices.DeleteFunc(e.fleet.Candidates(now, q.service.Name), func(c fleet.Candidate) bool {
		return slices.Contains(a.tried, c.ID)
	})
	if a.unsent >= maxUnsent || len(candidates) == 0 {
		return place.Choice{}, false
	}
	choice, ok := e.model.Choose(now, q.service.Name, candidates, &q.work)
	if !ok {
		return place.Choice{}, false
	}
	f := choice.Forecast
	q.expected = f.First
	q.log.With("request", q.ask.ID).With("upstream", choice.Upstream.ID).With("version", q.version).
		With("revision", choice.Upstream.Revision).With("candidates", len(candidates)).
		With("first", f.First.Milliseconds()).With("cached", f.Cached).With("backlog", f.Backlog.Milliseconds()).With("last", f.Last.Milliseconds()).
		With("running", f.Running).With("tier", q.tier).With("cost", strconv.FormatFloat(f.Cost, 'f', 3, 64)).Infof("sending")
	return choice, true
}

// try sends the request to one upstream and reports whether it is settled.
func (e *Entry) try(ctx context.Context, w http.ResponseWriter, q *request, a *attempt, choice place.Choice) bool {
	to := choice.Upstream
	a.tried = append(a.tried, to.ID)
	ticket := e.model.Start(time.Now(), q.service.Name, to, &q.work)
	id := e.tellSent(to, q)
	defer func() {
		ticket.Finish(time.Now())
		e.hub.TellEnded(id)
	}()
	x, failed := e.send(ctx, q, to, a.last)
	if failed != nil {
		return e.settleFailure(ctx, w, q, a, to, failed)
	}
	q.sends++
	now := time.Now()
	if x.reply.Slots > 0 {
		e.model.Heard(now, to.ID, x.reply.Running, x.reply.Waiting)
	}
	if isRefusal(x) {
		return e.settleRefusal(q, a, x)
	}
	a.ran++
	streams := isEvents(x.resp.Header) && x.resp.StatusCode == http.StatusOK
	if a.passed && !streams {
		return e.settleNoResume(w, q, a, x)
	}
	if x.resp.StatusCode >= http.StatusInternalServerError {
		e.record(now, to, true)
		if e.mayRepeat(q, a) {
			q.log.With("request", q.ask.ID).With("upstream", to.ID).With("status", x.resp.StatusCode).Infof("failed there; trying another")
			x.drainSmall()
			return false
		}
	}
	if streams {
		return e.passStream(ctx, w, q, a, x, ticket)
	}
	return e.passWhole(ctx, w, q, a, x, ticket)
}

// mayRepeat reports whether the request may run at one more upstream.
func (e *Entry) mayRepeat(q *request, a *attempt) bool {
	return q.route.MayRepeat() && !a.passed && a.ran < q.route.Tries &&
		e.budget.Left(time.Now(), q.service.Name, e.entries()) >= 1
}

// mayResume reports whether the stream may go on at another upstream.
func (e *Entry) mayResume(q *request, a *attempt) bool {
	return q.route.Resumable && a.ran < q.route.Tries &&
		e.budget.Left(time.Now(), q.service.Name, e.entries()) >= 1
}

// isRefusal reports whether the upstream did not run the request.
func isRefusal(x *exchange) bool {
	return x.reply.NotExecuted || x.resp.StatusCode == http.StatusMisdirectedRequest
}

// settleNoResume goes on after an upstream that did not resume a stream of which
// the caller has a part.
func (e *Entry) settleNoResume(w http.ResponseWriter, q *request, a *attempt, x *exchange) bool {
	q.log.With("request", q.ask.ID).With("upstream", x.to.ID).With("status", x.resp.StatusCode).Infof("stream not resumed there")
	e.record(time.Now(), x.to, x.resp.StatusCode >= http.StatusInternalServerError)
	x.drainSmall()
	if e.mayResume(q, a) {
		return false
	}
	e.giveUp(w, q, a, http.StatusBadGateway, reasonBroken)
	return true
}

// settleRefusal goes on to another upstream after one that did not run the
// request.
func (e *Entry) settleRefusal(q *request, a *attempt, x *exchange) bool {
	q.log.With("request", q.ask.ID).With("upstream", x.to.ID).With("status", x.resp.StatusCode).
		With("running", x.reply.Running).With("waiting", x.reply.Waiting).Infof("not run there")
	if x.resp.StatusCode == http.StatusMisdirectedRequest {
		// Another process has the address.
		e.ban(time.Now(), x.to, nil)
	} else {
		a.full = true
	}
	a.refused = true
	x.drainSmall()
	return false
}

// drainSmall reads the rest of a small answer so that the connection can be
// used again.
func (x *exchange) drainSmall() {
	if _, whole, err := x.readWhole(); err != nil || !whole {
		x.drop()
		return
	}
	x.finish()
}

// settleFailure decides what follows an exchange without an answer.
func (e *Entry) settleFailure(ctx context.Context, w http.ResponseWriter, q *request, a *attempt, to fleet.Upstream, f *failure) bool {
	now := time.Now()
	line := q.log.With("request", q.ask.ID).With("upstream", to.ID).With("sent", f.sent).With("error", f.err.Error())
	if ctx.Err() != nil {
		if f.sent {
			q.sends++
			e.noteSilence(now, q, to, q.arrived)
		}
		e.logEnd(q, 0, outcomeLeft, nil)
		return true
	}
	if f.away {
		line = line.With("ban", e.ban(now, to, f.err).Milliseconds())
	}
	if !f.sent {
		line.Infof("not reached")
		a.unsent++
		a.full = a.full || f.full
		return false
	}
	line.Infof("no answer")
	q.sends++
	a.ran++
	if isTimeout(f.err) && !now.Before(q.deadline) {
		e.noteSilence(now, q, to, q.arrived)
		e.giveUp(w, q, a, http.StatusGatewayTimeout, reasonTimeout)
		return true
	}
	e.noteBreak(now, q, to)
	if e.mayRepeat(q, a) || e.mayResume(q, a) {
		return false
	}
	e.giveUp(w, q, a, http.StatusBadGateway, reasonBroken)
	return true
}

// silentTargets is the number of latency targets without a sign after which an
// upstream has failed a request that nobody waits for any more.
const silentTargets = 2

// noteSilence records a failure if the upstream had shown nothing for long when
// the wait for it ended.
func (e *Entry) noteSilence(now time.Time, q *request, to fleet.Upstream, since time.Time) {
	if now.Sub(since) > max(time.Second, silentTargets*q.route.Target) {
		e.record(now, to, true)
	}
}

// giveUp gives the final answer of a request that no upstream answered.
func (e *Entry) giveUp(w http.ResponseWriter, q *request, a *attempt, status int, reason string) {
	if a.passed {
		e.logEnd(q, http.StatusOK, "broken off: "+reason, nil)
		panic(http.ErrAbortHandler) // The caller sees that the answer is not whole.
	}
	if a.ran > 0 && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway // It may have run, so no promise.
	}
	if a.full && reason == reasonUpstream {
		reason = reasonFull
	}
	e.answer(w, q, status, reason, q.comeBack(reason))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isAway reports whether an error shows that the host gives no sign of life.
func isAway(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
