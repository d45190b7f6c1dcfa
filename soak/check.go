package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cactustide/platform/stand"
)

// exchange is a caller's request and the response to it.
type exchange struct {
	id string
	// entry is the number of the entry that got the request.
	entry     int
	routeName string
	status    int
	body      string
	signature string
	// complete is set when the whole body was read without an error.
	complete bool
	sentAt   time.Time
	endedAt  time.Time
	duration time.Duration
	// leaving is the id of an upstream that said in the response that it is leaving.
	leaving string
	// limited is the id of an upstream that named a limit in the response.
	limited string
	// resumes is the id of the attempt that began the stream with which the request goes on,
	// events the number of its events that the caller has; versions are those of the upstreams
	// that wrote events of the response.
	resumes  string
	events   int
	versions map[string]bool
	// probed is set for a probe: the route that it asked for.
	probed *probedRoute
	// cancelled is set when the caller cancels the request early.
	cancelled bool
	// undisturbed is set when the caller did not cancel and its entry had no fault,
	// nor one less than settleTime before.
	undisturbed bool
}

// history records the exchanges of all callers.
type history struct {
	mu        sync.Mutex
	exchanges []exchange
}

func (h *history) add(ex exchange) {
	h.mu.Lock()
	h.exchanges = append(h.exchanges, ex)
	h.mu.Unlock()
}

func (h *history) all() []exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]exchange(nil), h.exchanges...)
}

// runsByID holds the runs of each request at all upstreams, by request id.
type runsByID map[string][]stand.ExecutedRequest

// Violation is a guarantee that was not kept.
type Violation struct {
	Check string
	Text  string
}

// String formats the violation as one line.
func (v Violation) String() string { return v.Check + ": " + v.Text }

// fullStream returns the body of a complete stream.
func fullStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(stand.EventOf(id, n))
	}
	return b.String()
}

// timeoutTolerance is how much longer than its route's timeout an exchange may take.
const timeoutTolerance = 500 * time.Millisecond

// check compares the callers' exchanges with the runs at the upstreams. It relies
// only on the published guarantees and uses none of the router's code.
func check(exchanges []exchange, runs runsByID, routes map[string]stand.Route, events int) []Violation {
	var violations []Violation
	add := func(name, format string, args ...any) {
		violations = append(violations, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	}
	sentIDs := map[string]bool{}
	for _, ex := range exchanges {
		sentIDs[ex.id] = true
		n := len(runs[ex.id])
		r := routes[ex.routeName]
		if ex.probed != nil {
			r = ex.probed.Route // Which refusals are right is judged with the response.
		}
		atMostOnce := r.Kind != "idempotent" && !r.Resumable
		if atMostOnce && n > 1 {
			add("once", "%s %s ran %d times", ex.routeName, ex.id, n)
		}
		if n > 0 && (ex.status == 503 || ex.status == 429 || ex.status == 408 || ex.status == 421) && ex.complete {
			add("refused", "%s %s got status %d and ran %d times", ex.routeName, ex.id, ex.status, n)
		}
		if ex.probed == nil && (ex.status == 401 || ex.status == 403 || ex.status == 404 || ex.status == 400 || ex.status == 413 || ex.status == 431) {
			add("denied", "%s %s got status %d", ex.routeName, ex.id, ex.status)
		}
		if ex.status == 200 {
			checkSuccess(add, ex, runs[ex.id], r, events)
		}
		if ex.undisturbed && ex.duration > r.Timeout+timeoutTolerance {
			add("late", "%s %s took %v, the route's timeout is %v", ex.routeName, ex.id, ex.duration, r.Timeout)
		}
	}
	for id, list := range runs {
		if !sentIDs[id] {
			add("unasked", "%s ran but no caller sent it", id)
		}
		for _, run := range list {
			if got := run.Header.Get("Authorization"); got != "" {
				add("key", "%s reached an upstream with its caller's API key", id)
			}
		}
	}
	return violations
}

func checkSuccess(add func(name, format string, args ...any), ex exchange, runs []stand.ExecutedRequest, r stand.Route, events int) {
	want := stand.BodyOf(ex.id)
	if strings.HasPrefix(r.Kind, "stream") {
		want = strings.TrimPrefix(fullStream(ex.id, events), fullStream(ex.id, ex.events))
	}
	// The response of an upstream that sent a body without end may have been passed on in part.
	if endless := strings.Repeat(stand.BodyOf(ex.id), 1+len(ex.body)/len(stand.BodyOf(ex.id))); !ex.complete && strings.HasPrefix(endless, ex.body) &&
		slices.ContainsFunc(runs, func(run stand.ExecutedRequest) bool { return run.Endless }) {
		want = endless
	}
	switch {
	case ex.signature == "":
		add("signature", "%s %s succeeded without an upstream's signature", ex.routeName, ex.id)
	case ex.complete && ex.body != want:
		add("whole", "%s %s looks complete with %d bytes of %d: %q", ex.routeName, ex.id, len(ex.body), len(want), tail(ex.body))
	case !strings.HasPrefix(want, ex.body):
		add("order", "%s %s got a body that is no prefix of the expected one: %q", ex.routeName, ex.id, tail(ex.body))
	}
}

func tail(s string) string { return s[max(0, len(s)-60):] }
