// Package place chooses the upstream for a request by the harm that the request
// would do there: to itself, when its first token comes late, and to those that
// run there, whose tokens wait while a prompt is read. It keeps a model of each
// upstream from what entries sent and upstreams told. It does no I/O and takes
// the time as an argument.
package place

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
)

// Published behaviour of engines: prompts are read in chunks between the tokens
// of what runs.
const chunkTokens = 2048

// First guesses of an engine's times, replaced by what is seen. They are of the
// size that published engines show for models of 8 to 70 billion parameters.
const (
	guessRate = 75.0                  // Prompt tokens read in a millisecond.
	guessPair = 0.5                   // Milliseconds for a million pairs of attention.
	guessStep = 6 * time.Millisecond  // Between two tokens of one request.
	guessWork = 40 * time.Millisecond // Of a plain request.
)

const (
	// reportLife is how long an upstream's own word on its load is believed.
	reportLife = 300 * time.Millisecond
	// pressureLife is the time over which the share of reading is smoothed, and
	// usualLife that for forecasts as long as a stream lasts.
	pressureLife = 2 * time.Second
	usualLife    = 10 * time.Second
	// scaleWindow is the number of observations that a learnt value is smoothed over.
	scaleWindow = 40.0
	// minScale and maxScale bound what one observation may teach.
	minScale = 0.25
	maxScale = 4.0
	// cleanBacklog is the largest backlog at a send whose time still teaches.
	cleanBacklog = 20 * time.Millisecond
	// usualOutput is assumed where a caller gives no estimate, tokens.
	usualOutput = 150
	// toldMargin stretches the expected end of runs that other entries told of.
	toldMargin = 1.3
)

// Request is what a request needs.
type Request struct {
	Segments []Segment
	// PromptTokens and OutputTokens are tokens; OutputTokens is an estimate.
	PromptTokens, OutputTokens int
	// LatencyTarget of the first event or of the answer, EventGapTarget between events, Timeout of
	// the whole answer; 0 means none.
	LatencyTarget, EventGapTarget, Timeout time.Duration
	// Tier is the urgency at the upstream, RouteTier that of the kind of request alone,
	// whoever asks; 0 is most urgent.
	Tier, RouteTier int
	Centre          string
	// Bytes of the request and about those of the answer.
	Bytes int
	// Engine says that a model engine runs it.
	Engine         bool
	KVCapacity     int
	TokensPerEvent int
	// ArrivedAt is when the caller's wait began.
	ArrivedAt time.Time
}

// output is the expected number of output tokens.
func (w *Request) output() int {
	if w.OutputTokens > 0 {
		return w.OutputTokens
	}
	return usualOutput
}

// service is what was learnt of a service's upstreams.
type service struct {
	// scale corrects the predicted time to read a prompt.
	scale float64
	// base is added to it: the time to the first token of a short prompt.
	base time.Duration
	// pace is the time that a second of reading takes behind other prompts, while
	// tokens of running requests are made in between.
	pace float64
	// steps gives the milliseconds between two tokens of a request for the
	// thousands of tokens that an engine's running requests hold.
	steps line
	work  time.Duration
	// Numbers of observations that scale, base and pace were learnt from.
	scales, bases, paces int
}

// gain is the weight of one more observation: large for the first ones, which
// replace a guess.
func gain(n *int) float64 {
	*n++
	return max(1/scaleWindow, 1/(float64(*n)+firstGuess))
}

// firstGuess is the number of observations that a guess is worth.
const firstGuess = 4

// Settings of the choice. The zero value of a field means its default.
type Settings struct {
	// PrefillCost is the price of a second of reading prompts, in late answers.
	PrefillCost float64
	// FirstEventCost is the price of a first event just at its target, in late answers; it
	// grows with the square of the time. Who waits there makes those that follow
	// wait, the more the longer the backlog is.
	FirstEventCost float64
	// RecomputeCost is the price of reading a thousand tokens once more that some upstream
	// read within Fresh, in late answers.
	RecomputeCost   float64
	RecomputeWindow time.Duration
	// TransferCost is the price of a megabyte between data centres, in late answers.
	TransferCost float64
}

