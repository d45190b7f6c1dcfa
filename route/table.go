// Package route decides which agent gets a request. It keeps what the agents
// last said of themselves and corrects it by what this entry sent since. It
// does no I/O and reads no clock.
package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/config"
)

const (
	// stragglerFactor is the ratio to the median pace of its model above which
	// an upstream counts as a straggler.
	stragglerFactor = 2.0
	// probeIntervalLowTiers is the time between two requests that go to a straggler all the
	// same, so that its recovery is seen. Patient work suffers less from that, so
	// higher tiers are taken only after probeHigh.
	probeIntervalLowTiers  = 30 * time.Second
	probeIntervalHighTiers = 2 * time.Minute
	// sampleSize is the number of candidates compared for a request.
	sampleSize = 16
)

// Agent is what an agent last said of itself.
type Agent struct {
	Name        string
	Incarnation uint64
	Centre      string
	Model       string
	Service     string
	Slots       int
	Running     int
	Queued      [config.Tiers]int
	// QueueSpace is the number of free places in the queue.
	QueueSpace int
	Draining   bool
	Healthy    bool
	// TimePerToken is the smoothed time for each token; 0 means unknown.
	TimePerToken time.Duration
}

// Requirements is what a request needs of an agent.
type Requirements struct {
	Model   string
	Service string
	Tier    int
	Centre  string
	// PrefixHash is the hash of the request's first part; 0 means none.
	PrefixHash uint64
	// Excluded names agents that refused or failed this request.
	Excluded map[string]bool
}

type member struct {
	Agent
	lastUpdate time.Time
	// sentSinceUpdate counts the requests of this entry that the state does not show yet.
	sentSinceUpdate int
	leaving         bool
	// lastProbe is when the last probe was sent.
	lastProbe time.Time
}

// Table holds the agents known to an entry.
type Table struct {
	mu     sync.Mutex
	agents map[string]*member
	// maxStateAge is the age at which an agent's state is no longer trusted.
	maxStateAge time.Duration
}

// New returns an empty table. Agents not heard of for as long as stale get no
// work.
func New(maxStateAge time.Duration) *Table {
	return &Table{agents: map[string]*member{}, maxStateAge: maxStateAge}
}

// Update records what an agent said. A lower incarnation than one already
// seen is a replaced process, and is ignored.
func (t *Table) Update(now time.Time, a Agent) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.agents[a.Name]
	if !ok {
		m = &member{}
		t.agents[a.Name] = m
	}
	if a.Incarnation < m.Incarnation {
		return false
	}
	m.Agent = a
	m.lastUpdate = now
	m.sentSinceUpdate = 0
	return true
}

// SetLeaving records which agents the host list calls leaving.
func (t *Table) SetLeaving(leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.agents {
		m.leaving = leaving[name]
	}
}

// MarkUnreachable records that an agent did not answer.
func (t *Table) MarkUnreachable(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.agents[name]; ok {
		m.lastUpdate = time.Time{}
	}
}

// List returns the known agents by name, and when each was last heard.
func (t *Table) List() ([]Agent, []time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.agents))
	for name := range t.agents {
		names = append(names, name)
	}
	slices.Sort(names)
	agents := make([]Agent, 0, len(names))
	lastUpdates := make([]time.Time, 0, len(names))
	for _, name := range names {
		agents = append(agents, t.agents[name].Agent)
		lastUpdates = append(lastUpdates, t.agents[name].lastUpdate)
	}
	return agents, lastUpdates
}

// Serves reports whether any known agent serves the model or service.
func (t *Table) Serves(req Requirements) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.agents {
		if m.Model == req.Model && m.Service == req.Service {
			return true
		}
	}
	return false
}

// Choose picks an agent for a request, or reports that none would take it.
// random returns a number from 0 to n-1.
//
// Agents in the own data centre come first, then those that would admit the
// tier. The prefix's usual agent (highest rendezvous hash) is kept while it has
// a free slot; otherwise the less loaded of two random candidates is taken
// (Mitzenmacher, "The Power of Two Choices", 2001).
func (t *Table) Choose(now time.Time, req Requirements, random func(n int) int) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, req)
	if len(candidates) == 0 {
		return "", false
	}
	candidates = preferCentre(candidates, req)
	candidates = skipStragglers(now, candidates, req.Tier)
	m := prefixAgent(candidates, req)
	if m == nil {
		m = leastLoaded(candidates, req.Tier, random)
	}
	m.sentSinceUpdate++
	return m.Name, true
}

