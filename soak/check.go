package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cactustide/platform/stand"
)

// attempt is what one caller saw of one request.
type attempt struct {
	id     string
	kind   string
	status int
	body   string
	sign   string
	// whole says that the answer ended as complete.
	whole bool
	sent  time.Time
	took  time.Duration
	// left says that the caller gave up.
	left bool
	// calm says that its entry was neither paused nor stopped meanwhile.
	calm bool
}

// history is all that callers saw.
type history struct {
	mu       sync.Mutex
	attempts []attempt
}

func (h *history) add(a attempt) {
	h.mu.Lock()
	h.attempts = append(h.attempts, a)
	h.mu.Unlock()
}

func (h *history) all() []attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]attempt(nil), h.attempts...)
}

// ran is how often upstreams ran each request, by id.
type ran map[string][]stand.ExecutedRequest

// Violation is a broken promise.
type Violation struct {
	Check string
	Text  string
}

// String formats the violation as one line.
func (v Violation) String() string { return v.Check + ": " + v.Text }

// events of a whole stream, and of the part after the events that came before.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(stand.EventOf(id, n))
	}
	return b.String()
}

// timeSlack is how much later than its route's time-out a final answer may come.
const timeSlack = 500 * time.Millisecond

// check compares what callers saw with what upstreams ran. It knows the
// promises alone, none of the product's code.
func check(attempts []attempt, runs ran, routes map[string]stand.Route, events int) []Violation {
	var found []Violation
	add := func(name, format string, args ...any) {
		found = append(found, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	}
	known := map[string]bool{}
	for _, a := range attempts {
		known[a.id] = true
		n := len(runs[a.id])
		r := routes[a.kind]
		once := r.Kind != "idempotent" && !r.Resumable
		if once && n > 1 {
			add("once", "%s %s ran %d times", a.kind, a.id, n)
		}
		if n > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && a.whole {
			add("refused", "%s %s was answered %d and ran %d times", a.kind, a.id, a.status, n)
		}
		if a.status == 401 || a.status == 403 || a.status == 404 || a.status == 400 || a.status == 413 || a.status == 431 {
			add("denied", "%s %s was answered %d", a.kind, a.id, a.status)
		}
		if a.status == 200 {
			checkSuccess(add, a, r, events)
		}
		if a.calm && a.took > r.Timeout+timeSlack {
			add("late", "%s %s had its final answer after %v, the route's time-out is %v", a.kind, a.id, a.took, r.Timeout)
		}
	}
	for id, list := range runs {
		if !known[id] {
			add("unasked", "%s ran and no caller sent it", id)
		}
		for _, run := range list {
			if got := run.Header.Get("Authorization"); got != "" {
				add("key", "%s reached an upstream with its caller's key", id)
			}
		}
	}
	return found
}

func checkSuccess(add func(name, format string, args ...any), a attempt, r stand.Route, events int) {
	want := stand.BodyOf(a.id)
	if strings.HasPrefix(r.Kind, "stream") {
		want = wholeStream(a.id, events)
	}
	switch {
	case a.sign == "":
		add("signature", "%s %s succeeded without an upstream's signature", a.kind, a.id)
	case a.whole && a.body != want:
		add("whole", "%s %s looks complete with %d bytes of %d: %q", a.kind, a.id, len(a.body), len(want), tail(a.body))
	case !strings.HasPrefix(want, a.body):
		add("order", "%s %s got other bytes than its own: %q", a.kind, a.id, tail(a.body))
	}
}

func tail(s string) string { return s[max(0, len(s)-60):] }