// Defaults of Settings.
const (
	// Trials on heavy days (docs/MEASUREMENTS.md): 0.5 and 2 served fewer on time.
	DefaultPrefillCost = 5.0
	// The same; above 1 prompts spread over so many engines that caches are lost.
	DefaultFirstEventCost = 0.5
	// The users' price of reading shared parts again; half of it served fewer.
	DefaultRecomputeCost = 0.1
	// Between the users' prices of 1.3 and 10; 1 and 8 made no difference.
	DefaultTransferCost = 3.0
	// Used where the settings name no time.
	DefaultRecomputeWindow = 10 * time.Second
)

// Balancer holds what is believed of all upstreams.
type Balancer struct {
	mu        sync.Mutex
	settings  Settings
	upstreams map[string]*upstream
	services  map[string]*service
	sequence  uint64
	// told holds the runs of other entries.
	told map[uint64]*upstream
	// sent is when requests of each level were last sent, by service.
	sent map[string]map[int]time.Time
	// used is when a part was last used anywhere.
	used   map[uint64]time.Time
	pruned time.Time
}

// New returns an empty model.
func New(s Settings) *Balancer {
	if s.PrefillCost == 0 {
		s.PrefillCost = DefaultPrefillCost
	}
	if s.TransferCost == 0 {
		s.TransferCost = DefaultTransferCost
	}
	if s.FirstEventCost == 0 {
		s.FirstEventCost = DefaultFirstEventCost
	}
	if s.RecomputeCost == 0 {
		s.RecomputeCost = DefaultRecomputeCost
	}
	if s.RecomputeWindow == 0 {
		s.RecomputeWindow = DefaultRecomputeWindow
	}
	return &Balancer{
		settings: s, upstreams: map[string]*upstream{}, services: map[string]*service{},
		told: map[uint64]*upstream{}, sent: map[string]map[int]time.Time{}, used: map[uint64]time.Time{},
	}
}

// use records that the parts are used now, and forgets those not used for long.
func (m *Balancer) use(now time.Time, parts []Segment) {
	for _, p := range parts {
		m.used[p.Hash] = now
	}
	if now.Sub(m.pruned) < m.settings.RecomputeWindow {
		return
	}
	m.pruned = now
	for h, at := range m.used {
		if now.Sub(at) > m.settings.RecomputeWindow {
			delete(m.used, h)
		}
	}
	// The word that a run ended may have been lost.
	for key, u := range m.told {
		if _, ok := u.runs[key]; !ok {
			delete(m.told, key)
		}
	}
}

// readAgain returns how many tokens of the prompt would be read once more
// though some upstream read them lately.
func (m *Balancer) readAgain(now time.Time, u *upstream, parts []Segment) int {
	n := 0
	cached := true
	for _, p := range parts {
		_, ok := u.parts[p.Hash]
		cached = cached && ok
		if at, ok := m.used[p.Hash]; !cached && ok && now.Sub(at) < m.settings.RecomputeWindow {
			n += p.Tokens
		}
	}
	return n
}

func (m *Balancer) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{scale: 1, pace: 1, steps: newLine(guessStep.Seconds()*1000, firstGuess), work: guessWork}
		m.services[name] = s
	}
	return s
}

func (m *Balancer) upstream(u fleet.Upstream) *upstream {
	have, ok := m.upstreams[u.ID]
	if !ok || have.born != u.StartedAt {
		have = newUpstream(m.service(u.Service), u.StartedAt)
		m.upstreams[u.ID] = have
	}
	return have
}

// Forget drops what is believed of an upstream that is gone.
func (m *Balancer) Forget(id string) {
	m.mu.Lock()
	delete(m.upstreams, id)
	m.mu.Unlock()
}

// step predicts the time between two tokens of a request at an upstream.
func (s *service) step(u *upstream) time.Duration {
	return time.Duration(s.steps.at(float64(u.used)/1000) * float64(time.Millisecond))
}

// readTime predicts how long an engine takes to read tokens that stand behind
// others.
func (s *service) readTime(tokens, before int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
	ms := float64(tokens)/guessRate + pairs*guessPair
	return time.Duration(ms * s.scale * float64(time.Millisecond))
}

// Forecast is what a choice expects.
type Forecast struct {
	// TimeToFirst is the expected time to the first event or the answer.
	TimeToFirst time.Duration
	// TimeToLast is the expected time to the end of a stream.
	TimeToLast time.Duration
	// CachedTokens tokens of the prompt.
	CachedTokens int
	// Backlog is the reading to be done there before.
	Backlog time.Duration
	// Running is the number of requests believed to be there.
	Running int
	// Cost is the expected harm, in late answers.
	Cost float64
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream fleet.Upstream
	Forecast Forecast
}

