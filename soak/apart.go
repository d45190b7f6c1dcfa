package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactustide/platform/stand"
)

// apartKinds are events around one entry that is out of step: it stands still or is cut off from
// the store while an upstream of a newer release joins, then streams break and are taken up there.
// In between, routes are removed, and routes are added while all entries are cut off from the store.
var apartKinds = []string{"joinpaused", "joincut", "removeroute", "cutall"}

const (
	// An entry is out of step for minApart, or up to apartRange times as long.
	minApart   = 200 * time.Millisecond
	apartRange = 50
	// joinEvery is the share of runs in which upstreams join: one in so many.
	joinEvery = 2
	// longEventGap is the time between two events of an upstream that joins, so that many of its
	// streams are in progress.
	longEventGap = 60 * time.Millisecond
	// breakLead is how long before an entry that stood still goes on the streams break.
	breakLead = 50 * time.Millisecond
	// calmTime is the time without faults before the last join: entries know then which releases
	// each stream may be of.
	calmTime = 7 * time.Second
	// followGap is the time between two upstreams that follow to the newer release.
	followGap = 300 * time.Millisecond
	// mostKilled bounds the entries that are killed at once.
	mostKilled = 7
	// minRouteAge is the age from which a route is removed: the checks of the change that added
	// it have ended.
	minRouteAge = 4 * time.Second
	// probeInterval is the mean time between two probes of the whole run, probeTimeout bounds one.
	probeInterval = 15 * time.Millisecond
	probeTimeout  = 3 * time.Second
)

// NewApart draws the events around entries out of step, from a random source of their own. Upstreams
// join in one run of joinEvery.
func NewApart(seed uint64, duration time.Duration, entries int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 17))
	kinds := apartKinds
	if random.IntN(joinEvery) > 0 {
		kinds = kinds[2:]
	}
	var plan []ScheduledFault
	for at := time.Duration(1000+random.IntN(2000)) * time.Millisecond; at < duration; at += time.Duration(500+random.IntN(3000)) * time.Millisecond {
		length := time.Duration(float64(minApart) * math.Pow(apartRange, random.Float64()))
		plan = append(plan, ScheduledFault{Offset: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(entries), Duration: length})
	}
	return plan
}

// injectApart injects the events around entries out of step, one release after the other.
func (r *runner) injectApart() {
	begin := time.Now()
	for n, s := range NewApart(r.opts.Seed, r.opts.FaultDuration, len(r.entries)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		switch s.Kind {
		case "removeroute":
			r.removeRoute()
		case "cutall":
			r.addRouteUnseen(s)
		default:
			r.joinApart(s, n)
		}
	}
}

// addRouteUnseen adds a route while no entry reaches the store.
func (r *runner) addRouteUnseen(s ScheduledFault) {
	for i, p := range r.entries {
		r.cutOff(i, p, s.Duration)
	}
	time.Sleep(s.Duration / 4)
	r.changing.Lock()
	defer r.changing.Unlock()
	r.addRoute()
}

// cutOff cuts an entry off from the store, for longer than the faults of the plan do.
func (r *runner) cutOff(entry int, p *entryProcess, duration time.Duration) {
	r.mu.Lock()
	r.cuts = append(r.cuts, disturbance{from: time.Now(), to: time.Now().Add(duration), entry: entry})
	r.mu.Unlock()
	r.injectEntry(ScheduledFault{Kind: "storecut", Target: entry, Duration: duration}, p)
}

// lateRun is a run at an upstream later than a bound after its drain began.
type lateRun struct {
	upstream string
	run      stand.ExecutedRequest
	elapsed  time.Duration
}

// checkLateRuns reports the late runs whose entry cannot have been cut off from the store by cutOff.
func (r *runner) checkLateRuns(exchanges map[string]exchange) {
	for _, late := range r.lateRuns {
		ex, ok := exchanges[late.run.ID]
		if ok && r.wasCutOff(ex.entry, late.run.Started) {
			continue
		}
		r.reportViolation("drain", "%s ran %s %v after its drain began", late.upstream, late.run.ID, late.elapsed)
	}
}

