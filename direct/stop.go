package direct

import (
	"context"
	"net/http"
	"time"

	"cactustide/place"
	"cactustide/rules"
)

const (
	// unreadyPeriod is how long a stopping entry still serves new requests, so that
	// the load balancer, which probes each second and removes an entry after two
	// failures, stops sending to it.
	unreadyPeriod = 2500 * time.Millisecond
	// unreadyFraction is the largest fraction of a short grace period for that.
	unreadyFraction = 0.7
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// stopMargin is the longest time between the end of the requests in progress and the
	// kill, stopMarginFraction its fraction of a short grace period.
	stopMargin         = 400 * time.Millisecond
	stopMarginFraction = 0.125
	// forecastMargin multiplies the forecast of a request's duration.
	forecastMargin = 1.5
)

// stopPlan divides the grace period of a planned stop.
type stopPlan struct {
	// refuseAt is when the entry begins to refuse all new requests. Until then it takes
	// those that have room before endAt.
	refuseAt time.Time
	// endAt is when the requests still in progress are ended.
	endAt time.Time
	// killAt is the end of the grace period.
	killAt time.Time
}

func newStopPlan(now time.Time, grace time.Duration) *stopPlan {
	killAt := now.Add(grace)
	endAt := killAt.Add(-min(stopMargin, time.Duration(stopMarginFraction*float64(grace))))
	refuseAt := now.Add(min(unreadyPeriod, time.Duration(unreadyFraction*float64(grace)).Round(time.Millisecond)))
	return &stopPlan{refuseAt: refuseAt, endAt: endAt, killAt: killAt}
}

// hasRoom reports whether a new request can be answered before the requests in progress are
// ended: within its own time limit, or with a margin by the forecast.
func (p *stopPlan) hasRoom(now time.Time, q *request, f place.Forecast) bool {
	if p == nil || !q.deadline.After(p.endAt) {
		return true
	}
	expected := f.TimeToFirst
	if q.route.Kind == rules.KindStream {
		expected = f.TimeToLast
	}
	return expected > 0 && now.Add(time.Duration(forecastMargin*float64(expected))).Before(p.endAt)
}

// Drain makes the readiness check fail and serves new requests that have room until the load
// balancer has noticed. Then it refuses them and waits for those in progress; the ones that
// are left at the end get an answer that promises nothing, all within the grace period. The
// listener stays open meanwhile: a caller moves to another entry sooner after a refusal than
// after a refused connection.
func (e *Entry) Drain(grace time.Duration) {
	now := time.Now()
	plan := newStopPlan(now, grace)
	e.stopPlan.Store(plan)
	e.stopping.Store(true)
	e.log.With("refuse", plan.refuseAt.Sub(now).Milliseconds()).With("end", plan.endAt.Sub(now).Milliseconds()).
		With("requests", e.active.Load()).Infof("draining; not ready any more")
	e.callerConns.sweep(now, 0, 0)
	time.Sleep(time.Until(plan.refuseAt))
	e.refusing.Store(true)
	e.log.With("late", time.Since(plan.refuseAt).Milliseconds()).With("requests", e.active.Load()).Infof("refusing new requests")
	e.waitIdle(plan.endAt)
	e.log.With("left", time.Until(plan.killAt).Milliseconds()).With("requests", e.active.Load()).Infof("drained")
	if n := e.active.Load(); n > 0 {
		e.log.With("requests", n).Warnf("drain timed out; ending the requests in progress")
		e.endRequests()
		e.waitIdle(plan.endAt.Add(plan.killAt.Sub(plan.endAt) / 2))
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainPollInterval)
	defer cancel()
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.Infof("closing connections at the end of the drain: %v", err)
	}
}

// waitIdle waits until no request is in progress, or until a time.
func (e *Entry) waitIdle(until time.Time) {
	for e.active.Load() > 0 && time.Now().Before(until) {
		time.Sleep(min(drainPollInterval, time.Until(until)))
	}
}

// requestContext returns a context that ends when the caller leaves or when the stop ends
// the requests in progress.
func (e *Entry) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(e.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// abandon ends a request whose context has ended. One that the stop ended gets an answer,
// unless part of the response was sent. A caller that left gets none: without an answer the
// HTTP server would send an empty success, and the caller may still read.
func (e *Entry) abandon(w http.ResponseWriter, q *request, state *forwardState) {
	if e.ending.Err() != nil {
		e.fail(w, q, state, http.StatusServiceUnavailable, reasonStopping)
		return
	}
	e.logResult(q, 0, outcomeDisconnected, nil)
	panic(http.ErrAbortHandler)
}
