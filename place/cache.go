package place

import (
	"time"

	"cactustide/fleet"
)

// CacheState is an entry's estimate of an engine's prefix cache and backlog.
type CacheState struct {
	// Segments are the cached segments, the most recently used first.
	Segments []Segment
	// Backlog is the prefill time of the prompts in the engine's queue.
	Backlog time.Duration
}

// CacheStates returns the cache states of the engines with cached segments, by id.
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

// MergeCache merges another entry's estimate of an engine. Segments that are already
// cached here keep their place in the LRU order, others are added as the least
// recently used. The backlog is raised to that of the other entry if that is longer.
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
		u.onCached(seg.Hash)
		key := segmentKey{u.service, seg.Hash}
		if _, ok := b.lastUsed[key]; !ok {
			b.lastUsed[key] = now
		}
	}
	if missing := backlog - u.pendingPrefill(now); missing > 0 {
		u.enqueuePrefill(now, &run{prefillLeft: missing})
	}
	u.evict()
}

// Load is the estimated load of an upstream.
type Load struct {
	Running int
	Backlog time.Duration
}

// Load returns the estimated load of an upstream.
func (b *Balancer) Load(now time.Time, u fleet.Upstream) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.upstream(u)
	return Load{Running: state.requestCount(now), Backlog: state.backlog(now, anyTier)}
}
