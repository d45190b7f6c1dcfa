package direct

import (
	"context"
	"time"

	"cactustide/fleet"
	"cactustide/wire"
)

// recordLeaving records that a process of an upstream is leaving. What is new is passed
// on to the other entries.
func (e *Entry) recordLeaving(d fleet.Departure) {
	if !e.fleet.MarkLeaving(d) {
		return
	}
	now := time.Now()
	if u, ok := e.fleet.Find(d.Upstream); ok {
		e.pool.CloseIdle(u.Address)
	}
	e.scope.Tagged(map[string]string{"source": string(d.Source)}).Counter("leaving").Inc(1)
	e.log.With("upstream", d.Upstream).With("born", d.StartedAt).With("source", string(d.Source)).With("age", now.Sub(d.At).Milliseconds()).
		Infof("upstream is leaving; it gets no more requests until it has restarted")
	e.gossiper.BroadcastLeaving(encodeDeparture(now, d))
}

func encodeDeparture(now time.Time, d fleet.Departure) *wire.Departure {
	return &wire.Departure{Upstream: d.Upstream, Born: d.StartedAt, Ago: max(0, now.Sub(d.At).Milliseconds())}
}

// mergeDepartures merges what a peer knows about leaving upstreams.
func (e *Entry) mergeDepartures(now time.Time, list []*wire.Departure) {
	for _, d := range list {
		e.recordLeaving(fleet.Departure{Upstream: d.GetUpstream(), StartedAt: d.GetBorn(), Source: fleet.SourcePeer, At: timeAgo(now, d.GetAgo())})
	}
}

// pauseWaitFraction bounds the wait for a paused upstream, as a fraction of the latency
// target: a request that is answered after it is still on time.
const pauseWaitFraction = 0.5

// waitForResume waits until a paused upstream takes requests again, if that is soon, and
// reports whether the request should be tried again.
func (e *Entry) waitForResume(ctx context.Context, now time.Time, q *request, state *forwardState) bool {
	resume, ok := e.fleet.NextResume(now, q.service.Name, q.origin.Release)
	if !ok || state.unreached >= maxUnreached {
		return false
	}
	wait := resume.Sub(now)
	limit := time.Duration(pauseWaitFraction * float64(q.route.LatencyTarget))
	if state.waited+wait > limit || resume.After(q.deadline) {
		state.resumesAt = resume
		return false
	}
	state.waited += wait
	q.log.With("request", q.info.ID).With("wait", wait.Milliseconds()).Infof("all upstreams are paused; waiting for the first one")
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	if state.executed == 0 {
		state.tried = nil // Those tried refused the request or were not reached.
	}
	return true
}

// logNoUpstream logs what kept the request from each kind of upstream.
func (e *Entry) logNoUpstream(now time.Time, q *request, state *forwardState) {
	c := e.fleet.Census(now, q.service.Name)
	q.log.With("request", q.info.ID).With("service", q.service.Name).With("registered", c.Registered).With("draining", c.Draining).
		With("leaving", c.Leaving).With("paused", c.Paused).With("lapsed", c.Lapsed).With("banned", c.Banned).
		With("limited", len(state.passed)).With("without", namesOf(state.passed)).With("tried", len(state.tried)).With("unreached", state.unreached).With("executed", state.executed).Infof("no upstream can take the request")
}