// wasCutOff reports whether an entry was cut off by cutOff at a time or in the settleTime before it.
func (r *runner) wasCutOff(entry int, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.cuts {
		if (d.entry == entry || d.entry < 0) && d.from.Before(at) && at.Before(d.to.Add(settleTime)) {
			return true
		}
	}
	return false
}

// joinAfterCalm makes an upstream of a newer release join after a time without other faults, in runs
// in which upstreams join.
func (r *runner) joinAfterCalm() {
	for n, s := range NewApart(r.opts.Seed, r.opts.FaultDuration, len(r.entries)) {
		if s.Kind == "joinpaused" || s.Kind == "joincut" {
			time.Sleep(calmTime)
			r.countFault(s)
			r.joinApart(s, len(r.upstreams)+n)
			return
		}
	}
}

// joinApart makes an upstream of a newer release join while one entry is out of step. Then the
// other entries are killed and callers take their streams up at that entry.
func (r *runner) joinApart(s ScheduledFault, n int) {
	apart := r.entries[s.Target]
	release := fmt.Sprintf("v%d", len(releases)+1+n)
	breakAfter := max(0, s.Duration/2-breakLead)
	if s.Kind == "joinpaused" {
		r.injectEntry(ScheduledFault{Kind: "pause", Target: s.Target, Duration: s.Duration}, apart)
	} else {
		r.cutOff(s.Target, apart, s.Duration)
		breakAfter = s.Duration / 4
	}
	time.Sleep(s.Duration / 2)
	r.restartAs(r.upstreams[n%len(r.upstreams)], release)
	time.Sleep(breakAfter)
	r.takeUpAt.Store(int64(s.Target) + 1)
	var kills sync.WaitGroup
	for i := 1; i < len(r.entries) && i <= mostKilled; i++ {
		target := (s.Target + i) % len(r.entries)
		r.recordDisturbance(target, stopGracePeriod+time.Second)
		kills.Go(func() { r.restartEntry(r.entries[target], false) })
	}
	kills.Wait()
	for i := 1; i < len(r.upstreams); i++ {
		time.Sleep(followGap)
		r.restartAs(r.upstreams[(n+i)%len(r.upstreams)], release)
	}
	r.takeUpAt.Store(0)
}

// probedRoute is a route that probes ask for, with a key that came and went with it.
type probedRoute struct {
	stand.Route
	key            string
	added, removed time.Time
}

// keyOf returns the API key that is added and removed with a route.
func keyOf(route stand.Route) string { return "key" + route.Prefix }

// removeRoute removes the oldest of the added routes, if it is old enough.
func (r *runner) removeRoute() {
	r.changing.Lock()
	defer r.changing.Unlock()
	if len(r.addedRoutes) < 2 {
		return
	}
	oldest := r.findProbed(r.addedRoutes[0].Prefix)
	if oldest == nil || time.Since(oldest.added) < minRouteAge {
		return
	}
	r.addedRoutes = r.addedRoutes[1:]
	r.version++
	r.setRemoved(oldest) // From now on it may be gone at any entry.
	r.store.Put("op/config", r.config())
	r.setRemoved(oldest)
}

func (r *runner) findProbed(prefix string) *probedRoute {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.probed {
		if p.Prefix == prefix {
			return p
		}
	}
	return nil
}

func (r *runner) setRemoved(p *probedRoute) {
	r.mu.Lock()
	p.removed = time.Now()
	r.mu.Unlock()
}

