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
const prefillChunkTokens = 2048

// First guesses of an engine's times, replaced by what is seen. They are of the
// size that published engines show for models of 8 to 70 billion parameters.
const (
	prefillTokensPerMs     = 75.0                  // Prompt tokens read in a millisecond.
	attentionMsPerMegapair = 0.5                   // Milliseconds for a million pairs of attention.
	initialDecodeStep      = 6 * time.Millisecond  // Between two tokens of one request.
	initialPlainLatency    = 40 * time.Millisecond // Of a plain request.
)

const (
	// maxReportAge is how long an upstream's own word on its load is believed.
	maxReportAge = 300 * time.Millisecond
	// prefillUtilTimeConstant is the time over which the share of reading is smoothed, and
	// usualLife that for forecasts as long as a stream lasts.
	prefillUtilTimeConstant     = 2 * time.Second
	longPrefillUtilTimeConstant = 10 * time.Second
	// smoothingWindow is the number of observations that a learnt value is smoothed over.
	smoothingWindow = 40.0
	// minObservedRatio and maxScale bound what one observation may teach.
	minObservedRatio = 0.25
	maxObservedRatio = 4.0
	// maxUncontendedBacklog is the largest backlog at a send whose time still teaches.
	maxUncontendedBacklog = 20 * time.Millisecond
	// defaultOutputTokens is assumed where a caller gives no estimate, tokens.
	defaultOutputTokens = 150
	// remoteRunMargin stretches the expected end of runs that other entries told of.
	remoteRunMargin = 1.3
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

// expectedOutput is the expected number of expectedOutput tokens.
func (req *Request) expectedOutput() int {
	if req.OutputTokens > 0 {
		return req.OutputTokens
	}
	return defaultOutputTokens
}

// serviceModel is what was learnt of a serviceModel's upstreams.
type serviceModel struct {
	// prefillScale corrects the predicted time to read a prompt.
	prefillScale float64
	// firstTokenOverhead is added to it: the time to the first token of a short prompt.
	firstTokenOverhead time.Duration
	// prefillSlowdown is the time that a second of reading takes behind other prompts, while
	// tokens of running requests are made in between.
	prefillSlowdown float64
	// decodeSteps gives the milliseconds between two tokens of a request for the
	// thousands of tokens that an engine's running requests hold.
	decodeSteps  linearRegression
	plainLatency time.Duration
	// Numbers of observations that scale, base and pace were learnt from.
	scaleSamples, overheadSamples, slowdownSamples int
}

// gain is the weight of one more observation: large for the first ones, which
// replace a guess.
func gain(n *int) float64 {
	*n++
	return max(1/smoothingWindow, 1/(float64(*n)+priorObservations))
}

// priorObservations is the number of observations that a guess is worth.
const priorObservations = 4

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
	upstreams map[string]*upstreamState
	services  map[string]*serviceModel
	sequence  uint64
	// remoteRuns holds the runs of other entries.
	remoteRuns map[uint64]*upstreamState
	// lastSent is when requests of each level were last lastSent, by service.
	lastSent map[string]map[int]time.Time
	// lastUsed is when a part was last lastUsed anywhere.
	lastUsed map[uint64]time.Time
	prunedAt time.Time
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
		settings: s, upstreams: map[string]*upstreamState{}, services: map[string]*serviceModel{},
		remoteRuns: map[uint64]*upstreamState{}, lastSent: map[string]map[int]time.Time{}, lastUsed: map[uint64]time.Time{},
	}
}

// recordUse records that the parts are used now, and forgets those not used for long.
func (b *Balancer) recordUse(now time.Time, segments []Segment) {
	for _, seg := range segments {
		b.lastUsed[seg.Hash] = now
	}
	if now.Sub(b.prunedAt) < b.settings.RecomputeWindow {
		return
	}
	b.prunedAt = now
	for h, at := range b.lastUsed {
		if now.Sub(at) > b.settings.RecomputeWindow {
			delete(b.lastUsed, h)
		}
	}
	// The word that a run ended may have been lost.
	for key, u := range b.remoteRuns {
		if _, ok := u.runs[key]; !ok {
			delete(b.remoteRuns, key)
		}
	}
}

// recomputedTokens returns how many tokens of the prompt would be read once more
// though some upstream read them lately.
func (b *Balancer) recomputedTokens(now time.Time, u *upstreamState, segments []Segment) int {
	n := 0
	contiguous := true
	for _, seg := range segments {
		_, ok := u.cachedSegments[seg.Hash]
		contiguous = contiguous && ok
		if at, ok := b.lastUsed[seg.Hash]; !contiguous && ok && now.Sub(at) < b.settings.RecomputeWindow {
			n += seg.Tokens
		}
	}
	return n
}

func (b *Balancer) serviceModel(name string) *serviceModel {
	s, ok := b.services[name]
	if !ok {
		s = &serviceModel{prefillScale: 1, prefillSlowdown: 1, decodeSteps: newLinearRegression(initialDecodeStep.Seconds()*1000, priorObservations), plainLatency: initialPlainLatency}
		b.services[name] = s
	}
	return s
}

func (b *Balancer) upstream(u fleet.Upstream) *upstreamState {
	state, ok := b.upstreams[u.ID]
	if !ok || state.startedAt != u.StartedAt {
		state = newUpstreamState(b.serviceModel(u.Service), u.StartedAt)
		b.upstreams[u.ID] = state
	}
	return state
}

