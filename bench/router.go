package bench

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cactustide/retry"
	"cactustide/route"
	"cactustide/sched"
)

// simEntry is the state from which an entry routes and retries requests.
type simEntry struct {
	table  *route.Table
	budget *retry.Budget
}

// simAgent is an agent's scheduler and its engine.
type simAgent struct {
	name                 string
	sched                *sched.Sched
	timePerToken         time.Duration
	smoothedTimePerToken time.Duration // Exponentially weighted; 0 before the first request ends.
	running              map[string]*runningJob
	queued               map[string]*job
	down                 bool
	epoch                int // Number of crashes; events of an earlier epoch are ignored.
}

// job is a copy of a request at an agent.
type job struct {
	request      *request
	entry        *simEntry
	redispatched bool
}

type runningJob struct {
	job       *job
	startedAt time.Time
}

// router is the state of one run.
type router struct {
	o        Options
	clock    *clock
	result   *Result
	entries  []*simEntry
	agents   []*simAgent
	byName   map[string]*simAgent
	random   *rand.Rand
	jobCount int
}

// Run simulates cactustide's routing, retry and scheduling.
func Run(o Options) *Result {
	r := &router{o: o, clock: newClock(), result: newResult(o), byName: map[string]*simAgent{}, random: rand.New(rand.NewPCG(o.Seed, 99))}
	policy := sched.Policy{Slots: o.Slots, QueueLimit: o.QueueLimit, Classes: map[string]sched.Class{}, Shares: map[string]float64{"eisklang": 2, "gyeongnam": 1}}
	for _, load := range classLoads() {
		policy.Classes[load.class.Name] = sched.Class{Tier: load.class.Tier, Floor: load.class.Floor, Cap: load.class.Cap}
	}
	for i := range o.Engines {
		a := &simAgent{name: fmt.Sprintf("a%02d", i), sched: sched.New(policy), timePerToken: timePerToken, running: map[string]*runningJob{}, queued: map[string]*job{}}
		r.agents = append(r.agents, a)
		r.byName[a.name] = a
	}
	if o.Straggler {
		r.agents[0].timePerToken *= stragglerSlowdown
	}
	for range 2 {
		r.entries = append(r.entries, &simEntry{table: route.New(3 * time.Second), budget: retry.NewBudget()})
	}
	lastEntry := 0
	offered := scheduleArrivals(r.clock, o, func(x *request) {
		lastEntry++
		e := r.entries[lastEntry%len(r.entries)]
		e.budget.Deposit()
		r.dispatch(e, x)
	})
	r.syncStates()
	r.scheduleCrash()
	r.clock.runUntil(simStart.Add(o.Duration + time.Minute))
	for class, n := range offered {
		r.result.Classes[class].Offered = n
	}
	return r.result
}

// syncStates sends each agent's state to both entries, every syncInterval until the run
// ends.
func (r *router) syncStates() {
	for _, a := range r.agents {
		for _, e := range r.entries {
			r.sendState(e, a)
		}
	}
	if r.clock.now.Before(simStart.Add(r.o.Duration + time.Minute)) {
		r.clock.after(syncInterval, r.syncStates)
	}
}

func (r *router) agentState(a *simAgent) route.Agent {
	s := route.Agent{Name: a.name, Model: "m", Slots: r.o.Slots, Running: a.sched.Running(), QueueSpace: a.sched.QueueSpace(), Healthy: !a.down, TimePerToken: a.smoothedTimePerToken}
	for t := range s.Queued {
		s.Queued[t] = a.sched.QueuedInTier(t)
	}
	return s
}

// sendState delivers an agent's current state to an entry after oneWayDelay.
func (r *router) sendState(e *simEntry, a *simAgent) {
	s := r.agentState(a)
	r.clock.after(oneWayDelay, func() { e.table.Update(r.clock.now, s) })
}

// dispatch sends a request to the next agent, or to two with late binding, or refuses it.
func (r *router) dispatch(e *simEntry, x *request) {
	if x.done || x.bound {
		return
	}
	remaining := x.load.class.Wait - r.clock.now.Sub(x.arrived)
	requirements := route.Requirements{Model: "m", Tier: x.load.class.Tier, Excluded: x.excluded}
	copies := 1
	if r.o.LateBinding && x.attempts == 0 {
		copies = 2
	}
	for range copies {
		name, ok := e.table.Choose(r.clock.now, requirements, r.random.IntN)
		if remaining <= 0 {
			r.refuse(x)
			return
		}
		if !ok {
			if copies == 1 || !ok && len(x.excluded) == 0 {
				r.shed(x)
			}
			return
		}
		if copies == 2 {
			x.excluded[name] = true
		}
		x.attempts++
		j := &job{request: x, entry: e, redispatched: x.attempts > 1}
		a := r.byName[name]
		r.clock.after(oneWayDelay, func() { r.offer(a, j, r.clock.now.Add(remaining)) })
	}
}

func (r *router) refuse(x *request) {
	if x.done {
		return
	}
	x.done = true
	if !x.warmup {
		r.result.Classes[x.load.class.Name].Refused++
	}
}

// shed refuses a request because no agent accepted it, and counts a priority inversion
// if an agent that it was not offered to has lower-tier requests queued.
func (r *router) shed(x *request) {
	if x.done {
		return
	}
	r.refuse(x)
	for _, a := range r.agents {
		if !a.down && !x.excluded[a.name] && r.hasLowerTierQueued(a, x) {
			r.result.Inversions++
			return
		}
	}
}

func (r *router) hasLowerTierQueued(a *simAgent, x *request) bool {
	for t := x.load.class.Tier + 1; t < 7; t++ {
		if a.sched.QueuedInTier(t) > 0 {
			return true
		}
	}
	return false
}

