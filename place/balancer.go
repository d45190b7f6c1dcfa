// Package place chooses the upstream for a request by expected cost. The cost counts
// the latency target that the request itself may miss, and the event gap targets that
// running requests may miss while its prompt is processed. The package keeps an
// estimate of each upstream's state from the requests that entries sent and from the
// load that upstreams reported. It does no I/O and takes the time as an argument.
package place

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
)

// prefillChunkTokens is the chunk size of engines with chunked prefill, which
// process prompts in chunks between the decode steps of running requests.
const prefillChunkTokens = 2048

// Initial estimates of an engine's speed, corrected by observations. They match
// published figures for models of 8 to 70 billion parameters.
const (
	prefillTokensPerMs     = 75.0                  // Prompt tokens per millisecond.
	attentionMsPerMegapair = 0.5                   // Milliseconds per million attention pairs.
	initialDecodeStep      = 6 * time.Millisecond  // Time between two tokens of a request.
	initialPlainLatency    = 40 * time.Millisecond // Of a request that no model engine runs.
)

const (
	// maxReportAge is the age up to which an upstream's report of its load is used.
	maxReportAge = 300 * time.Millisecond
	// prefillUtilTimeConstant is the smoothing time constant of the fraction of time spent
	// on prefill, and longPrefillUtilTimeConstant that for predictions over the duration
	// of a stream.
	prefillUtilTimeConstant     = 2 * time.Second
	longPrefillUtilTimeConstant = 10 * time.Second
	// smoothingWindow is the number of observations that an estimate is smoothed over.
	smoothingWindow = 40.0
	// minObservedRatio and maxObservedRatio clip the ratio of observed to predicted
	// time, so that no single observation dominates.
	minObservedRatio = 0.25
	maxObservedRatio = 4.0
	// maxUncontendedBacklog is the largest backlog of an engine at which a request sent
	// still counts as uncontended.
	maxUncontendedBacklog = 20 * time.Millisecond
	// defaultOutputTokens is assumed for callers that give no estimate.
	defaultOutputTokens = 150
	// remoteRunMargin is the factor by which the expected decode time is extended,
	// after which remote runs are removed.
	remoteRunMargin = 1.3
)

// Request describes what a request needs of an upstream.
type Request struct {
	Segments []Segment
	// PromptTokens and OutputTokens are lengths; OutputTokens is an estimate, and 0
	// means unknown.
	PromptTokens, OutputTokens int
	// LatencyTarget of the first event or of the plain response, EventGapTarget of the
	// time between events, Timeout of the complete response; 0 means none.
	LatencyTarget, EventGapTarget, Timeout time.Duration
	// Tier is the priority at the upstream, RouteTier that of the route alone, whoever
	// the caller is; 0 is the highest.
	Tier, RouteTier int
	Centre          string
	// Bytes is the size of the request and, approximately, of its response.
	Bytes int
	// Engine is set if a model engine runs the request. The next two fields are only
	// used then: KVCapacity is the size of its KV cache in tokens, 0 if unknown, and
	// TokensPerEvent the number of tokens in an event of a stream.
	Engine         bool
	KVCapacity     int
	TokensPerEvent int
	// ArrivedAt is when the request arrived at the entry; targets and the timeout
	// count from then.
	ArrivedAt time.Time
}

// expectedOutput returns the expected number of output tokens.
func (req *Request) expectedOutput() int {
	if req.OutputTokens > 0 {
		return req.OutputTokens
	}
	return defaultOutputTokens
}

// serviceModel holds the latency estimates of a service's upstreams.
type serviceModel struct {
	// prefillScale is the correction factor of the predicted prefill time.
	prefillScale float64
	// firstTokenOverhead is added to it: the time to the first token of a short prompt.
	firstTokenOverhead time.Duration
	// prefillSlowdown is the elapsed time per second of prefill in a queue, while decode
	// steps of running requests run in between.
	prefillSlowdown float64
	// decodeSteps gives the milliseconds per decode step for the thousands of tokens in
	// use by the running requests of an engine.
	decodeSteps  linearRegression
	plainLatency time.Duration
	// sampledLoad is the load of the service as its samples show it.
	sampledLoad smoothedLoad
	// Numbers of observations of prefillScale, firstTokenOverhead and prefillSlowdown.
	scaleSamples, overheadSamples, slowdownSamples int
}

