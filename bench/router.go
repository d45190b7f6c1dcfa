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

// simEntry is an entry's deciding state.
type simEntry struct {
	table  *route.Table
	budget *retry.Budget
}

// simAgent is an agent's deciding state and its engine.
type simAgent struct {
	name    string
	sched   *sched.Sched
	pace    time.Duration
	seen    time.Duration // Smoothed pace.
	running map[string]*run
	queued  map[string]*job
	down    bool
	epoch   int
}

// job is a request's copy at an agent.
type job struct {
	request *request
	entry   *simEntry
	again   bool
}

type run struct {
	job   *job
	begin time.Time
}

type router struct {
	o       Options
	clock   *clock
	out     *Result
	entries []*simEntry
	agents  []*simAgent
	byName  map[string]*simAgent
	random  *rand.Rand
	jobs    int
}

// Run runs the product's deciding packages.
func Run(o Options) *Result {
	r := &router{o: o, clock: newClock(), out: newResult(o), byName: map[string]*simAgent{}, random: rand.New(rand.NewPCG(o.Seed, 99))}
	policy := sched.Policy{Slots: o.Slots, QueueLimit: o.QueueLimit, Classes: map[string]sched.Class{}, Shares: map[string]float64{"eisklang": 2, "gyeongnam": 1}}
	for _, m := range mixes() {
		policy.Classes[m.class.Name] = sched.Class{Tier: m.class.Tier, Floor: m.class.Floor, Cap: m.class.Cap}
	}
	for i := range o.Engines {
		a := &simAgent{name: fmt.Sprintf("a%02d", i), sched: sched.New(policy), pace: pace, running: map[string]*run{}, queued: map[string]*job{}}
		r.agents = append(r.agents, a)
		r.byName[a.name] = a
	}
	if o.Straggler {
		r.agents[0].pace *= slowdown
	}
	for range 2 {
		r.entries = append(r.entries, &simEntry{table: route.New(3 * time.Second), budget: retry.NewBudget()})
	}
	turn := 0
	counts := arrivals(r.clock, o, func(x *request) {
		turn++
		e := r.entries[turn%len(r.entries)]
		e.budget.Deposit()
		r.place(e, x)
	})
	r.sync()
	r.crash()
	r.clock.runUntil(start.Add(o.Duration + time.Minute))
	for class, n := range counts {
		r.out.Classes[class].Offered = n
	}
	return r.out
}

// sync tells both entries each agent's state, and expires queued requests.
func (r *router) sync() {
	for _, a := range r.agents {
		for _, e := range r.entries {
			r.tell(e, a)
		}
	}
	if r.clock.now.Before(start.Add(r.o.Duration + time.Minute)) {
		r.clock.after(syncTime, r.sync)
	}
}

func (r *router) state(a *simAgent) route.Agent {
	s := route.Agent{Name: a.name, Model: "m", Slots: r.o.Slots, Running: a.sched.Running(), QueueSpace: a.sched.QueueSpace(), Healthy: !a.down, TimePerToken: a.seen}
	for t := range s.Queued {
		s.Queued[t] = a.sched.QueuedInTier(t)
	}
	return s
}

// tell delivers an agent's present state to an entry after a hop.
func (r *router) tell(e *simEntry, a *simAgent) {
	s := r.state(a)
	r.clock.after(hop, func() { e.table.Update(r.clock.now, s) })
}

// place sends a request to the next agent, or refuses it.
func (r *router) place(e *simEntry, x *request) {
	if x.done || x.bound {
		return
	}
	left := x.mix.class.Wait - r.clock.now.Sub(x.arrived)
	want := route.Requirements{Model: "m", Tier: x.mix.class.Tier, Excluded: x.avoid}
	copies := 1
	if r.o.LateBinding && x.tries == 0 {
		copies = 2
	}
	for range copies {
		name, ok := e.table.Choose(r.clock.now, want, r.random.IntN)
		if left <= 0 {
			r.refuse(x)
			return
		}
		if !ok {
			if copies == 1 || !ok && len(x.avoid) == 0 {
				r.shed(x)
			}
			return
		}
		if copies == 2 {
			x.avoid[name] = true
		}
		x.tries++
		j := &job{request: x, entry: e, again: x.tries > 1}
		a := r.byName[name]
		r.clock.after(hop, func() { r.offer(a, j, r.clock.now.Add(left)) })
	}
}

func (r *router) refuse(x *request) {
	if x.done {
		return
	}
	x.done = true
	if !x.warmup {
		r.out.Classes[x.mix.class.Name].Refused++
	}
}

// shed refuses a request because no agent would have it, and counts the cases
// in which an agent that it was not offered to held lower-tier work.
func (r *router) shed(x *request) {
	if x.done {
		return
	}
	r.refuse(x)
	for _, a := range r.agents {
		if !a.down && !x.avoid[a.name] && r.holdsLower(a, x) {
			r.out.Inversions++
			return
		}
	}
}