func (r *router) offer(a *simAgent, j *job, deadline time.Time) {
	if a.down {
		r.returnJob(a, j)
		return
	}
	r.jobCount++
	id := fmt.Sprint(r.jobCount)
	a.queued[id] = j
	victim := a.sched.Offer(r.clock.now, &sched.Request{
		ID: id, Class: j.request.load.class.Name, Partner: j.request.partner,
		Tokens: float64(j.request.load.class.Tokens), Deadline: deadline, Redispatched: j.redispatched,
	})
	if victim != nil {
		r.returnQueued(a, victim.ID)
	}
	r.clock.after(deadline.Sub(r.clock.now), func() { r.expire(a) })
	r.startNext(a)
}

func (r *router) expire(a *simAgent) {
	for _, x := range a.sched.Expire(r.clock.now) {
		j := a.queued[x.ID]
		delete(a.queued, x.ID)
		if !j.request.bound {
			r.refuse(j.request)
		}
	}
}

// returnQueued returns an evicted job to its entry.
func (r *router) returnQueued(a *simAgent, id string) {
	j := a.queued[id]
	delete(a.queued, id)
	r.returnJob(a, j)
}

func (r *router) returnJob(a *simAgent, j *job) {
	r.sendState(j.entry, a)
	r.clock.after(oneWayDelay, func() {
		j.request.excluded[a.name] = true
		r.dispatch(j.entry, j.request)
	})
}

func (r *router) startNext(a *simAgent) {
	for !a.down {
		x := a.sched.Next(r.clock.now)
		if x == nil {
			return
		}
		r.recordStart(a, x.Class)
		j := a.queued[x.ID]
		delete(a.queued, x.ID)
		if r.o.LateBinding {
			r.confirmReservation(a, x.ID, j)
			continue
		}
		r.startJob(a, x.ID, j)
	}
}

func (r *router) recordStart(a *simAgent, class string) {
	if !r.o.Trace {
		return
	}
	s := Start{At: r.clock.now, Class: class, BackloggedClasses: map[string]bool{class: true}}
	for _, name := range ClassNames() {
		if a.sched.QueuedInClass(name) > 0 {
			s.BackloggedClasses[name] = true
		}
	}
	r.result.Starts[a.name] = append(r.result.Starts[a.name], s)
}

// confirmReservation occupies a slot while the agent asks the entry whether the
// reservation is still needed.
func (r *router) confirmReservation(a *simAgent, id string, j *job) {
	epoch := a.epoch
	r.clock.after(2*oneWayDelay, func() {
		if a.epoch != epoch {
			return
		}
		if j.request.bound || j.request.done {
			a.sched.Finish(r.clock.now, id, 0)
			r.startNext(a)
			return
		}
		j.request.bound = true
		r.startJob(a, id, j)
	})
}

func (r *router) startJob(a *simAgent, id string, j *job) {
	x := j.request
	a.running[id] = &runningJob{job: j, startedAt: r.clock.now}
	r.result.Dispatched++
	slowdown := a.timePerToken / timePerToken
	first := r.clock.now.Add(prefillTime*slowdown + oneWayDelay)
	epoch := a.epoch
	r.clock.after(prefillTime*slowdown+time.Duration(x.outputTokens)*a.timePerToken, func() {
		if a.epoch != epoch {
			return
		}
		delete(a.running, id)
		a.smoothedTimePerToken += (a.timePerToken - a.smoothedTimePerToken) / 10
		if a.smoothedTimePerToken < timePerToken/10 {
			a.smoothedTimePerToken = a.timePerToken
		}
		a.sched.Finish(r.clock.now, id, float64(x.outputTokens))
		r.result.recordCompletion(x, first, a.timePerToken)
		r.sendState(j.entry, a)
		r.startNext(a)
	})
	r.chargePeriodically(a, id, j, epoch)
}

// chargePeriodically charges a running request for its tokens as they are generated.
func (r *router) chargePeriodically(a *simAgent, id string, j *job, epoch int) {
	const chargeInterval = time.Second
	r.clock.after(chargeInterval, func() {
		if _, ok := a.running[id]; !ok || a.epoch != epoch {
			return
		}
		elapsed := r.clock.now.Sub(a.running[id].startedAt)
		a.sched.Charge(id, float64(elapsed/a.timePerToken))
		r.chargePeriodically(a, id, j, epoch)
	})
}

// scheduleCrash takes the last engine down for a sixth of the run. Requests without a
// token yet are retried within the retry budget; the others end incomplete.
func (r *router) scheduleCrash() {
	if !r.o.EngineCrash {
		return
	}
	a := r.agents[len(r.agents)-1]
	r.clock.after(r.o.Duration/2, func() {
		a.down = true
		a.epoch++
		for _, id := range slices.Sorted(maps.Keys(a.running)) {
			r.abortJob(a, id, a.running[id])
		}
		a.running = map[string]*runningJob{}
		for _, x := range a.sched.Drain() {
			r.returnQueued(a, x.ID)
		}
	})
	r.clock.after(r.o.Duration/2+r.o.Duration/6, func() {
		a.down = false
		for _, e := range r.entries {
			r.sendState(e, a)
		}
	})
}

func (r *router) abortJob(a *simAgent, id string, x *runningJob) {
	tokens := max(0, int((r.clock.now.Sub(x.startedAt)-prefillTime)/a.timePerToken))
	a.sched.Finish(r.clock.now, id, float64(tokens))
	r.result.GeneratedTokens += tokens
	r.result.WastedTokens += tokens
	x.job.request.bound = false
	if tokens == 0 && x.job.entry.budget.TryWithdraw() {
		r.returnJob(a, x.job)
		return
	}
	x.job.request.done = true
	r.result.Classes[x.job.request.load.class.Name].Aborted++
}
