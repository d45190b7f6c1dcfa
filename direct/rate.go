package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cactustide/fleet"
	"cactustide/quota"
	"cactustide/wire"
)

const (
	// seedTime is how long after its start an entry counts the seeds as entries that may hand
	// out turns, also those of which it has heard nothing. One that has met no other entry cannot
	// tell that it is alone and counts them for longer.
	seedTime = time.Minute
	// recheckTime is the shortest time after which a waiting request asks for a turn again.
	recheckTime = 5 * time.Millisecond
	// endedLimitTime is how long the end of a limit is told to others in turn.
	endedLimitTime = time.Minute
)

// recordRate records the rate that the upstream names in its response, or that it names none.
func (x *exchange) recordRate(q *request) {
	e := x.entry
	if x.info.InvalidRate != "" {
		e.log.With("request", q.info.ID).With("upstream", x.to.ID).Warnf("ignored a rate that is no number of requests per second: %.60s", x.info.InvalidRate)
		e.scope.Counter("invalid_rates").Inc(1)
		return
	}
	// A response without the request's id may be that of another process, as one with 421 is.
	if x.info.ID != q.info.ID || x.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	// A failure on the way to the upstream does not say that it names no rate.
	if !x.info.NamesRate && !x.info.Signed && !x.info.NotExecuted {
		return
	}
	now := time.Now()
	if limit, changed := e.quota.Observe(now, q.sentAt, quota.KeyOf(x.to), x.info.Rate, x.info.NamesRate); changed {
		e.logRate(q.info.ID, limit)
		e.gossiper.BroadcastLimit(encodeLimit(now, limit))
	}
}

// logRate logs that the rate of an upstream has changed. request is the id of the request
// whose response said so, if any.
func (e *Entry) logRate(request string, l quota.Limit) {
	logger := e.log.With("upstream", l.Upstream).With("born", l.StartedAt).With("source", string(l.Source)).With("change", l.Version)
	if request != "" {
		logger = logger.With("request", request)
	}
	tags := map[string]string{"source": string(l.Source)}
	if l.Rate == 0 {
		logger.Infof("upstream names no rate any more")
		e.scope.Tagged(tags).Counter("rates_ended").Inc(1)
		return
	}
	logger.With("rate", formatRate(l.Rate)).Infof("upstream names the rate of requests that it takes")
	e.scope.Tagged(tags).Counter("rates_named").Inc(1)
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 6, 64) }

// takeTurn uses a turn for a request that is about to be sent, if the upstream names a rate,
// and reports whether it may be sent.
func (e *Entry) takeTurn(now time.Time, q *request, to fleet.Upstream) bool {
	key := quota.KeyOf(to)
	if !e.quota.Take(now, key, q.turn) {
		return false
	}
	if q.turn == key {
		q.turn = quota.Key{}
	}
	if limit, ok := e.quota.Find(key); ok && limit.Rate > 0 {
		e.scope.Tagged(map[string]string{"upstream": key.Upstream}).Counter("limited_sends").Inc(1)
		q.log.With("request", q.info.ID).With("upstream", key.Upstream).With("rate", formatRate(limit.Rate)).
			With("source", string(limit.Source)).With("age", now.Sub(limit.At).Milliseconds()).Infof("sent to an upstream that names a rate")
	}
	return true
}

// returnTurn gives back the turn of a request that has not used it.
func (e *Entry) returnTurn(q *request) {
	if q.turn != (quota.Key{}) {
		e.quota.GiveBack(time.Now(), q.turn)
		q.turn = quota.Key{}
	}
}

// quotaFleet returns what the entry knows of the entries.
func (e *Entry) quotaFleet(now time.Time) quota.Fleet {
	members := e.gossiper.Members()
	known := members.Known(now)
	if now.Sub(e.createdAt) < seedTime || !members.HasMet() {
		known = max(known, len(e.settings.Load().Seeds)+1)
	}
	return quota.Fleet{
		Self: e.settings.Load().Peer, Version: members.Version(), Count: members.Count(now), Known: known, StartedAt: e.createdAt,
		Alive: func() []string {
			var list []string
			for _, m := range members.Alive(now) {
				list = append(list, m.Address)
			}
			return list
		},
	}
}

