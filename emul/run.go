package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
	"cactustide/place"
)

// Policy is a way of choosing an engine.
type Policy string

// Policies. Least and Hash are baselines.
const (
	// PolicyLeastRequests takes the engine with the fewest own requests.
	PolicyLeastRequests Policy = "least"
	// PolicyBoundedHash takes the highest rendezvous score of the shared parts among the
	// engines below 1.5 times the mean load.
	PolicyBoundedHash Policy = "hash"
	// PolicyBalancer is the product's.
	PolicyBalancer Policy = "model"
	// PolicyNoShedding is the same, but refuses nothing.
	PolicyNoShedding Policy = "accept"
)

// Policies lists all.
func Policies() []Policy { return []Policy{PolicyLeastRequests, PolicyBoundedHash, PolicyBalancer} }

const serviceName = "engines"

var begin = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// world is one run.
type world struct {
	options Options
	policy  Policy
	random  *rand.Rand
	now     time.Time
	seq     int
	queue   queue
	engines []*engine
	// joined is the number of engines that are known.
	joined int
	models []*place.Balancer
	own    [][]int
	jobs   []*Job
	lost   int
	// refused counts refusals.
	refused int
}

// Run plays a load with a policy.
func Run(o Options, p Policy) *Result {
	r, _ := runJobs(o, p)
	return r
}

// runJobs plays a load and returns the jobs besides.
func runJobs(o Options, p Policy) (*Result, []*Job) {
	w := &world{options: o, policy: p, random: rand.New(rand.NewPCG(o.Seed, 1)), now: begin, joined: o.Engines}
	for range o.Engines {
		w.engines = append(w.engines, newEngine(o.Spec))
	}
	for range o.Entries {
		w.models = append(w.models, place.New(place.Settings{}))
		w.own = append(w.own, make([]int, o.Engines))
	}
	w.jobs = o.jobs(rand.New(rand.NewPCG(o.Seed, 2)), begin)
	for _, j := range w.jobs {
		w.at(j.ArrivedAt, func() { w.arrive(j) })
	}
	w.disturb()
	end := begin.Add(o.Duration + 10*time.Second)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	return w.result(), w.jobs
}

func (w *world) at(at time.Time, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: at, seq: w.seq, run: run})
}

// disturb schedules what the pattern does to the engines.
func (w *world) disturb() {
	third := w.options.Duration / 3
	switch w.options.Pattern {
	case PatternCrash:
		for i := range w.options.Engines / 4 {
			w.at(begin.Add(third), func() {
				w.lost += len(w.engines[i].crash())
				w.engines[i].down = true
			})
			w.at(begin.Add(third+2*time.Second), func() { w.engines[i].down = false })
		}
	case PatternJoin:
		w.joined = w.options.Engines * 2 / 3
		w.at(begin.Add(third), func() { w.joined = w.options.Engines })
	}
}

func (w *world) candidates() []fleet.Candidate {
	var list []fleet.Candidate
	for i := range w.joined {
		if w.engines[i].down {
			continue
		}
		list = append(list, fleet.Candidate{Upstream: fleet.Upstream{ID: fmt.Sprintf("e-%03d", i), Service: serviceName, Centre: "c", Slots: w.options.Spec.Slots}})
	}
	return list
}

func (w *world) work(j *Job) *place.Request {
	return &place.Request{
		Segments: j.Segments, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, LatencyTarget: j.Class.LatencyTarget, EventGapTarget: j.Class.EventGapTarget, Tier: j.Class.Tier, RouteTier: j.Class.Tier,
		Timeout: j.Class.Timeout,
		Centre:  "c", Engine: true, KVCapacity: w.options.Spec.KVCapacity, TokensPerEvent: w.options.Spec.TokensPerEvent, ArrivedAt: j.ArrivedAt,
	}
}

func (w *world) arrive(j *Job) {
	candidates := w.candidates()
	var to fleet.Upstream
	switch w.policy {
	case PolicyLeastRequests:
		to = w.least(j, candidates)
	case PolicyBoundedHash:
		to = w.hash(j, candidates)
	default:
		choice := w.model(j, candidates)
		if choice == nil {
			return
		}
		to = *choice
	}
	var i int
	_, _ = fmt.Sscanf(to.ID, "e-%d", &i) // The id was made by candidates.
	w.own[j.Entry][i]++
	e := w.engines[i]
	for _, p := range j.Segments {
		if _, ok := e.parts[p.Hash]; !ok && slices.ContainsFunc(w.engines, func(o *engine) bool { return o.parts[p.Hash] != nil }) {
			e.again += p.Tokens
		}
	}
	e.waiting = append(e.waiting, j)
	w.wake(i)
}

func (w *world) least(j *Job, candidates []fleet.Candidate) fleet.Upstream {
	own := w.own[j.Entry]
	best, load := 0, int(^uint(0)>>1)
	offset := w.random.IntN(len(candidates))
	for k := range candidates {
		i := (k + offset) % len(candidates)
		var n int
		_, _ = fmt.Sscanf(candidates[i].ID, "e-%d", &n) // The id was made by candidates.
		if own[n] < load {
			best, load = i, own[n]
		}
	}
	return candidates[best].Upstream
}

