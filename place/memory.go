package place

import (
	"time"

	"cactustide/fleet"
)

// CacheState is what an entry believes of an engine's cache.
type CacheState struct {
	// Segments are the cached parts, the most recently used first.
	Segments []Segment
	// Backlog is the time until the prompts sent so far are read.
	Backlog time.Duration
}

// CacheStates returns what is believed of the engines, by id.
func (m *Balancer) CacheStates(now time.Time) map[string]CacheState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]CacheState{}
	for id, u := range m.upstreams {
		if u.order.Len() == 0 {
			continue
		}
		memory := CacheState{Backlog: u.unread(now)}
		for e := u.order.Front(); e != nil; e = e.Next() {
			memory.Segments = append(memory.Segments, Segment(e.Value.(cached)))
		}
		out[id] = memory
	}
	return out
}

// MergeCache adds what another entry believes of an engine. Parts that are known
// here stay as they are; the others count as used longer ago.
func (m *Balancer) MergeCache(now time.Time, to fleet.Upstream, parts []Segment, backlog time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstream(to)
	for _, p := range parts {
		if _, ok := u.parts[p.Hash]; ok {
			continue
		}
		u.parts[p.Hash] = u.order.PushBack(cached(p))
		u.held += p.Tokens
		if _, ok := m.used[p.Hash]; !ok {
			m.used[p.Hash] = now
		}
	}
	if missing := backlog - u.unread(now); missing > 0 {
		u.push(now, &run{left: missing})
	}
	u.evict()
}

// Load is what is believed to run at an upstream.
type Load struct {
	Running int
	Backlog time.Duration
}

// Load returns what is believed to run at an upstream.
func (m *Balancer) Load(now time.Time, u fleet.Upstream) Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := m.upstream(u)
	return Load{Running: have.count(now), Backlog: have.backlog(now, anyTier)}
}