func (r *router) holdsLower(a *simAgent, x *request) bool {
	for t := x.mix.class.Tier + 1; t < 7; t++ {
		if a.sched.QueuedInTier(t) > 0 {
			return true
		}
	}
	return false
}

func (r *router) offer(a *simAgent, j *job, deadline time.Time) {
	if a.down {
		r.giveBack(a, j)
		return
	}
	r.jobs++
	id := fmt.Sprint(r.jobs)
	a.queued[id] = j
	victim := a.sched.Offer(r.clock.now, &sched.Request{
		ID: id, Class: j.request.mix.class.Name, Partner: j.request.partner,
		Tokens: float64(j.request.mix.class.Tokens), Deadline: deadline, Redispatched: j.again,
	})
	if victim != nil {
		r.takeBack(a, victim.ID)
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

// takeBack hands a queued job that must leave back to its entry.
func (r *router) takeBack(a *simAgent, id string) {
	j := a.queued[id]
	delete(a.queued, id)
	r.giveBack(a, j)
}

func (r *router) giveBack(a *simAgent, j *job) {
	r.tell(j.entry, a)
	r.clock.after(hop, func() {
		j.request.avoid[a.name] = true
		r.place(j.entry, j.request)
	})
}

func (r *router) startNext(a *simAgent) {
	for !a.down {
		x := a.sched.Next(r.clock.now)
		if x == nil {
			return
		}
		r.trace(a, x.Class)
		j := a.queued[x.ID]
		delete(a.queued, x.ID)
		if r.o.LateBinding {
			r.ask(a, x.ID, j)
			continue
		}
		r.begin(a, x.ID, j)
	}
}

func (r *router) trace(a *simAgent, class string) {
	if !r.o.Trace {
		return
	}
	s := Start{At: r.clock.now, Class: class, BackloggedClasses: map[string]bool{class: true}}
	for _, name := range ClassNames() {
		if a.sched.QueuedInClass(name) > 0 {
			s.BackloggedClasses[name] = true
		}
	}
	r.out.Starts[a.name] = append(r.out.Starts[a.name], s)
}

// ask holds a slot while the entry says whether a ticket is still wanted.
func (r *router) ask(a *simAgent, id string, j *job) {
	epoch := a.epoch
	r.clock.after(2*hop, func() {
		if a.epoch != epoch {
			return
		}
		if j.request.bound || j.request.done {
			a.sched.Finish(r.clock.now, id, 0)
			r.startNext(a)
			return
		}
		j.request.bound = true
		r.begin(a, id, j)
	})
}

func (r *router) begin(a *simAgent, id string, j *job) {
	x := j.request
	a.running[id] = &run{job: j, begin: r.clock.now}
	r.out.Dispatched++
	slow := a.pace / pace
	first := r.clock.now.Add(prefill*slow + hop)
	epoch := a.epoch
	r.clock.after(prefill*slow+time.Duration(x.length)*a.pace, func() {
		if a.epoch != epoch {
			return
		}
		delete(a.running, id)
		a.seen += (a.pace - a.seen) / 10
		if a.seen < pace/10 {
			a.seen = a.pace
		}
		a.sched.Finish(r.clock.now, id, float64(x.length))
		r.out.end(x, first, a.pace)
		r.tell(j.entry, a)
		r.startNext(a)
	})
	r.chargeEach(a, id, j, epoch)
}

// chargeEach charges a running request for its tokens as they come.
func (r *router) chargeEach(a *simAgent, id string, j *job, epoch int) {
	const every = time.Second
	r.clock.after(every, func() {
		if _, ok := a.running[id]; !ok || a.epoch != epoch {
			return
		}
		took := r.clock.now.Sub(a.running[id].begin)
		a.sched.Charge(id, float64(took/a.pace))
		r.chargeEach(a, id, j, epoch)
	})
}

// crash takes the last engine down. Requests that have no token yet are tried
// again within the budget; the others end incomplete.
func (r *router) crash() {
	if !r.o.EngineCrash {
		return
	}
	a := r.agents[len(r.agents)-1]
	r.clock.after(r.o.Duration/2, func() {
		a.down = true
		a.epoch++
		for _, id := range slices.Sorted(maps.Keys(a.running)) {
			r.breakOff(a, id, a.running[id])
		}
		a.running = map[string]*run{}
		for _, x := range a.sched.Drain() {
			r.takeBack(a, x.ID)
		}
	})
	r.clock.after(r.o.Duration/2+r.o.Duration/6, func() {
		a.down = false
		for _, e := range r.entries {
			r.tell(e, a)
		}
	})
}

func (r *router) breakOff(a *simAgent, id string, x *run) {
	tokens := max(0, int((r.clock.now.Sub(x.begin)-prefill)/a.pace))
	a.sched.Finish(r.clock.now, id, float64(tokens))
	r.out.GeneratedTokens += tokens
	r.out.WastedTokens += tokens
	x.job.request.bound = false
	if tokens == 0 && x.job.entry.budget.TryWithdraw() {
		r.giveBack(a, x.job)
		return
	}
	x.job.request.done = true
	r.out.Classes[x.job.request.mix.class.Name].Aborted++
}