// candidates returns the agents that may run the request, those which would
// admit its tier if there are any.
func (t *Table) candidates(now time.Time, req Requirements) []*member {
	var eligible, admitting []*member
	for _, m := range t.agents {
		if !m.mayRun(req) || now.Sub(m.lastUpdate) >= t.maxStateAge {
			continue
		}
		eligible = append(eligible, m)
		if m.admits(req.Tier) {
			admitting = append(admitting, m)
		}
	}
	if len(admitting) > 0 {
		eligible = admitting
	}
	// Map order differs between runs; sorted candidates make choices repeatable.
	slices.SortFunc(eligible, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	return eligible
}

func (m *member) mayRun(req Requirements) bool {
	return m.Model == req.Model && m.Service == req.Service &&
		!m.Draining && !m.leaving && m.Healthy && !req.Excluded[m.Name]
}

// admits reports whether the agent has room, or lower-tier work to evict.
func (m *member) admits(tier int) bool {
	if m.QueueSpace > m.sentSinceUpdate || m.Running+m.sentSinceUpdate < m.Slots {
		return true
	}
	for t := tier + 1; t < config.Tiers; t++ {
		if m.Queued[t] > 0 {
			return true
		}
	}
	return false
}

// load returns the work before a request of the tier, in units of slots,
// weighted by the upstream's pace.
func (m *member) load(tier int, median time.Duration) float64 {
	ahead := m.Running + m.sentSinceUpdate
	for t := 0; t <= tier && t < config.Tiers; t++ {
		ahead += m.Queued[t]
	}
	load := float64(ahead+1) / float64(max(1, m.Slots))
	if m.TimePerToken > 0 && median > 0 {
		load *= float64(m.TimePerToken) / float64(median)
	}
	return load
}

// preferCentre keeps the agents of the own data centre while one of them has a
// free slot.
func preferCentre(candidates []*member, req Requirements) []*member {
	var local []*member
	hasFreeSlot := false
	for _, m := range candidates {
		if m.Centre == req.Centre {
			local = append(local, m)
			hasFreeSlot = hasFreeSlot || m.Running+m.sentSinceUpdate < m.Slots
		}
	}
	if hasFreeSlot {
		return local
	}
	return candidates
}

// skipStragglers leaves out upstreams much slower than the median of the
// candidates, but for a probe now and then.
func skipStragglers(now time.Time, candidates []*member, tier int) []*member {
	median := medianPace(candidates)
	if median == 0 {
		return candidates
	}
	interval := probeIntervalHighTiers
	if tier > config.Tiers/2 {
		interval = probeIntervalLowTiers
	}
	var fast []*member
	for _, m := range candidates {
		if float64(m.TimePerToken) <= stragglerFactor*float64(median) {
			fast = append(fast, m)
			continue
		}
		if now.Sub(m.lastProbe) >= interval {
			m.lastProbe = now
			return []*member{m}
		}
	}
	return fast
}

func medianPace(candidates []*member) time.Duration {
	var paces []time.Duration
	for _, m := range candidates {
		if m.TimePerToken > 0 {
			paces = append(paces, m.TimePerToken)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// prefixAgent returns the prefix's prefixAgent agent if it has a free slot.
func prefixAgent(candidates []*member, req Requirements) *member {
	if req.PrefixHash == 0 {
		return nil
	}
	var found *member
	var bestScore uint64
	for _, m := range candidates {
		score := rendezvous(req.PrefixHash, m.Name)
		if found == nil || score > bestScore {
			found, bestScore = m, score
		}
	}
	if found.Running+found.sentSinceUpdate >= found.Slots {
		return nil
	}
	return found
}

// rendezvous is the highest-random-weight score of an agent for a key.
func rendezvous(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func leastLoaded(candidates []*member, tier int, random func(n int) int) *member {
	median := medianPace(candidates)
	var found *member
	for range sampleSize {
		m := candidates[random(len(candidates))]
		if found == nil || m.load(tier, median) < found.load(tier, median) {
			found = m
		}
	}
	return found
}
