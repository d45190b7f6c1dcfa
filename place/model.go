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
	// pressureLife is the time over which the share of reading is smoothed.
	pressureLife = 2 * time.Second
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

// Work is what a request needs.
type Work struct {
	Parts []Part
	// Prompt and Output are tokens; Output is an estimate.
	Prompt, Output int
	// Target of the first event or of the answer, Pause between events, Limit of
	// the whole answer; 0 means none.
	Target, Pause, Limit time.Duration
	Tier                 int
	Centre               string
	// Bytes of the request and about those of the answer.
	Bytes int
	// Engine says that a model engine runs it.
	Engine bool
	Memory int
	Stride int
	// Started is when the caller's wait began.
	Started time.Time
}

// output is the expected number of output tokens.
func (w *Work) output() int {
	if w.Output > 0 {
		return w.Output
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
	// Read is the price of a second of reading prompts, in late answers.
	Read float64
	// Wait is the price of a first event just at its target, in late answers; it
	// grows with the square of the time. Who waits there makes those that follow
	// wait, the more the longer the backlog is.
	Wait float64
	// Again is the price of reading a thousand tokens once more that some upstream
	// read within Fresh, in late answers.
	Again float64
	Fresh time.Duration
	// Byte is the price of a megabyte between data centres, in late answers.
	Byte float64
}

// Defaults of Settings.
const (
	// Trials on heavy days (docs/MEASUREMENTS.md): 0.5 and 2 served fewer on time.
	DefaultRead = 5.0
	// The same; above 1 prompts spread over so many engines that caches are lost.
	DefaultWait = 0.5
	// The users' price of reading shared parts again; half of it served fewer.
	DefaultAgain = 0.1
	// Between the users' prices of 1.3 and 10; 1 and 8 made no difference.
	DefaultByte = 3.0
	// Used where the settings name no time.
	DefaultFresh = 10 * time.Second
)

// Model holds what is believed of all upstreams.
type Model struct {
	mu        sync.Mutex
	settings  Settings
	upstreams map[string]*upstream
	services  map[string]*service
	sequence  uint64
	// told holds the runs of other entries.
	told map[uint64]*upstream
	// used is when a part was last used anywhere.
	used   map[uint64]time.Time
	pruned time.Time
}

// New returns an empty model.
func New(s Settings) *Model {
	if s.Read == 0 {
		s.Read = DefaultRead
	}
	if s.Byte == 0 {
		s.Byte = DefaultByte
	}
	if s.Wait == 0 {
		s.Wait = DefaultWait
	}
	if s.Again == 0 {
		s.Again = DefaultAgain
	}
	if s.Fresh == 0 {
		s.Fresh = DefaultFresh
	}
	return &Model{
		settings: s, upstreams: map[string]*upstream{}, services: map[string]*service{},
		told: map[uint64]*upstream{}, used: map[uint64]time.Time{},
	}
}

// use records that the parts are used now, and forgets those not used for long.
func (m *Model) use(now time.Time, parts []Part) {
	for _, p := range parts {
		m.used[p.Hash] = now
	}
	if now.Sub(m.pruned) < m.settings.Fresh {
		return
	}
	m.pruned = now
	for h, at := range m.used {
		if now.Sub(at) > m.settings.Fresh {
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
func (m *Model) readAgain(now time.Time, u *upstream, parts []Part) int {
	n := 0
	cached := true
	for _, p := range parts {
		_, ok := u.parts[p.Hash]
		cached = cached && ok
		if at, ok := m.used[p.Hash]; !cached && ok && now.Sub(at) < m.settings.Fresh {
			n += p.Tokens
		}
	}
	return n
}

func (m *Model) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{scale: 1, pace: 1, steps: newLine(guessStep.Seconds()*1000, firstGuess), work: guessWork}
		m.services[name] = s
	}
	return s
}

func (m *Model) upstream(u fleet.Upstream) *upstream {
	have, ok := m.upstreams[u.ID]
	if !ok || have.born != u.Born {
		have = newUpstream(m.service(u.Service), u.Born)
		m.upstreams[u.ID] = have
	}
	return have
}

// Forget drops what is believed of an upstream that is gone.
func (m *Model) Forget(id string) {
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
	// First is the expected time to the first event or the answer.
	First time.Duration
	// Last is the expected time to the end of a stream.
	Last time.Duration
	// Cached tokens of the prompt.
	Cached int
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
func (m *Model) Choose(now time.Time, serviceName string, candidates []fleet.Candidate, w *Work) (Choice, bool) {
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
func (m *Model) Explain(now time.Time, serviceName string, candidates []fleet.Candidate, w *Work) []Choice {
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
	// pressure is the mean share of time spent reading prompts.
	pressure float64
}

// load returns the load of the candidates. The more prompts wait to be read, the
// more requests does each second of reading delay.
func (m *Model) load(now time.Time, candidates []fleet.Candidate, w *Work) load {
	l := load{read: m.settings.Read}
	if !w.Engine || len(candidates) == 0 {
		return l
	}
	unread := time.Duration(0)
	for _, c := range candidates {
		u := m.upstream(c.Upstream)
		u.expire(now)
		unread += u.unread(now)
		l.pressure += u.pressureAt(now)
	}
	l.read *= 1 + unread.Seconds()/float64(len(candidates))/fullBacklog.Seconds()
	l.pressure /= float64(len(candidates))
	return l
}

// fullBacklog is the mean backlog at which a second of reading costs twice as
// much as on idle engines (docs/MEASUREMENTS.md: 0.2 s and none were worse).
const fullBacklog = 500 * time.Millisecond

func (m *Model) forecast(now time.Time, s *service, c fleet.Candidate, w *Work, all load) Forecast {
	u := m.upstream(c.Upstream)
	u.expire(now)
	var f Forecast
	if w.Engine {
		f = s.forecastEngine(now, u, c, w, m.settings, all)
		f.Cost += m.settings.Again * float64(m.readAgain(now, u, w.Parts)) / 1000
		f.Cost += homeCost * homeDistance(w.Parts, c.ID)
	} else {
		f = s.forecastPlain(now, u, c)
		f.Cost = lateness(now.Sub(w.Started)+f.First, w.Target, firstWidth*w.Target.Seconds())
	}
	if c.Centre != w.Centre {
		f.Cost += m.settings.Byte * float64(w.Bytes) / (1 << 20)
	}
	f.Cost += failureCost * c.Failures
	if c.Banned {
		f.Cost += bannedCost
	}
	return f
}

const (
	// worstPart bounds the price of waiting, and minTarget what it is divided by.
	worstPart = 1.0
	minTarget = 50 * time.Millisecond
	// memoryFull is the share of an engine's memory above which requests wait: the
	// lengths of outputs are estimates.
	memoryFull = 0.75
	// memoryTurn is the time in which an engine's running requests change once.
	memoryTurn = 4 * time.Second
	// overCost is the harm of an engine whose memory is asked for twice.
	overCost = 60.0
	// failureCost is the harm of an answer that fails: its caller has nothing, where
	// one that is late still has the answer.
	failureCost = 5.0
	// lostCost is the harm of a stream that is not whole when its caller's time is
	// up, beyond that of a late one, and limitWidth the uncertainty of its end, as
	// a share of the time.
	lostCost   = 2.0
	limitWidth = 0.15
	// silenceCost is the harm expected of an engine for each second beyond
	// silenceAfter that a first event is overdue: it may be dark, not busy.
	silenceCost  = 2.0
	silenceAfter = time.Second
	// bannedCost puts upstreams that seem away behind all others.
	bannedCost = 100.0
	// fullCost is the harm of waiting behind a full engine, for each request ahead.
	fullCost = 0.05
)

func (s *service) forecastPlain(now time.Time, u *upstream, c fleet.Candidate) Forecast {
	n := u.count(now)
	wait := float64(max(0, n+1-c.Slots)) / float64(max(1, c.Slots))
	first := s.work + time.Duration(wait*float64(s.work)) + time.Duration(float64(n)/float64(max(1, c.Slots))*float64(time.Millisecond))
	return Forecast{First: first, Running: n}
}

func (s *service) forecastEngine(now time.Time, u *upstream, c fleet.Candidate, w *Work, price Settings, all load) Forecast {
	total := w.Prompt
	have := min(total, u.cachedTokens(w.Parts))
	read := s.readTime(total-have, have)
	backlog := u.backlog(now, w.Tier)
	n := u.count(now)
	full := max(0, n+1-c.Slots)
	f := Forecast{Cached: have, Backlog: backlog, Running: n}
	step := s.step(u)
	f.First = backlog + read + s.base + step + time.Duration(full)*step*usualOutput/time.Duration(max(1, c.Slots))
	f.Cost = lateness(now.Sub(w.Started)+f.First, w.Target, firstWidth*w.Target.Seconds()+backlogWidth*backlog.Seconds())
	part := f.First.Seconds() / max(minTarget.Seconds(), w.Target.Seconds())
	f.Cost += price.Wait * min(worstPart, part*part)
	f.Cost += all.read * read.Seconds()
	f.Cost += fullCost * float64(full)
	f.Cost += min(failureCost, silenceCost*max(0, u.overdue(now, anyTier)-silenceAfter).Seconds())
	if over := u.used + u.need(w) - int(memoryFull*float64(w.Memory)); over > 0 && w.Memory > 0 {
		// It waits till others have left, or pushes one of them out.
		f.First += time.Duration(float64(over) / float64(w.Memory) * float64(memoryTurn))
		f.Cost += overCost * float64(over) / float64(w.Memory)
	}
	f.Last = f.First + s.streamTime(u, w, now)
	f.Cost += lostCost * lateness(now.Sub(w.Started)+f.Last, w.Limit, limitWidth*w.Limit.Seconds())
	f.Cost += s.harm(u, w, u.unread(now), read)
	f.Cost += s.ownPause(u, w, now, all)
	f.Cost += crowdCost * float64(n) / float64(max(1, c.Slots))
	return f
}

// crowdCost prefers emptier engines among equals; each request more slows the
// tokens of all a little.
const crowdCost = 0.05

// streamTime predicts how long a stream lasts, on an engine that reads prompts
// for a share of the time.
func (s *service) streamTime(u *upstream, w *Work, now time.Time) time.Duration {
	events := float64(w.output()) / float64(max(1, w.Stride))
	idle := time.Duration(max(1, w.Stride)) * s.step(u)
	gap := float64(idle) + min(1, u.pressureAt(now))*float64(s.loadedGap(u, w.Stride, usualBefore)-idle)
	return time.Duration(events * gap)
}

// loadedGap predicts the time between two events while prompts are read all the
// time, whose chunks stand behind a number of tokens.
func (s *service) loadedGap(u *upstream, stride, before int) time.Duration {
	return time.Duration(max(1, stride)) * (s.step(u) + s.readTime(chunkTokens, before))
}

// gapDuring predicts the longest time between two events while prompts are read
// for a time.
func (s *service) gapDuring(u *upstream, stride, before int, reading time.Duration) time.Duration {
	return min(time.Duration(max(1, stride))*s.step(u)+reading, s.loadedGap(u, stride, before))
}

// harm is the number of running requests whose pauses become too long if the
// prompt is read there too.
func (s *service) harm(u *upstream, w *Work, unread, read time.Duration) float64 {
	if read == 0 {
		return 0
	}
	longest := u.longestRead()
	was := s.gapDuring(u, w.Stride, longest, unread)
	is := s.gapDuring(u, w.Stride, max(longest, w.Prompt), unread+read)
	sum := 0.0
	for _, r := range u.runs {
		if r.pause > 0 {
			sum += lateness(is, r.pause, pauseWidth*r.pause.Seconds()) - lateness(was, r.pause, pauseWidth*r.pause.Seconds())
		}
	}
	return sum
}

// ownPause is the chance that the request's own pauses become too long, as the
// upstream reads prompts for a share of the time. Prompts will come here as they
// come elsewhere, unless those that run here keep them away.
func (s *service) ownPause(u *upstream, w *Work, now time.Time, all load) float64 {
	if w.Pause == 0 {
		return 0
	}
	gap := s.loadedGap(u, w.Stride, max(usualBefore, u.longestRead()))
	guarded := 0.0
	for _, r := range u.runs {
		if r.pause > 0 {
			guarded += lateness(gap, r.pause, pauseWidth*r.pause.Seconds())
		}
	}
	reading := max(u.pressureAt(now), all.pressure*math.Exp(-guarded/guardingRuns))
	return lateness(gap, w.Pause, pauseWidth*w.Pause.Seconds()) * min(1, reading)
}

// guardingRuns is the number of requests with short pauses that keep two thirds
// of the prompts away from an engine: each adds one late answer to their cost
// (docs/MEASUREMENTS.md: 1.5 and 6 were no better).
const guardingRuns = 3.0

// usualBefore is the number of tokens that stand before a usual chunk.
const usualBefore = 16000

// pressureAt is the share of time spent reading, decayed until now.
func (u *upstream) pressureAt(now time.Time) float64 {
	return u.pressure * math.Exp(-float64(now.Sub(u.pressed))/float64(pressureLife))
}

// lateness is the probability that something expected to take d takes longer
// than limit: a logistic curve whose width is the uncertainty, in seconds.
func lateness(d, limit time.Duration, width float64) float64 {
	if limit <= 0 {
		return 0
	}
	return 1 / (1 + math.Exp(-(d-limit).Seconds()/width))
}

// Uncertainties of forecasts.
const (
	// firstWidth is a share of the target, backlogWidth one of the backlog.
	firstWidth   = 0.12
	backlogWidth = 0.3
	// pauseWidth is a share of the longest pause.
	pauseWidth = 0.1
)

// homeCost makes entries that know nothing of each other agree on where parts
// go, among upstreams that are equal otherwise.
const homeCost = 0.02

// homeDistance is between 0 and 1, another for each pair of shared parts and
// upstream.
func homeDistance(parts []Part, id string) float64 {
	if len(parts) == 0 {
		return 0
	}
	h := xxhash.Sum64String(id) ^ parts[len(parts)-1].Hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // Finaliser of MurmurHash3.
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