// gain counts one more observation and returns its weight, which is larger for the
// first ones, as they replace the initial estimate.
func gain(n *int) float64 {
	*n++
	return max(1/smoothingWindow, 1/(float64(*n)+priorObservations))
}

// priorObservations is the weight of an initial estimate, in observations.
const priorObservations = 4

// Settings are the weights of the cost function, in SLO violations. The zero value
// of a field means its default.
type Settings struct {
	// PrefillCost is the cost of a second of prefill.
	PrefillCost float64
	// FirstEventCost is the cost of a first event exactly at its latency target; it
	// grows with the square of the time. A queued request delays those behind it, the
	// more the longer the backlog is.
	FirstEventCost float64
	// RecomputeCost is the cost of recomputing a thousand prompt tokens that some
	// upstream processed within RecomputeWindow.
	RecomputeCost   float64
	RecomputeWindow time.Duration
	// TransferCost is the cost of a megabyte sent between data centres.
	TransferCost float64
}

// Defaults of Settings.
const (
	// 0.5 and 2 serve fewer requests on time under heavy load (docs/MEASUREMENTS.md).
	DefaultPrefillCost = 5.0
	// Above 1, prompts spread over so many engines that cache hits are lost
	// (docs/MEASUREMENTS.md).
	DefaultFirstEventCost = 0.5
	// The cost that users give for recomputing shared prompts; half of it serves fewer
	// requests on time.
	DefaultRecomputeCost = 0.1
	// Between the 1.3 and 10 that users give; 1 and 8 make no difference.
	DefaultTransferCost = 3.0
	// Used where the settings give no time.
	DefaultRecomputeWindow = 10 * time.Second
)

// Balancer chooses upstreams and keeps an estimate of the state of each. It is safe
// for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	settings  Settings
	upstreams map[string]*upstreamState
	// holders maps segments to some of the upstreams that have them in their cache.
	holders  map[segmentKey][]*upstreamState
	services map[string]*serviceModel
	sequence uint64
	// remoteRuns maps the keys of runs of other entries to their upstreams.
	remoteRuns map[uint64]*upstreamState
	// lastSent is when requests of each route tier were last sent, by service.
	lastSent map[string]map[int]time.Time
	// lastUsed is when a segment was last used at any upstream of its service.
	lastUsed map[segmentKey]time.Time
	prunedAt time.Time
}

// segmentKey is a segment of the prompts of a service. Two services, which run different models,
// may get prompts that share segments.
type segmentKey struct {
	service string
	hash    uint64
}

// New returns a balancer without upstreams.
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
		settings: s, upstreams: map[string]*upstreamState{}, holders: map[segmentKey][]*upstreamState{}, services: map[string]*serviceModel{},
		remoteRuns: map[uint64]*upstreamState{}, lastSent: map[string]map[int]time.Time{}, lastUsed: map[segmentKey]time.Time{},
	}
}

