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
func (b *Balancer) CacheStates(now time.Time) map[string]CacheState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]CacheState{}
	for id, u := range b.upstreams {
		if u.lru.Len() == 0 {
			continue
		}
		state := CacheState{Backlog: u.pendingPrefill(now)}
		for e := u.lru.Front(); e != nil; e = e.Next() {
			state.Segments = append(state.Segments, Segment(e.Value.(cachedSegment)))
		}
		out[id] = state
	}
	return out
}

// MergeCache adds what another entry believes of an engine. Parts that are known
// here stay as they are; the others count as used longer ago.
func (b *Balancer) MergeCache(now time.Time, to fleet.Upstream, segments []Segment, backlog time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstream(to)
	for _, seg := range segments {
		if _, ok := u.cachedSegments[seg.Hash]; ok {
			continue
		}
		u.cachedSegments[seg.Hash] = u.lru.PushBack(cachedSegment(seg))
		u.cachedTokens += seg.Tokens
		if _, ok := b.lastUsed[seg.Hash]; !ok {
			b.lastUsed[seg.Hash] = now
		}
	}
	if missing := backlog - u.pendingPrefill(now); missing > 0 {
		u.enqueuePrefill(now, &run{prefillLeft: missing})
	}
	u.evict()
}

// Load is what is believed to run at an upstream.
type Load struct {
	Running int
	Backlog time.Duration
}

// Load returns what is believed to run at an upstream.
func (b *Balancer) Load(now time.Time, u fleet.Upstream) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.upstream(u)
	return Load{Running: state.requestCount(now), Backlog: state.backlog(now, anyTier)}
}