// askForTurns asks for turns at the processes that were passed over.
func (e *Entry) askForTurns(now time.Time, service string, passed []quota.Key) {
	asks := e.quota.Asks(now, e.settings.Load().Peer, service, passed)
	if len(asks) == 0 {
		return
	}
	known := e.quotaFleet(now)
	for _, ask := range asks {
		owner := e.quota.OwnerOf(now, ask.Limit.Key, known)
		if owner == known.Self {
			e.useAnswer(now, e.quota.Grant(now, ask, known))
			continue
		}
		e.gossiper.SendAsk(owner, &wire.TurnAsk{Limit: encodeLimit(now, ask.Limit), Count: uint32(ask.Count), Number: ask.Number, Within: uint32(ask.Within.Milliseconds())})
	}
}

// handleTurnAsk answers a peer's request for turns.
func (e *Entry) handleTurnAsk(now time.Time, address string, a *wire.TurnAsk) {
	limit, ok := decodeLimit(a.GetLimit())
	if !ok || address == "" {
		return
	}
	answer := e.quota.Grant(now, quota.Ask{From: address, Limit: limit, Count: int(a.GetCount()), Number: a.GetNumber(), Within: time.Duration(a.GetWithin()) * time.Millisecond}, e.quotaFleet(now))
	e.scope.Counter("turn_asks").Inc(1)
	e.gossiper.SendAnswer(address, &wire.TurnAnswer{
		Limit: encodeLimit(now, answer.Limit), Number: answer.Number, Count: uint32(answer.Count),
		First: uint32(answer.First.Milliseconds()), Last: uint32(answer.Last.Milliseconds()), Retry: uint32(answer.Retry.Milliseconds()),
	})
}

// handleTurnAnswer uses the turns that a peer has granted.
func (e *Entry) handleTurnAnswer(now time.Time, a *wire.TurnAnswer) {
	limit, ok := decodeLimit(a.GetLimit())
	if !ok {
		return
	}
	e.mergeLimit(now, limit, false)
	e.useAnswer(now, quota.Answer{
		Limit: limit, Number: a.GetNumber(), Count: int(a.GetCount()),
		First: time.Duration(a.GetFirst()) * time.Millisecond, Last: time.Duration(a.GetLast()) * time.Millisecond,
		Retry: time.Duration(a.GetRetry()) * time.Millisecond,
	})
}

// useAnswer records an answer. When its turns begin, requests that wait get them.
func (e *Entry) useAnswer(now time.Time, a quota.Answer) {
	e.serveLater(now, a.Limit.Key, e.quota.HandleAnswer(now, a))
}

// serveLater hands turns to the requests that wait when the next turn begins, and when each
// one after it does.
func (e *Entry) serveLater(now time.Time, key quota.Key, next time.Time) {
	if next.IsZero() {
		return
	}
	time.AfterFunc(next.Sub(now), func() {
		now := time.Now()
		e.serveLater(now, key, e.quota.ServeWaiters(now, key))
	})
}

// waitForTurn waits for a turn at one of the upstreams that were passed over, if it comes
// soon, and reports whether the request should choose again.
func (e *Entry) waitForTurn(ctx context.Context, now time.Time, q *request, state *forwardState) bool {
	state.turnAt = time.Time{}
	if len(state.passed) == 0 || state.unreached >= maxUnreached {
		return false
	}
	limit := time.Duration(pauseWaitFraction*float64(q.route.LatencyTarget)) - state.waited
	begin, end := now, now.Add(limit)
	if end.After(q.deadline) {
		end = q.deadline
	}
	waiter := e.quota.Wait(now, q.service.Name, q.owner.Team, q.tier, state.passed, max(0, end.Sub(now)))
	if waiter == nil {
		state.turnAt = end
		return false
	}
	defer func() { e.quota.Leave(time.Now(), waiter) }()
	e.scope.Counter("limited_waits").Inc(1)
	q.log.With("request", q.info.ID).With("limited", len(state.passed)).With("most", limit.Milliseconds()).Infof("waiting for a turn at an upstream that names a rate")
	for {
		e.askForTurns(now, q.service.Name, state.passed)
		next := end
		if at, known := e.quota.NextTurn(now, state.passed); known {
			if !at.After(now) {
				state.waited += now.Sub(begin)
				return true // A limit has ended, or a turn is there.
			}
			state.turnAt = at
			next = at
		}
		if !now.Before(end) || next.After(end) {
			if state.turnAt.Before(now) {
				state.turnAt = now.Add(minRetryAfter) // No answer has come.
			}
			return false
		}
		select {
		case <-ctx.Done():
			return true
		case q.turn = <-waiter.Turn:
			state.waited += time.Since(begin)
			if state.executed == 0 {
				state.tried = nil // Those tried refused the request or were not reached.
			}
			return true
		case <-waiter.News:
		case <-time.After(max(recheckTime, next.Sub(now))):
		}
		now = time.Now()
	}
}

