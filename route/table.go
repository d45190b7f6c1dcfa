// Package route selects the agent for a request, from the last state that each agent
// reported and the requests that this entry has sent since. It does no I/O and reads
// no clock.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/config"
)

const (
	// stragglerFactor is the ratio of an upstream's time per token to the median
	// of its model's upstreams above which it is a straggler.
	stragglerFactor = 2.0
	// A straggler still gets one probe request per interval, so that its recovery
	// is noticed. Lower tiers tolerate a slow response better, so higher tiers probe
	// only after the longer interval.
	probeIntervalLowTiers  = 30 * time.Second
	probeIntervalHighTiers = 2 * time.Minute
	// sampleSize is the number of random candidates compared for a request.
	sampleSize = 16
)

// Agent is the state that an agent last reported.
type Agent struct {
	Name        string
	Incarnation uint64
	Centre      string
	Model       string
	Service     string
	Slots       int
	Running     int
	Queued      [config.Tiers]int
	// QueueSpace is the number of requests that the agent's queue still takes.
	QueueSpace int
	Draining   bool
	Healthy    bool
	// TimePerToken is the smoothed time for each output token; 0 means unknown.
	TimePerToken time.Duration
}

// Requirements is what a request needs of an agent.
type Requirements struct {
	Model   string
	Service string
	Tier    int
	Centre  string
	// PrefixHash is the hash of the start of the prompt; 0 means none.
	PrefixHash uint64
	// Excluded names agents that refused or failed this request.
	Excluded map[string]bool
}

type member struct {
	Agent
	// lastUpdate is zero while the agent is unreachable, lastReport is not.
	lastUpdate time.Time
	lastReport time.Time
	// sentSinceUpdate counts the requests of this entry that the agent's state
	// does not include yet.
	sentSinceUpdate int
	leaving         bool
	// lastProbe is when the last probe was sent; zero means never.
	lastProbe time.Time
}

// Table holds the agents known to an entry.
type Table struct {
	mu     sync.Mutex
	agents map[string]*member
	// leaving names the agents on hosts that are leaving, also those without a state yet.
	leaving map[string]bool
	// maxStateAge is the age from which on an agent's state is no longer used.
	maxStateAge time.Duration
}

// New returns an empty table. Agents without an update for maxStateAge get no
// requests.
func New(maxStateAge time.Duration) *Table {
	return &Table{agents: map[string]*member{}, maxStateAge: maxStateAge}
}

// Update records the state that an agent reported and reports whether it was
// accepted. A state with a lower incarnation than the recorded one comes from a
// replaced process and is ignored.
func (t *Table) Update(now time.Time, a Agent) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.agents[a.Name]
	if !ok {
		m = &member{leaving: t.leaving[a.Name]}
		t.agents[a.Name] = m
	}
	if a.Incarnation < m.Incarnation {
		return false
	}
	m.Agent = a
	m.lastUpdate, m.lastReport = now, now
	m.sentSinceUpdate = 0
	return true
}

// SetLeaving records which agents the host list marks as leaving. They get no
// requests.
func (t *Table) SetLeaving(leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	for name, m := range t.agents {
		m.leaving = leaving[name]
	}
}

// MarkUnreachable excludes an agent that did not answer until its next update.
func (t *Table) MarkUnreachable(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.agents[name]; ok {
		m.lastUpdate = time.Time{}
	}
}

// List returns the known agents in name order, and the time of each one's last
// update, which is zero for an unreachable agent.
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

// Serves reports whether any known agent serves the model and the service.
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

// Choose picks an agent for a request, or returns false if none may run it. random
// returns a number from 0 to n-1.
//
// Agents in the local data centre come first, then those that would admit the tier.
// The agent with the highest rendezvous hash score for the prefix is chosen while it
// has a free slot; otherwise the least loaded of sampleSize random candidates
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

// suspectStateAges is for how many maxStateAge after its last report an agent is tried if no
// other one can take a request. A sync may fail while the agent serves requests.
const suspectStateAges = 2

// ChooseSuspect picks the agent that reported last among those that Choose leaves out
// because they are unreachable or their state is old, or returns false if there is none. It
// is asked before a request is refused.
func (t *Table) ChooseSuspect(now time.Time, req Requirements) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found *member
	for _, m := range t.agents {
		if !m.mayRun(req) || now.Sub(m.lastReport) >= suspectStateAges*t.maxStateAge {
			continue
		}
		if found == nil || m.lastReport.After(found.lastReport) || m.lastReport.Equal(found.lastReport) && m.Name < found.Name {
			found = m
		}
	}
	if found == nil {
		return "", false
	}
	found.sentSinceUpdate++
	return found.Name, true
}

// maxDescribed bounds the agents that Describe names.
const maxDescribed = 8

// Describe returns what is believed about the agents for a model or service, and how old
// that is, for the log line of a refusal.
func (t *Table) Describe(now time.Time, req Requirements) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, m := range t.agents {
		if m.Model == req.Model && m.Service == req.Service {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for i, name := range names {
		if i == maxDescribed {
			fmt.Fprintf(&b, " and %d more", len(names)-i)
			break
		}
		m := t.agents[name]
		fmt.Fprintf(&b, "%s: age %d ms, unreachable %v, draining %v, leaving %v, healthy %v, excluded %v, running %d of %d, space %d; ",
			name, now.Sub(m.lastReport).Milliseconds(), m.lastUpdate.IsZero(), m.Draining, m.leaving, m.Healthy, req.Excluded[name], m.Running, m.Slots, m.QueueSpace)
	}
	return b.String()
}

// candidates returns the agents that may run the request, or only those that would
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

// admits reports whether the agent has a free slot or queue space, or queued
// requests of a lower tier to evict.
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

// load returns the number of requests ahead of one of the tier, relative to the
// agent's slots and weighted by its time per token.
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

// preferCentre returns only the agents of the local data centre if one of them has
// a free slot.
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

// skipStragglers leaves out upstreams much slower than the median of the candidates,
// or returns one of them alone if its next probe is due.
func skipStragglers(now time.Time, candidates []*member, tier int) []*member {
	median := medianTimePerToken(candidates)
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

func medianTimePerToken(candidates []*member) time.Duration {
	var times []time.Duration
	for _, m := range candidates {
		if m.TimePerToken > 0 {
			times = append(times, m.TimePerToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// prefixAgent returns the agent with the highest rendezvous hash score for the
// prefix if it has a free slot, else nil.
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

// rendezvous returns the rendezvous hash score (highest random weight) of an agent
// for a key.
func rendezvous(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func leastLoaded(candidates []*member, tier int, random func(n int) int) *member {
	median := medianTimePerToken(candidates)
	var found *member
	for range sampleSize {
		m := candidates[random(len(candidates))]
		if found == nil || m.load(tier, median) < found.load(tier, median) {
			found = m
		}
	}
	return found
}
