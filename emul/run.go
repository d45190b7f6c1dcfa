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

// Policy is an algorithm that chooses an engine.
type Policy string

// Policies; PolicyLeastRequests and PolicyBoundedHash are baselines.
const (
	// PolicyLeastRequests chooses the engine with the fewest requests in flight from the
	// same entry.
	PolicyLeastRequests Policy = "least"
	// PolicyBoundedHash is rendezvous hashing of the first prompt segment with bounded
	// loads: engines above 1.5 times the mean load are skipped.
	PolicyBoundedHash Policy = "hash"
	// PolicyBalancer is place.Balancer with load shedding, as entries use it.
	PolicyBalancer Policy = "balancer"
	// PolicyNoShedding is place.Balancer without load shedding.
	PolicyNoShedding Policy = "no shedding"
	// PolicySampled is PolicyBalancer with a sample of the engines for each choice, as
	// entries use it where there are many.
	PolicySampled Policy = "sampled"
)

// Policies returns the policies that are compared: all but PolicyNoShedding.
func Policies() []Policy { return []Policy{PolicyLeastRequests, PolicyBoundedHash, PolicyBalancer} }

const serviceName = "engines"

var simStart = time.Unix(1_000_000, 0)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	options Options
	policy  Policy
	random  *rand.Rand
	now     time.Time
	seq     int
	queue   eventQueue
	engines []*engine
	// knownEngines is the number of engines that the entries may choose, the first ones.
	knownEngines int
	balancers    []*place.Balancer
	inFlight     [][]int
	jobs         []*Job
	lostJobs     int
	// shed counts how often a request was shed.
	shed int
}

// Run simulates a load under a policy.
func Run(o Options, p Policy) *Result {
	r, _ := runJobs(o, p)
	return r
}

// runJobs simulates a load under a policy and returns its jobs too.
func runJobs(o Options, p Policy) (*Result, []*Job) {
	s := &simulation{options: o, policy: p, random: rand.New(rand.NewPCG(o.Seed, 1)), now: simStart, knownEngines: o.Engines}
	for range o.Engines {
		s.engines = append(s.engines, newEngine(o.Spec))
	}
	for range o.Entries {
		s.balancers = append(s.balancers, place.New(place.Settings{}))
		s.inFlight = append(s.inFlight, make([]int, o.Engines))
	}
	s.jobs = o.drawJobs(rand.New(rand.NewPCG(o.Seed, 2)), simStart)
	for _, j := range s.jobs {
		s.schedule(j.ArrivedAt, func() { s.arrive(j) })
	}
	s.scheduleFaults()
	end := simStart.Add(o.Duration + 10*time.Second)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result(), s.jobs
}

func (s *simulation) schedule(at time.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: at, seq: s.seq, run: run})
}

// scheduleFaults schedules the engine crashes or the joining engines of the pattern.
func (s *simulation) scheduleFaults() {
	faultTime := s.options.Duration / 3
	switch s.options.Pattern {
	case PatternCrash:
		for i := range s.options.Engines / 4 {
			s.schedule(simStart.Add(faultTime), func() {
				s.lostJobs += len(s.engines[i].crash())
				s.engines[i].down = true
			})
			s.schedule(simStart.Add(faultTime+2*time.Second), func() { s.engines[i].down = false })
		}
	case PatternJoin:
		s.knownEngines = s.options.Engines * 2 / 3
		s.schedule(simStart.Add(faultTime), func() { s.knownEngines = s.options.Engines })
	}
}

func (s *simulation) candidates() []fleet.Candidate {
	var candidates []fleet.Candidate
	for i := range s.knownEngines {
		if s.engines[i].down {
			continue
		}
		candidates = append(candidates, fleet.Candidate{Upstream: fleet.Upstream{ID: fmt.Sprintf("e-%03d", i), Service: serviceName, Centre: "c", Slots: s.options.Spec.Slots}})
	}
	return candidates
}

