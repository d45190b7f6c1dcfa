package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"cactustide/platform/stand"
)

// returnKinds are the returns of the store from a copy: after it was silent, and at once.
var returnKinds = []string{"return", "returnatonce"}

const (
	// returnSilence is how long the store is silent before a return, rewriteTime the time
	// within which what it lost is written again.
	returnSilence = 300 * time.Millisecond
	rewriteTime   = 1200 * time.Millisecond
	// returnEvery is the share of runs in which the store comes back from copies: one in so many.
	returnEvery = 2
)

// NewReturns draws the returns of the store in a run, from a random source of their own. The
// duration of each is the age of the copy.
func NewReturns(seed uint64, duration time.Duration) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 16))
	var plan []ScheduledFault
	if random.IntN(returnEvery) > 0 {
		return nil
	}
	for at := time.Duration(1500+random.IntN(2500)) * time.Millisecond; at < duration; at += time.Duration(2500+random.IntN(4000)) * time.Millisecond {
		plan = append(plan, ScheduledFault{
			Offset: at, Kind: returnKinds[random.IntN(len(returnKinds))],
			Duration: time.Duration(200+random.IntN(2000)) * time.Millisecond,
		})
	}
	return plan
}

// injectReturns makes the store come back from copies, beside the faults of the plan.
func (r *runner) injectReturns() {
	begin := time.Now()
	var older *stand.StoreCopy
	for i, s := range NewReturns(r.opts.Seed, r.opts.FaultDuration) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		from := r.store.Copy()
		time.Sleep(s.Duration)
		if i%3 == 2 && older != nil {
			from = *older // From before the return before.
		}
		older = &from
		r.comeBack(s, from)
	}
}

// comeBack makes the store come back from a copy and checks that no entry goes back with it. The
// operator and the upstreams write again what they wrote.
func (r *runner) comeBack(s ScheduledFault, from stand.StoreCopy) {
	r.changing.Lock()
	defer r.changing.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	var upToDate []int
	var route stand.Route
	if n := len(r.addedRoutes); n > 0 {
		route = r.addedRoutes[n-1]
		for i := range r.entries {
			if r.probe(client, i, route) == http.StatusOK {
				upToDate = append(upToDate, i)
			}
		}
	}
	r.recordDisturbance(-1, returnSilence+rewriteTime)
	if s.Kind == "return" {
		r.store.SetFaults(stand.StoreFaults{NoResponse: true})
		time.Sleep(returnSilence)
	}
	defer r.beginStoreBehind()()
	r.store.ComeBack(from)
	r.store.SetFaults(stand.StoreFaults{})
	time.Sleep(rewriteTime / 2)
	for _, i := range upToDate {
		if r.probe(client, i, route) == http.StatusNotFound && !r.wasRestarted(i, began, time.Now()) {
			r.reportViolation("backwards", "entry %d reverted to the configuration of a store that came back from a copy", i)
		}
	}
	r.store.Put("op/config", r.config())
	for _, u := range r.upstreams {
		u.changing.Lock()
		for _, old := range u.earlier {
			if old.ID != u.ID {
				r.store.Delete(old.StoreKey()) // The copy may hold it.
			}
		}
		r.register(u)
		u.announcedAt.Store(time.Now().UnixNano())
		u.changing.Unlock()
	}
}

// wasRestarted reports whether an entry was stopped or started between two times.
func (r *runner) wasRestarted(entry int, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.stops {
		if d.entry == entry && d.from.Before(to) && from.Before(d.to) {
			return true
		}
	}
	p := r.entries[entry]
	if p.restarting.TryLock() {
		p.restarting.Unlock()
		return false
	}
	return true
}