// Choose returns the candidate with the least expected harm, or false if there
// is none. Upstreams that showed signs of being away are taken last.
func (m *Balancer) Choose(now time.Time, serviceName string, candidates []fleet.Candidate, w *Request) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(serviceName)
	all := m.load(now, candidates, w)
	var best Choice
	found := false
	for _, c := range candidates {
		f := m.forecast(now, s, c, w, all)
		if !found || f.Cost < best.Forecast.Cost {
			best, found = Choice{Upstream: c.Upstream, Forecast: f}, true
		}
	}
	return best, found
}

// Explain returns the forecast for each candidate, in their order.
func (m *Balancer) Explain(now time.Time, serviceName string, candidates []fleet.Candidate, w *Request) []Choice {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(serviceName)
	all := m.load(now, candidates, w)
	choices := make([]Choice, 0, len(candidates))
	for _, c := range candidates {
		choices = append(choices, Choice{Upstream: c.Upstream, Forecast: m.forecast(now, s, c, w, all)})
	}
	return choices
}

// load is what a choice knows of all candidates together.
type load struct {
	// read is the price of a second of reading, in late answers.
	read float64
	// pressure is the mean share of time spent reading prompts lately, usual that
	// over a longer time.
	pressure, usual float64
}

// load returns the load of the candidates. The more prompts wait to be read, the
// more requests does each second of reading delay.
func (m *Balancer) load(now time.Time, candidates []fleet.Candidate, w *Request) load {
	l := load{read: m.settings.PrefillCost}
	if !w.Engine || len(candidates) == 0 {
		return l
	}
	unread := time.Duration(0)
	for _, c := range candidates {
		u := m.upstream(c.Upstream)
		u.expire(now)
		unread += u.unread(now)
		l.pressure += u.pressure.at(now)
		l.usual += u.usual.at(now)
	}
	l.read *= 1 + unread.Seconds()/float64(len(candidates))/fullBacklog.Seconds()
	l.pressure /= float64(len(candidates))
	l.usual /= float64(len(candidates))
	return l
}

// fullBacklog is the mean backlog at which a second of reading costs twice as
// much as on idle engines (docs/MEASUREMENTS.md: 0.2 s and none were worse).
const fullBacklog = 500 * time.Millisecond

func (m *Balancer) forecast(now time.Time, s *service, c fleet.Candidate, w *Request, all load) Forecast {
	u := m.upstream(c.Upstream)
	u.expire(now)
	var f Forecast
	if w.Engine {
		f = s.forecastEngine(now, u, c, w, m.settings, all)
		f.Cost += m.settings.RecomputeCost * float64(m.readAgain(now, u, w.Segments)) / 1000
		f.Cost += homeCost * homeDistance(w.Segments, c.ID)
	} else {
		f = s.forecastPlain(now, u, c)
		f.Cost = lateness(now.Sub(w.ArrivedAt)+f.TimeToFirst, w.LatencyTarget, firstWidth*w.LatencyTarget.Seconds())
	}
	if c.Centre != w.Centre {
		f.Cost += m.settings.TransferCost * float64(w.Bytes) / (1 << 20)
	}
	f.Cost += failureCost * c.FailureRate
	if c.Banned {
		f.Cost += bannedCost
	}
	return f
}

// share is a smoothed share of time.
type share struct {
	life  time.Duration
	value float64
	when  time.Time
}

// at returns the share, decayed until now.
func (s *share) at(now time.Time) float64 {
	return s.value * math.Exp(-float64(now.Sub(s.when))/float64(s.life))
}

// add counts a time spent.
func (s *share) add(now time.Time, spent time.Duration) {
	s.value = s.at(now) + spent.Seconds()/s.life.Seconds()
	s.when = now
}

// homeCost makes entries that know nothing of each other agree on where parts
// go, among upstreams that are equal otherwise.
const homeCost = 0.02

// homeDistance is between 0 and 1, another for each pair of shared parts and
// upstream.
func homeDistance(parts []Segment, id string) float64 {
	if len(parts) == 0 {
		return 0
	}
	h := xxhash.Sum64String(id) ^ parts[len(parts)-1].Hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // Finaliser of MurmurHash3.
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