// Forget drops what is believed of an upstream that is gone.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	delete(b.upstreams, id)
	b.mu.Unlock()
}

// decodeStep predicts the time between two tokens of a request at an upstream.
func (s *serviceModel) decodeStep(u *upstreamState) time.Duration {
	return time.Duration(s.decodeSteps.predict(float64(u.usedTokens)/1000) * float64(time.Millisecond))
}

// prefillTime predicts how long an engine takes to read tokens that stand behind
// others.
func (s *serviceModel) prefillTime(tokens, preceding int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	pairs := float64(tokens) * (float64(preceding) + float64(tokens)/2) / 1e6
	ms := float64(tokens)/prefillTokensPerMs + pairs*attentionMsPerMegapair
	return time.Duration(ms * s.prefillScale * float64(time.Millisecond))
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
func (b *Balancer) Choose(now time.Time, serviceName string, candidates []fleet.Candidate, req *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(serviceName)
	aggregate := b.aggregateLoad(now, candidates, req)
	var best Choice
	found := false
	for _, c := range candidates {
		f := b.forecast(now, s, c, req, aggregate)
		if !found || f.Cost < best.Forecast.Cost {
			best, found = Choice{Upstream: c.Upstream, Forecast: f}, true
		}
	}
	return best, found
}

// Explain returns the forecast for each candidate, in their order.
func (b *Balancer) Explain(now time.Time, serviceName string, candidates []fleet.Candidate, req *Request) []Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(serviceName)
	aggregate := b.aggregateLoad(now, candidates, req)
	choices := make([]Choice, 0, len(candidates))
	for _, c := range candidates {
		choices = append(choices, Choice{Upstream: c.Upstream, Forecast: b.forecast(now, s, c, req, aggregate)})
	}
	return choices
}

// aggregateLoad is what a choice knows of all candidates together.
type aggregateLoad struct {
	// prefillCost is the price of a second of reading, in late answers.
	prefillCost float64
	// prefillUtil is the mean share of time spent reading prompts lately, longPrefillUtil that
	// over a longer time.
	prefillUtil, longPrefillUtil float64
}

// aggregateLoad returns the aggregateLoad of the candidates. The more prompts wait to be read, the
// more requests does each second of reading delay.
func (b *Balancer) aggregateLoad(now time.Time, candidates []fleet.Candidate, req *Request) aggregateLoad {
	l := aggregateLoad{prefillCost: b.settings.PrefillCost}
	if !req.Engine || len(candidates) == 0 {
		return l
	}
	pending := time.Duration(0)
	for _, c := range candidates {
		u := b.upstream(c.Upstream)
		u.removeExpired(now)
		pending += u.pendingPrefill(now)
		l.prefillUtil += u.prefillUtil.at(now)
		l.longPrefillUtil += u.longPrefillUtil.at(now)
	}
	l.prefillCost *= 1 + pending.Seconds()/float64(len(candidates))/costDoublingBacklog.Seconds()
	l.prefillUtil /= float64(len(candidates))
	l.longPrefillUtil /= float64(len(candidates))
	return l
}

// costDoublingBacklog is the mean backlog at which a second of reading costs twice as
// much as on idle engines (docs/MEASUREMENTS.md: 0.2 s and none were worse).
const costDoublingBacklog = 500 * time.Millisecond

func (b *Balancer) forecast(now time.Time, s *serviceModel, c fleet.Candidate, req *Request, aggregate aggregateLoad) Forecast {
	u := b.upstream(c.Upstream)
	u.removeExpired(now)
	var f Forecast
	if req.Engine {
		f = s.forecastEngine(now, u, c, req, b.settings, aggregate)
		f.Cost += b.settings.RecomputeCost * float64(b.recomputedTokens(now, u, req.Segments)) / 1000
		f.Cost += rendezvousCost * rendezvousDistance(req.Segments, c.ID)
	} else {
		f = s.forecastPlain(now, u, c)
		f.Cost = missProbability(now.Sub(req.ArrivedAt)+f.TimeToFirst, req.LatencyTarget, firstEventUncertainty*req.LatencyTarget.Seconds())
	}
	if c.Centre != req.Centre {
		f.Cost += b.settings.TransferCost * float64(req.Bytes) / (1 << 20)
	}
	f.Cost += failureCost * c.FailureRate
	if c.Banned {
		f.Cost += bannedCost
	}
	return f
}

// decayedUtil is a smoothed decayedUtil of time.
type decayedUtil struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Time
}

// at returns the share, decayed until now.
func (s *decayedUtil) at(now time.Time) float64 {
	return s.value * math.Exp(-float64(now.Sub(s.updatedAt))/float64(s.timeConstant))
}

// add counts a time spent.
func (s *decayedUtil) add(now time.Time, spent time.Duration) {
	s.value = s.at(now) + spent.Seconds()/s.timeConstant.Seconds()
	s.updatedAt = now
}

// rendezvousCost makes entries that know nothing of each other agree on where parts
// go, among upstreams that are equal otherwise.
const rendezvousCost = 0.02

// rendezvousDistance is between 0 and 1, another for each pair of shared parts and
// upstream.
func rendezvousDistance(segments []Segment, id string) float64 {
	if len(segments) == 0 {
		return 0
	}
	h := xxhash.Sum64String(id) ^ segments[len(segments)-1].Hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // Finaliser of MurmurHash3.
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
