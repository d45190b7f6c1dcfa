package place

import (
	"container/list"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Segment is a part of a prompt that several requests may share.
type Segment struct {
	// Hash covers the segment and all segments before it, because a cached segment
	// can only be reused if those before it are cached too.
	Hash   uint64
	Tokens int
}

// AppendSegment appends the segment with an id to the segments of a prompt for a model. What one
// model has read of a prompt is of no use to another one.
func AppendSegment(segments []Segment, model, id string, tokens int) []Segment {
	var d xxhash.Digest
	d.Reset()
	switch {
	case len(segments) == 0 && model != "":
		_, _ = d.WriteString(model + "\x00")
	case len(segments) > 0:
		var previous [8]byte
		binary.BigEndian.PutUint64(previous[:], segments[len(segments)-1].Hash)
		_, _ = d.Write(previous[:]) // Never fails.
	}
	_, _ = d.WriteString(id)
	return append(segments, Segment{Hash: d.Sum64(), Tokens: tokens})
}

// run is a request that is expected to be running at an upstream.
type run struct {
	eventGapTarget time.Duration
	// ownTokens of KV cache are used by this request alone; segments may be shared
	// with other requests.
	ownTokens int
	segments  []Segment
	tier      int
	// promptTokens is the length of the whole prompt.
	promptTokens int
	// prefillLeft is the remaining prefill time. prefillStarted is set once part of
	// the prefill is expected to be done, prefillEnd is its expected end.
	prefillLeft    time.Duration
	prefillStarted bool
	prefillEnd     time.Time
	// decodeTime is the time from the end of the prefill to the expected end of the
	// request, and expectedEnd that end once the prefill is done. Remote runs are
	// removed then.
	decodeTime  time.Duration
	expectedEnd time.Time
	// remote runs were sent by another entry.
	remote bool
	// lastEvent is when the last event came; zero before the first.
	lastEvent time.Time
}

// cachedSegment is a segment in the prefix cache of an upstream.
type cachedSegment Segment

// upstreamState is the estimated state of one upstream.
type upstreamState struct {
	id      string
	service string
	model   *serviceModel
	// onCached and onEvicted are called with the hash of a segment that is added to or
	// dropped from the cache.
	onCached, onEvicted func(hash uint64)
	runs                map[uint64]*run
	// prefillQueue holds the runs whose prefill isn't done, in the order of
	// processing, as expected at the time advancedAt.
	prefillQueue []*run
	advancedAt   time.Time
	// lastPrefillEnd is the expected end of the last completed prefill.
	lastPrefillEnd time.Time
	// prefillUtil and longPrefillUtil are smoothed fractions of time spent on prefill.
	prefillUtil, longPrefillUtil decayedUtil
	cachedSegments               map[uint64]*list.Element
	lru                          *list.List // Of cachedSegment; the least recently used one is last.
	cachedTokens                 int
	// segmentRefs counts the runs that use a segment; usedTokens is the KV cache that
	// running requests use and that can't be evicted.
	segmentRefs map[uint64]int
	usedTokens  int
	// ownTokens is the part of usedTokens that belongs to single requests.
	ownTokens int
	// gapRuns counts the runs by their event gap target, without those that have none.
	gapRuns []gapCount
	// local holds the runs of this entry.
	local map[uint64]*run
	// nextExpiry is the earliest time at which a remote run may expire; zero if none is
	// known.
	nextExpiry time.Time
	// kvCapacity is the size of the KV cache for running requests and cached segments,
	// tokens; 0 if unknown.
	kvCapacity   int
	excessDelays map[int]decayedDelay // By tier.
	// reportedLoad is the number of requests that the upstream last reported, and
	// reportedAt the time of that report.
	reportedLoad int
	reportedAt   time.Time
	// startedSinceReport counts the requests that this entry has started since then,
	// less those that it has finished.
	startedSinceReport int
	startedAt          int64
}

// gapCount is the number of runs with an event gap target.
type gapCount struct {
	target time.Duration
	runs   int
}

func newUpstreamState(s *serviceModel, startedAt int64) *upstreamState {
	return &upstreamState{
		runs: map[uint64]*run{}, local: map[uint64]*run{}, cachedSegments: map[uint64]*list.Element{}, lru: list.New(),
		segmentRefs: map[uint64]int{}, excessDelays: map[int]decayedDelay{}, model: s, startedAt: startedAt,
		onCached: func(uint64) {}, onEvicted: func(uint64) {},
		prefillUtil: decayedUtil{timeConstant: prefillUtilTimeConstant}, longPrefillUtil: decayedUtil{timeConstant: longPrefillUtilTimeConstant},
	}
}

// addRun adds a run and the KV cache that it uses.
func (u *upstreamState) addRun(id uint64, r *run) {
	u.runs[id] = r
	if !r.remote {
		u.local[id] = r
	}
	u.countGap(r.eventGapTarget, 1)
	u.scheduleExpiry(r)
	u.usedTokens += r.ownTokens
	u.ownTokens += r.ownTokens
	for _, seg := range r.segments {
		if u.segmentRefs[seg.Hash]++; u.segmentRefs[seg.Hash] == 1 {
			u.usedTokens += seg.Tokens
		}
	}
}

// removeRun removes a run and releases the KV cache that it used.
func (u *upstreamState) removeRun(id uint64) {
	r, ok := u.runs[id]
	if !ok {
		return
	}
	delete(u.runs, id)
	delete(u.local, id)
	u.countGap(r.eventGapTarget, -1)
	u.dequeuePrefill(r)
	u.usedTokens -= r.ownTokens
	u.ownTokens -= r.ownTokens
	for _, seg := range r.segments {
		if u.segmentRefs[seg.Hash]--; u.segmentRefs[seg.Hash] == 0 {
			delete(u.segmentRefs, seg.Hash)
			u.usedTokens -= seg.Tokens
		}
	}
}

func (u *upstreamState) countGap(target time.Duration, n int) {
	if target <= 0 {
		return
	}
	for i := range u.gapRuns {
		if u.gapRuns[i].target != target {
			continue
		}
		if u.gapRuns[i].runs += n; u.gapRuns[i].runs == 0 {
			u.gapRuns = slices.Delete(u.gapRuns, i, i+1)
		}
		return
	}
	u.gapRuns = append(u.gapRuns, gapCount{target: target, runs: n})
}

// scheduleExpiry notes when a remote run expires, if its prefill is done.
func (u *upstreamState) scheduleExpiry(r *run) {
	if r.remote && r.prefillLeft == 0 && (u.nextExpiry.IsZero() || r.expectedEnd.Before(u.nextExpiry)) {
		u.nextExpiry = r.expectedEnd
	}
}

// requiredTokens returns the KV cache that a request needs beyond what is in use,
// tokens.
func (u *upstreamState) requiredTokens(req *Request) int {
	n := req.PromptTokens + req.expectedOutput()
	for _, seg := range req.Segments {
		if u.segmentRefs[seg.Hash] > 0 {
			n -= seg.Tokens
		}
	}
	return n
}

// cachedPrefixTokens returns the length of the longest cached prefix of the prompt.
func (u *upstreamState) cachedPrefixTokens(segments []Segment) int {
	n := 0
	for _, seg := range segments {
		if _, ok := u.cachedSegments[seg.Hash]; !ok {
			break
		}
		n += seg.Tokens
	}
	return n
}

// touch adds the segments to the cache or marks them as most recently used.
func (u *upstreamState) touch(segments []Segment) {
	for _, seg := range segments {
		if e, ok := u.cachedSegments[seg.Hash]; ok {
			u.lru.MoveToFront(e)
			continue
		}
		u.cachedSegments[seg.Hash] = u.lru.PushFront(cachedSegment(seg))
		u.cachedTokens += seg.Tokens
		u.onCached(seg.Hash)
	}
	u.evict()
}

// evict drops the least recently used segments until the cache fits into the KV
// cache beside the running requests' own tokens.
func (u *upstreamState) evict() {
	if u.kvCapacity <= 0 {
		return
	}
	for u.cachedTokens+u.ownTokens > u.kvCapacity {
		e := u.lru.Back()
		if e == nil {
			return
		}
		c := e.Value.(cachedSegment)
		u.lru.Remove(e)
		delete(u.cachedSegments, c.Hash)
		u.cachedTokens -= c.Tokens
		u.onEvicted(c.Hash)
	}
}

// removeExpired removes the remote runs whose expected end has passed.
func (u *upstreamState) removeExpired(now time.Time) {
	u.advancePrefills(now)
	if u.nextExpiry.IsZero() || !now.After(u.nextExpiry) {
		return
	}
	u.nextExpiry = time.Time{}
	for id, r := range u.runs {
		if r.remote && r.prefillLeft == 0 && now.After(r.expectedEnd) {
			u.removeRun(id)
		} else {
			u.scheduleExpiry(r)
		}
	}
}

// requestCount returns the number of requests at the upstream: the known runs, or
// the upstream's own report if that is recent and higher.
func (u *upstreamState) requestCount(now time.Time) int {
	if now.Sub(u.reportedAt) < maxReportAge {
		return max(len(u.runs), u.reportedLoad+u.startedSinceReport)
	}
	return len(u.runs)
}