func (w *world) hash(j *Job, candidates []fleet.Candidate) fleet.Upstream {
	own := w.own[j.Entry]
	total := 0
	for _, n := range own {
		total += n
	}
	bound := 1.5*float64(total+1)/float64(len(candidates)) + 1
	var best fleet.Upstream
	score := uint64(0)
	for i, c := range candidates {
		var n int
		_, _ = fmt.Sscanf(c.ID, "e-%d", &n) // The id was made by candidates.
		s := xxhash.Sum64String(fmt.Sprint(c.ID, j.Segments[0].Hash))
		if float64(own[n]) <= bound && (s > score || best.ID == "") || i == 0 {
			best, score = c.Upstream, s
		}
	}
	return best
}

// model returns the engine that the product chooses, or nil if it refuses. Who is
// refused comes back once.
func (w *world) model(j *Job, candidates []fleet.Candidate) *fleet.Upstream {
	work := w.work(j)
	choice, _ := w.models[j.Entry].Choose(w.now, serviceName, candidates, work)
	if w.policy == PolicyBalancer && w.models[j.Entry].ShouldShed(w.now, serviceName, work, choice.Forecast) {
		w.refused++
		if !j.back {
			j.back = true
			w.at(w.now.Add(work.RetryAfter(choice.Forecast)), func() { w.arrive(j) })
		}
		return nil
	}
	j.ticket = w.models[j.Entry].Start(w.now, serviceName, choice.Upstream, work)
	w.seq++
	key := uint64(w.seq)
	w.tell(j.Entry, func(m *place.Balancer) { m.StartRemote(w.now, key, choice.Upstream, work) })
	ticket := j.ticket
	w.watch(j, func() {
		ticket.Finish(w.now)
		w.tell(j.Entry, func(m *place.Balancer) { m.FinishRemote(key) })
	})
	return &choice.Upstream
}

// watch calls ended when the job is done.
func (w *world) watch(j *Job, ended func()) {
	w.at(w.now.Add(100*time.Millisecond), func() {
		if j.Done {
			ended()
			return
		}
		w.watch(j, ended)
	})
}

// tell lets the other entries hear of something, late.
func (w *world) tell(from int, what func(*place.Balancer)) {
	for i, m := range w.models {
		blind := w.options.Pattern == PatternPartition && (i == 0) != (from == 0)
		if i != from && !blind {
			w.at(w.now.Add(w.options.GossipDelay), func() { what(m) })
		}
	}
}

// wake starts an idle engine's next step.
func (w *world) wake(i int) {
	e := w.engines[i]
	if e.busy || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	d, made := e.step()
	w.at(w.now.Add(d), func() {
		e.busy = false
		for _, j := range made {
			if j.ticket != nil {
				j.ticket.RecordEvent(w.now)
			}
		}
		for _, j := range e.settle(w.now, made) {
			w.own[j.Entry][i]--
		}
		w.wake(i)
	})
}

// Result of a run.
type Result struct {
	// OnTime is the share of jobs on time by class, All over all.
	OnTime        map[string]float64
	OnTimeOverall float64
	// Completed is the share of jobs by class that ended before their callers left.
	Completed map[string]float64
	// TimesToFirst holds the times to the first event by class, in order.
	TimesToFirst map[string][]time.Duration
	// RecomputedKTokens is the number of shared tokens read once more, in thousands.
	RecomputedKTokens int
	// Shed is the number of refusals.
	Shed int
}

func (w *world) result() *Result {
	r := &Result{OnTime: map[string]float64{}, Completed: map[string]float64{}, TimesToFirst: map[string][]time.Duration{}}
	total, good, whole := map[string]int{}, map[string]int{}, map[string]int{}
	for _, j := range w.jobs {
		total[j.Class.Name]++
		if j.CompletedInTime() {
			whole[j.Class.Name]++
		}
		if j.OnTime() {
			good[j.Class.Name]++
			r.OnTimeOverall++
		}
		r.TimesToFirst[j.Class.Name] = append(r.TimesToFirst[j.Class.Name], j.TimeToFirst)
	}
	r.OnTimeOverall /= float64(max(1, len(w.jobs)))
	r.Shed = w.refused
	for name, n := range total {
		r.OnTime[name] = float64(good[name]) / float64(n)
		r.Completed[name] = float64(whole[name]) / float64(n)
		slices.Sort(r.TimesToFirst[name])
	}
	for _, e := range w.engines {
		r.RecomputedKTokens += e.again / 1000
	}
	return r
}

// Percentile of a class's times to the first event.
func (r *Result) Percentile(class string, p float64) time.Duration {
	list := r.TimesToFirst[class]
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(p*float64(len(list))))]
}