// recordUse records that the segments are used now at an upstream of a service, and removes
// those that were not used within RecomputeWindow.
func (b *Balancer) recordUse(now time.Time, service string, segments []Segment) {
	for _, seg := range segments {
		b.lastUsed[segmentKey{service, seg.Hash}] = now
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
	// The message with which a peer reports the end of its run may have been lost.
	for key, u := range b.remoteRuns {
		if _, ok := u.runs[key]; !ok {
			delete(b.remoteRuns, key)
		}
	}
}

// recomputedTokens returns how many prompt tokens the upstream would have to process
// although some upstream of its service processed them within RecomputeWindow.
func (b *Balancer) recomputedTokens(now time.Time, u *upstreamState, segments []Segment) int {
	n := 0
	contiguous := true
	for _, seg := range segments {
		_, ok := u.cachedSegments[seg.Hash]
		contiguous = contiguous && ok
		if at, ok := b.lastUsed[segmentKey{u.service, seg.Hash}]; !contiguous && ok && now.Sub(at) < b.settings.RecomputeWindow {
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
	if !ok || state.startedAt != u.StartedAt || state.service != u.Service {
		b.dropUpstream(u.ID)
		state = newUpstreamState(b.serviceModel(u.Service), u.StartedAt)
		state.id, state.service = u.ID, u.Service
		state.onCached = func(hash uint64) { b.addHolder(hash, state) }
		state.onEvicted = func(hash uint64) { b.dropHolder(hash, state) }
		b.upstreams[u.ID] = state
	}
	return state
}

// Forget drops the state of a removed upstream.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	b.dropUpstream(id)
	b.mu.Unlock()
}

// decodeStep predicts the time between two tokens of a request at an upstream.
func (s *serviceModel) decodeStep(u *upstreamState) time.Duration {
	return time.Duration(s.decodeSteps.predict(float64(u.usedTokens)/1000) * float64(time.Millisecond))
}

// prefillTime predicts how long an engine takes for the prefill of tokens that
// follow a number of preceding tokens of the prompt.
func (s *serviceModel) prefillTime(tokens, preceding int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	pairs := float64(tokens) * (float64(preceding) + float64(tokens)/2) / 1e6
	ms := float64(tokens)/prefillTokensPerMs + pairs*attentionMsPerMegapair
	return time.Duration(ms * s.prefillScale * float64(time.Millisecond))
}

// Forecast is the prediction for a request at an upstream.
type Forecast struct {
	// TimeToFirst is the expected time to the first event or the plain response.
	TimeToFirst time.Duration
	// TimeToLast is the expected time to the end of a stream; 0 for plain requests.
	TimeToLast time.Duration
	// CachedTokens is the length of the prompt's cached prefix.
	CachedTokens int
	// Backlog is the expected wait before the prefill starts.
	Backlog time.Duration
	// Running is the estimated number of requests at the upstream.
	Running int
	// Cost is the expected cost, in SLO violations.
	Cost float64
}

// Choice is an upstream with its forecast.
type Choice struct {
	Upstream fleet.Upstream
	Forecast Forecast
}

// Choose returns the candidate with the lowest expected cost, or false if there are
// no candidates. Banned upstreams are chosen last.
func (b *Balancer) Choose(now time.Time, serviceName string, candidates []fleet.Candidate, req *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(serviceName)
	return b.cheapest(now, s, candidates, req, b.aggregateLoad(now, candidates, req))
}

func (b *Balancer) cheapest(now time.Time, s *serviceModel, candidates []fleet.Candidate, req *Request, aggregate aggregateLoad) (Choice, bool) {
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

// Explain returns the forecasts for all candidates, in their order.
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

// aggregateLoad is the load of all candidates together.
type aggregateLoad struct {
	// prefillCost is the cost of a second of prefill, in SLO violations.
	prefillCost float64
	// prefillUtil is the mean fraction of time spent on prefill, longPrefillUtil that over
	// a longer time.
	prefillUtil, longPrefillUtil float64
}

// aggregateLoad returns the load of the candidates. The cost of a second of prefill
// grows with the mean backlog, as it delays more requests.
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

// costDoublingBacklog is the mean backlog at which a second of prefill costs twice as
// much as on idle engines (docs/MEASUREMENTS.md: 0.2 s and no such growth are worse).
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
		f.Cost += missProbability(now.Sub(req.ArrivedAt)+f.TimeToFirst, req.LatencyTarget, firstEventUncertainty*req.LatencyTarget.Seconds())
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

// decayedUtil is an exponentially smoothed fraction of time.
type decayedUtil struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Time
}

// at returns the fraction, decayed to now.
func (u *decayedUtil) at(now time.Time) float64 {
	if u.value == 0 {
		return 0
	}
	return u.value * math.Exp(-float64(now.Sub(u.updatedAt))/float64(u.timeConstant))
}

// add adds busy time.
func (u *decayedUtil) add(now time.Time, spent time.Duration) {
	u.value = u.at(now) + spent.Seconds()/u.timeConstant.Seconds()
	u.updatedAt = now
}

// rendezvousCost makes entries without shared state agree on an upstream for a
// segment, among otherwise equal ones, as in rendezvous hashing.
const rendezvousCost = 0.02

// rendezvousDistance returns a hash of the last shared segment and the upstream,
// scaled to 0 up to 1. It is 0 without segments.
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