func (s *simulation) placementRequest(j *Job) *place.Request {
	return &place.Request{
		Segments: j.Segments, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, LatencyTarget: j.Class.LatencyTarget, EventGapTarget: j.Class.EventGapTarget, Tier: j.Class.Tier, RouteTier: j.Class.Tier,
		Timeout: j.Class.Timeout,
		Centre:  "c", Engine: true, KVCapacity: s.options.Spec.KVCapacity, TokensPerEvent: s.options.Spec.TokensPerEvent, ArrivedAt: j.ArrivedAt,
	}
}

func (s *simulation) arrive(j *Job) {
	candidates := s.candidates()
	var upstream fleet.Upstream
	switch s.policy {
	case PolicyLeastRequests:
		upstream = s.leastRequests(j, candidates)
	case PolicyBoundedHash:
		upstream = s.boundedHash(j, candidates)
	default:
		choice := s.balance(j, candidates)
		if choice == nil {
			return
		}
		upstream = *choice
	}
	var i int
	_, _ = fmt.Sscanf(upstream.ID, "e-%d", &i) // The id has the format set by candidates.
	s.inFlight[j.Entry][i]++
	e := s.engines[i]
	for _, segment := range j.Segments {
		if _, ok := e.cached[segment.Hash]; !ok && slices.ContainsFunc(s.engines, func(o *engine) bool { return o.cached[segment.Hash] != nil }) {
			e.recomputedTokens += segment.Tokens
		}
	}
	e.waiting = append(e.waiting, j)
	s.startStep(i)
}

func (s *simulation) leastRequests(j *Job, candidates []fleet.Candidate) fleet.Upstream {
	inFlight := s.inFlight[j.Entry]
	best, fewest := 0, int(^uint(0)>>1)
	offset := s.random.IntN(len(candidates))
	for k := range candidates {
		i := (k + offset) % len(candidates)
		var n int
		_, _ = fmt.Sscanf(candidates[i].ID, "e-%d", &n) // The id has the format set by candidates.
		if inFlight[n] < fewest {
			best, fewest = i, inFlight[n]
		}
	}
	return candidates[best].Upstream
}

func (s *simulation) boundedHash(j *Job, candidates []fleet.Candidate) fleet.Upstream {
	inFlight := s.inFlight[j.Entry]
	total := 0
	for _, n := range inFlight {
		total += n
	}
	loadBound := 1.5*float64(total+1)/float64(len(candidates)) + 1
	var best fleet.Upstream
	bestScore := uint64(0)
	for i, c := range candidates {
		var n int
		_, _ = fmt.Sscanf(c.ID, "e-%d", &n) // The id has the format set by candidates.
		score := xxhash.Sum64String(fmt.Sprint(c.ID, j.Segments[0].Hash))
		if float64(inFlight[n]) <= loadBound && (score > bestScore || best.ID == "") || i == 0 {
			best, bestScore = c.Upstream, score
		}
	}
	return best
}

// choose returns the choice among the candidates or, with PolicySampled, among some of them.
func (s *simulation) choose(j *Job, candidates []fleet.Candidate, request *place.Request) place.Choice {
	b := s.balancers[j.Entry]
	if s.policy != PolicySampled {
		choice, _ := b.Choose(s.now, serviceName, candidates, request)
		return choice
	}
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.ID)
	}
	sample := b.Sample(serviceName, fleet.NewRing(ids...), request, s.random.IntN)
	choice, _ := b.ChooseSampled(s.now, serviceName, slices.DeleteFunc(candidates, func(c fleet.Candidate) bool { return !slices.Contains(sample, c.ID) }), request)
	return choice
}

