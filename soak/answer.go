package soak

import (
	"fmt"
	"strings"
	"time"

	"cactustide/platform/stand"
)

const (
	// leavingMargin is how long after a caller got a response of a leaving upstream the
	// entry may still send to that process requests that came later.
	leavingMargin = time.Second
	// pauseMargin is how long after a refusal with Retry-After requests may still arrive,
	// and pausedArrivals the number of those that may arrive after it.
	pauseMargin    = 500 * time.Millisecond
	pausedArrivals = 2
)

// injectAnswers injects the faults in what upstreams and other writers say.
func (r *runner) injectAnswers() {
	begin := time.Now()
	for n, s := range NewAnswers(r.opts.Seed, r.opts.FaultDuration, len(r.upstreams)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		u := r.upstreams[s.Target]
		switch s.Kind {
		case "leaving":
			r.sayLeaving(u, s.Duration)
		case "odd":
			r.store.Put(fmt.Sprintf("servers/odd-%d", n), oddRegistration(n))
		default:
			u.SetFault(func(string) stand.Fault { return stand.Fault(s.Kind) })
			r.runAfter(s.Duration, func() { u.SetFault(nil) })
		}
	}
}

// sayLeaving makes a process say in its responses that it is leaving while it stays
// registered as ready. Later another process takes its place.
func (r *runner) sayLeaving(u *upstream, duration time.Duration) {
	u.changing.Lock()
	u.SetLeaving(true)
	u.changing.Unlock()
	r.runAfter(duration+leavingMargin, func() {
		u.SetLeaving(false)
		r.restartUpstream(u)
	})
}

// oddRegistration returns a value of another writer that names no upstream.
func oddRegistration(n int) []byte {
	field := func(address, slots string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","slots":%s,"state":"ready","seq":1,"born":1}`, service, address, slots)
	}
	values := []string{
		strings.Repeat("[", 100_000), field("127.0.0.1:70000", "4"), field("127.0.0.1:0", "4"), field("0.0.0.0:80", "4"),
		field("127.0.0.1:9", "1e400"), field("127.0.0.1:9", "9007199254740993"), "\xff\xfe", strings.Repeat("x", 200_000),
	}
	return []byte(values[n%len(values)])
}

// checkArrivals checks which requests reached one process of an upstream after it had said
// that it is leaving, or had asked for a pause. byID holds the callers' exchanges.
func (r *runner) checkArrivals(process *stand.Replica, byID map[string]exchange) {
	// told is when each entry had passed on that the process is leaving.
	told := map[int]time.Time{}
	arrivals := process.Arrivals()
	for _, a := range arrivals {
		ex, ok := byID[a.ID]
		if at, known := told[ex.entry]; ok && ex.leaving == process.ID && (!known || ex.endedAt.Before(at)) {
			told[ex.entry] = ex.endedAt
		}
	}
	for i, a := range arrivals {
		ex, ok := byID[a.ID]
		if !ok {
			continue
		}
		if at, known := told[ex.entry]; known && ex.sentAt.Sub(at) > leavingMargin && r.wasUndisturbed(ex.entry, at, a.At) {
			r.reportViolation("leaving", "%s got %s from entry %d %v after that had passed on that it is leaving", process.ID, a.ID, ex.entry, ex.sentAt.Sub(at))
		}
		if a.Paused {
			r.checkPause(process.ID, a, arrivals[i+1:], byID)
		}
	}
}

// checkPause counts the requests that the same entry sent within a pause.
func (r *runner) checkPause(id string, refused stand.Arrival, later []stand.Arrival, byID map[string]exchange) {
	entry := byID[refused.ID].entry
	n := 0
	for _, a := range later {
		ex, ok := byID[a.ID]
		since := a.At.Sub(refused.At)
		if ok && ex.entry == entry && since > pauseMargin && since < stand.PauseLength && r.wasUndisturbed(entry, refused.At, a.At) {
			n++
		}
	}
	if n > pausedArrivals {
		r.reportViolation("pause", "%s got %d requests from entry %d within the pause that it had asked for", id, n, entry)
	}
}
