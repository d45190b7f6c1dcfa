package direct

import (
	"net/http"
	"strconv"
	"time"

	"cactustide/quota"
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
	if limit, changed := e.quota.Observe(time.Now(), q.sentAt, quota.KeyOf(x.to), x.info.Rate, x.info.NamesRate); changed {
		e.logRate(q.info.ID, limit)
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
	logger.With("rate", strconv.FormatFloat(l.Rate, 'g', 6, 64)).Infof("upstream names the rate of requests that it takes")
	e.scope.Tagged(tags).Counter("rates_named").Inc(1)
}

// countLimitedSend counts a request that is sent to an upstream that names a rate.
func (e *Entry) countLimitedSend(q *request, key quota.Key) {
	limit, ok := e.quota.Find(key)
	if !ok || limit.Rate == 0 {
		return
	}
	e.scope.Tagged(map[string]string{"upstream": key.Upstream}).Counter("limited_sends").Inc(1)
	q.log.With("request", q.info.ID).With("upstream", key.Upstream).With("rate", strconv.FormatFloat(limit.Rate, 'g', 6, 64)).
		With("source", string(limit.Source)).With("age", time.Since(limit.At).Milliseconds()).Infof("sent to an upstream that names a rate")
}

// isCurrent reports whether a process is the registered one of its upstream.
func (e *Entry) isCurrent(key quota.Key) bool {
	u, ok := e.fleet.Find(key.Upstream)
	return ok && u.StartedAt == key.StartedAt
}