// maxNames bounds the upstreams that a log line names.
const maxNames = 4

// namesOf returns the ids of the first few upstreams.
func namesOf(keys []quota.Key) []string {
	names := []string{}
	for _, key := range keys[:min(len(keys), maxNames)] {
		names = append(names, key.Upstream)
	}
	return names
}

// spread lengthens a time by up to a half, so that callers do not return together.
func spread(d time.Duration) time.Duration {
	return time.Duration((1 + rand.Float64()/2) * float64(max(0, d)))
}

func encodeLimit(now time.Time, l quota.Limit) *wire.Limit {
	return &wire.Limit{Upstream: l.Upstream, Born: l.StartedAt, Rate: l.Rate, Version: l.Version, Ago: max(0, now.Sub(l.At).Milliseconds())}
}

// decodeLimit returns the limit in a message, or false if it is none.
func decodeLimit(l *wire.Limit) (quota.Limit, bool) {
	limit := quota.Limit{Key: quota.Key{Upstream: l.GetUpstream(), StartedAt: l.GetBorn()}, Rate: l.GetRate(), Version: l.GetVersion(), Source: fleet.SourcePeer}
	return limit, limit.Upstream != "" && limit.Version > 0 && limit.Rate >= 0
}

// mergeLimits merges what a peer knows of limits.
func (e *Entry) mergeLimits(now time.Time, list []*wire.Limit, spread bool) {
	for _, l := range list {
		if limit, ok := decodeLimit(l); ok {
			e.mergeLimit(now, limit, spread)
		}
	}
}

// mergeLimit merges what a peer knows of a limit. What is new is logged and, where not all
// entries hear each other, passed on.
func (e *Entry) mergeLimit(now time.Time, limit quota.Limit, spread bool) {
	if !e.quota.Merge(now, limit) {
		return
	}
	merged, _ := e.quota.Find(limit.Key)
	e.logRate("", merged)
	if spread {
		e.gossiper.BroadcastLimit(encodeLimit(now, merged))
	}
}

// limitsInTurn returns up to n limits for a message to peers, in turn.
func (e *Entry) limitsInTurn(now time.Time, n int) []*wire.Limit {
	list := e.quota.Limits()
	var chosen []*wire.Limit
	for range len(list) {
		if len(chosen) >= n {
			break
		}
		e.limitCursor = (e.limitCursor + 1) % len(list)
		if l := list[e.limitCursor]; l.Rate > 0 || now.Sub(l.At) < endedLimitTime {
			chosen = append(chosen, encodeLimit(now, l))
		}
	}
	return chosen
}

// rateStatus returns the use of the rate that a process names; nil if it never named one.
func (e *Entry) rateStatus(now time.Time, key quota.Key) *wire.RateStatus {
	use, ok := e.quota.Use(now, key)
	if !ok {
		return nil
	}
	return &wire.RateStatus{
		Rate: use.Rate, Source: string(use.Source), Age: now.Sub(use.At).Seconds(), Version: use.Version,
		Owner: e.quota.OwnerOf(now, key, e.quotaFleet(now)), Turns: uint32(use.Turns), Sent: use.Sent, Received: use.Received,
		Passed: use.PassedOver, Granted: use.Granted,
	}
}

// isCurrent reports whether a process is the registered one of its upstream.
func (e *Entry) isCurrent(key quota.Key) bool {
	u, ok := e.fleet.Find(key.Upstream)
	return ok && u.StartedAt == key.StartedAt
}