// balance returns the engine that place.Balancer chooses, or nil if it sheds the
// request, which is retried once.
func (s *simulation) balance(j *Job, candidates []fleet.Candidate) *fleet.Upstream {
	request := s.placementRequest(j)
	choice := s.choose(j, candidates, request)
	if s.policy != PolicyNoShedding && s.balancers[j.Entry].ShouldShed(s.now, serviceName, request, choice.Forecast) {
		s.shed++
		if !j.retried {
			j.retried = true
			s.schedule(s.now.Add(request.RetryAfter(choice.Forecast)), func() { s.arrive(j) })
		}
		return nil
	}
	j.inFlight = s.balancers[j.Entry].Start(s.now, serviceName, choice.Upstream, request)
	s.seq++
	key := uint64(s.seq)
	s.broadcast(j.Entry, func(b *place.Balancer) { b.StartRemote(s.now, key, choice.Upstream, request) })
	inFlight := j.inFlight
	s.onDone(j, func() {
		inFlight.Finish(s.now)
		s.broadcast(j.Entry, func(b *place.Balancer) { b.FinishRemote(key) })
	})
	return &choice.Upstream
}

// onDone polls every 100 ms whether the job is done and then calls done once.
func (s *simulation) onDone(j *Job, done func()) {
	s.schedule(s.now.Add(100*time.Millisecond), func() {
		if j.Done {
			done()
			return
		}
		s.onDone(j, done)
	})
}

// broadcast applies an update to the balancers of the other reachable entries after
// GossipDelay.
func (s *simulation) broadcast(from int, apply func(*place.Balancer)) {
	for i, b := range s.balancers {
		partitioned := s.options.Pattern == PatternPartition && (i == 0) != (from == 0)
		if i != from && !partitioned {
			s.schedule(s.now.Add(s.options.GossipDelay), func() { apply(b) })
		}
	}
}

// startStep starts an idle engine's next step.
func (s *simulation) startStep(i int) {
	e := s.engines[i]
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	d, emitted := e.step()
	s.schedule(s.now.Add(d), func() {
		e.stepping = false
		for _, j := range emitted {
			if j.inFlight != nil {
				j.inFlight.RecordEvent(s.now)
			}
		}
		for _, j := range e.finishStep(s.now, emitted) {
			s.inFlight[j.Entry][i]--
		}
		s.startStep(i)
	})
}

// Result is the outcome of a run.
type Result struct {
	// OnTime is the fraction of jobs on time by class, OnTimeOverall that of all jobs.
	OnTime        map[string]float64
	OnTimeOverall float64
	// Completed is the fraction of jobs by class that ended within their timeouts.
	Completed map[string]float64
	// TimesToFirst holds the times to the first event by class, ascending; 0 for jobs without
	// an event.
	TimesToFirst map[string][]time.Duration
	// RecomputedKTokens is the number of prompt tokens, in thousands, that were prefilled
	// though some engine had them cached.
	RecomputedKTokens int
	// Shed counts how often a request was shed; one that was retried may count twice.
	Shed int
}

func (s *simulation) result() *Result {
	r := &Result{OnTime: map[string]float64{}, Completed: map[string]float64{}, TimesToFirst: map[string][]time.Duration{}}
	total, onTime, completed := map[string]int{}, map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		total[j.Class.Name]++
		if j.CompletedInTime() {
			completed[j.Class.Name]++
		}
		if j.OnTime() {
			onTime[j.Class.Name]++
			r.OnTimeOverall++
		}
		r.TimesToFirst[j.Class.Name] = append(r.TimesToFirst[j.Class.Name], j.TimeToFirst)
	}
	r.OnTimeOverall /= float64(max(1, len(s.jobs)))
	r.Shed = s.shed
	for name, n := range total {
		r.OnTime[name] = float64(onTime[name]) / float64(n)
		r.Completed[name] = float64(completed[name]) / float64(n)
		slices.Sort(r.TimesToFirst[name])
	}
	for _, e := range s.engines {
		r.RecomputedKTokens += e.recomputedTokens / 1000
	}
	return r
}

// Percentile returns the time to the first event of a class at a quantile p from 0 to 1,
// or 0 if the class had no jobs.
func (r *Result) Percentile(class string, p float64) time.Duration {
	times := r.TimesToFirst[class]
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(p*float64(len(times))))]
}