// runProbes sends GET requests on added, removed and unknown routes straight to one entry until
// stopCallers is closed.
func (r *runner) runProbes(entry int) {
	random := rand.New(rand.NewPCG(r.opts.Seed, uint64(1700+entry)))
	client := &http.Client{Transport: &http.Transport{}}
	interval := probeInterval * time.Duration(len(r.entries))
	for n := 0; ; n++ {
		select {
		case <-r.stopCallers:
			return
		case <-time.After(interval/2 + time.Duration(random.Int64N(int64(interval)))):
		}
		p := &probedRoute{Route: stand.Route{Host: host, Prefix: fmt.Sprintf("/unknown%d/", n), Kind: "idempotent", Timeout: time.Second, MaxAttempts: 2}, key: apiKey}
		if random.IntN(5) > 0 {
			p = r.drawProbed(random, p)
		}
		r.mu.Lock()
		before := *p
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		ex := r.sendOn(ctx, client, exchange{id: fmt.Sprintf("9e%02x%06x", entry, n), entry: entry, routeName: "probe", probed: &before}, before.Route)
		cancel()
		r.mu.Lock()
		after := *p
		r.mu.Unlock()
		ex.undisturbed = r.wasUndisturbed(entry, ex.sentAt, ex.endedAt)
		if text := judgeProbe(before, after, ex, r.wasStoreBehind(ex.sentAt.Add(-applyTimeout), ex.endedAt)); text != "" {
			r.reportViolation("route", "entry %d answered probe %s on %s with status %d: %s; added %v, removed %v ago", entry, ex.id, p.Prefix, ex.status, text,
				sinceOrNever(ex.sentAt, before.added), sinceOrNever(ex.sentAt, before.removed))
		}
	}
}

func sinceOrNever(at, event time.Time) string {
	if event.IsZero() {
		return "never"
	}
	return at.Sub(event).String()
}

// drawProbed draws one of the routes that were added, half of the time one of the last three.
func (r *runner) drawProbed(random *rand.Rand, none *probedRoute) *probedRoute {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.probed)
	if n == 0 {
		return none
	}
	if random.IntN(2) == 0 {
		return r.probed[n-1-random.IntN(min(n, 3))]
	}
	return r.probed[random.IntN(n)]
}

// unconfirmedBody is that of a 503 from an entry whose copy of the configuration is too old.
const unconfirmedBody = "the configuration may be out of date"

// judgeProbe returns what is wrong with the response to a probe; nothing if it is right. The route is
// given as of before and after the probe. An entry with faults may answer 503, but it must not take
// what it does not know for what does not exist, unless the store was behind.
func judgeProbe(before, after probedRoute, ex exchange, storeBehind bool) string {
	refused := ex.status == http.StatusNotFound || ex.status == http.StatusUnauthorized
	switch {
	case ex.status == 0:
		return "" // No response; the checks of the callers' requests cover this.
	case before.added.IsZero():
		if ex.undisturbed && ex.status != http.StatusNotFound {
			return "the route never existed"
		}
	case !before.removed.IsZero():
		if ex.undisturbed && !refused && ex.sentAt.Sub(after.removed) > applyTimeout {
			return "the route was removed"
		}
	case after.removed.IsZero() && ex.sentAt.Sub(before.added) > applyTimeout:
		if refused && (ex.undisturbed || !storeBehind) {
			return "the route and its key were added"
		}
		if ex.undisturbed && strings.TrimSpace(ex.body) == unconfirmedBody {
			return "the route was added, and the entry has no fault"
		}
	}
	return ""
}

// beginStoreBehind records that the store has an older configuration, or none, until the returned
// function is called.
func (r *runner) beginStoreBehind() (end func()) {
	d := &disturbance{from: time.Now(), entry: -1}
	r.mu.Lock()
	r.behind = append(r.behind, d)
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		d.to = time.Now()
		r.mu.Unlock()
	}
}

// wasStoreBehind reports whether the store had an older configuration, or none, at some time between
// two.
func (r *runner) wasStoreBehind(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.behind {
		if d.from.Before(to) && (d.to.IsZero() || from.Before(d.to)) {
			return true
		}
	}
	return false
}
