package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cactustide/platform/stand"
)

const (
	// limitGrace is how long after a process first named a limit its arrivals do not count.
	limitGrace = 3 * time.Second
	// limitTold is how long after a caller got a response that names a limit the requests of
	// its entry count.
	limitTold = 500 * time.Millisecond
	// changeInterval is the time between two limits of a process whose limit changes.
	changeInterval = time.Second
)

// limitKinds are faults of upstreams in need: a limit for a time, one that changes each second,
// one that comes and goes, and bytes without end in heads and bodies.
var limitKinds = []string{"limit", "limitchanges", "limitflaps", "endlesshead", "endlessbody"}

// limitRates are the limits that upstreams name, requests per second.
var limitRates = []float64{0.4, 1, 3.3, 20}

// ScheduledLimit is a fault of limitKinds with the limit that is named.
type ScheduledLimit struct {
	ScheduledFault
	Rate float64
}

// NewLimits draws the limits of a run, from a random source of their own.
func NewLimits(seed uint64, duration time.Duration, upstreams int) []ScheduledLimit {
	random := rand.New(rand.NewPCG(seed, 15))
	var plan []ScheduledLimit
	for at := time.Duration(300+random.IntN(1000)) * time.Millisecond; at < duration; at += time.Duration(500+random.IntN(2500)) * time.Millisecond {
		s := ScheduledLimit{Rate: limitRates[random.IntN(len(limitRates))]}
		s.Offset, s.Target = at, random.IntN(upstreams)
		s.Duration = time.Duration(5000+random.IntN(4000)) * time.Millisecond
		// Most are plain limits, which last long enough to be judged.
		if s.Kind = limitKinds[0]; random.Float64() < 0.5 {
			s.Kind = limitKinds[1+random.IntN(len(limitKinds)-1)]
		}
		plan = append(plan, s)
	}
	return plan
}

// injectLimits makes upstreams name limits or send bytes without end.
func (r *runner) injectLimits() {
	begin := time.Now()
	for _, s := range NewLimits(r.opts.Seed, r.opts.FaultDuration, len(r.upstreams)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s.ScheduledFault)
		u := r.upstreams[s.Target]
		switch s.Kind {
		case "endlesshead", "endlessbody":
			u.SetFault(func(string) stand.Fault { return stand.Fault(s.Kind) })
			r.runAfter(s.Duration/5, func() { u.SetFault(nil) })
		default:
			r.delayedTasks.Go(func() { u.nameLimits(s) })
		}
	}
}

// nameLimits makes the upstream name limits for the duration of a fault; a process that starts
// meanwhile names none until the next change.
func (u *upstream) nameLimits(s ScheduledLimit) {
	end := time.Now().Add(s.Duration)
	for n := 0; time.Now().Before(end); n++ {
		rate := strconv.FormatFloat(s.Rate, 'f', -1, 64)
		if n%2 == 1 && s.Kind == "limitchanges" {
			rate = strconv.FormatFloat(s.Rate/2, 'f', -1, 64)
		}
		if n%2 == 1 && s.Kind == "limitflaps" {
			rate = ""
		}
		u.setRate(rate)
		if s.Kind == "limit" {
			time.Sleep(time.Until(end))
			break
		}
		time.Sleep(min(changeInterval, time.Until(end)))
	}
	u.setRate("")
}

func (u *upstream) setRate(rate string) {
	u.changing.Lock()
	u.SetRate(rate)
	u.changing.Unlock()
}

// checkLimits checks the arrivals at one process while it named a limit, by its highest one,
// from the entries that had passed on a response with it. byID holds the callers' exchanges.
func (r *runner) checkLimits(process *stand.Replica, byID map[string]exchange) {
	arrivals := process.Arrivals()
	for i := 0; i < len(arrivals); {
		n := i
		highest := 0.0
		for n < len(arrivals) && arrivals[n].Rate != "" {
			if rate, err := strconv.ParseFloat(arrivals[n].Rate, 64); err == nil {
				highest = max(highest, rate)
			}
			n++
		}
		if n > i {
			r.checkLimit(process.ID, highest, arrivals[i:n], byID)
		}
		i = n + 1
	}
}

// checkLimit checks the arrivals of a time in which a process named limits.
func (r *runner) checkLimit(id string, rate float64, arrivals []stand.Arrival, byID map[string]exchange) {
	told := map[int][]time.Time{}
	for _, a := range arrivals {
		if ex, ok := byID[a.ID]; ok && ex.limited == id {
			told[ex.entry] = append(told[ex.entry], ex.endedAt)
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		ex, ok := byID[a.ID]
		if ok && a.At.Sub(arrivals[0].At) > limitGrace && r.wasTold(ex.entry, told[ex.entry], a.At) {
			counted = append(counted, a.At)
		}
	}
	if most, end := stand.MostArrivals(counted); float64(most) > stand.AllowedArrivals(rate) {
		r.reportViolation("limit", "%s got %d requests in 4 s until %v after it first named a limit of at most %g a second; allowed %.1f",
			id, most, end.Sub(arrivals[0].At), rate, stand.AllowedArrivals(rate))
	}
}

// wasTold reports whether an entry had passed on a limit limitTold before a time, and was
// neither stopped nor paused since.
func (r *runner) wasTold(entry int, told []time.Time, at time.Time) bool {
	since := r.lastBreak(entry, at)
	for _, t := range told {
		if t.After(since) && at.Sub(t) >= limitTold {
			return true
		}
	}
	return false
}

// lastBreak returns when an entry was last stopped or paused before a time.
func (r *runner) lastBreak(entry int, at time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, d := range append(append([]disturbance(nil), r.pauses...), r.stops...) {
		if d.entry == entry && d.from.Before(at) && d.to.After(last) {
			last = d.to
		}
	}
	return last
}
