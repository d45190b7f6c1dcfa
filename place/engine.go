package place

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Segment is a part of a prompt that several requests may share.
type Segment struct {
	// Hash covers the part and all parts before it, because a cached part only
	// helps if those before it are cached too.
	Hash   uint64
	Tokens int
}

// AppendSegment adds the part with an id to a prompt's parts.
func AppendSegment(segments []Segment, id string, tokens int) []Segment {
	var d xxhash.Digest
	d.Reset()
	if len(segments) > 0 {
		var previous [8]byte
		binary.BigEndian.PutUint64(previous[:], segments[len(segments)-1].Hash)
		_, _ = d.Write(previous[:]) // A hash never fails.
	}
	_, _ = d.WriteString(id)
	return append(segments, Segment{Hash: d.Sum64(), Tokens: tokens})
}

// run is a request that an upstream works on, as far as is known.
type run struct {
	eventGapTarget time.Duration
	// ownTokens of memory that it holds alone, and the shared parts that it holds
	// together with others.
	ownTokens int
	segments  []Segment
	tier      int
	// promptTokens is its length, tokens.
	promptTokens int
	// prefillLeft is the time to read the rest of its prompt, begun is set when some of it
	// is expected to have been read, read is when that was expected to end.
	prefillLeft    time.Duration
	prefillStarted bool
	prefillDone    time.Time
	// decodeTime is the time from then to its expected end, and end that time once its
	// prompt is read; told runs are dropped then.
	decodeTime  time.Duration
	expectedEnd time.Time
	// remote runs were sent by another entry.
	remote bool
	// lastEvent is when the last event came; zero before the first.
	lastEvent time.Time
}

// cachedSegment is a part that an upstream holds.
type cachedSegment Segment

// upstreamState is what is believed of one upstreamState.
type upstreamState struct {
	model *serviceModel
	runs  map[uint64]*run
	// prefillQueue are the runs whose prompts are to be read, in the order of reading,
	// as expected at the time advanced.
	prefillQueue []*run
	advancedAt   time.Time
	// prefillsDone is when the last prompt so far was expected to have been read.
	prefillsDone time.Time
	// prefillUtil and longPrefillUtil are shares of time spent reading prompts.
	prefillUtil, longPrefillUtil decayedUtil
	cachedSegments               map[uint64]*list.Element
	lru                          *list.List // Of cached; the least recently used is at the back.
	cachedTokens                 int
	// segmentRefs counts the runs that hold a part; used is the memory that cannot yield.
	segmentRefs map[uint64]int
	usedTokens  int
	// kvCapacity of running requests and cached parts, tokens.
	kvCapacity   int
	excessDelays map[int]decayedDelay // By tier.
	// reportedLoad is the load that the upstream last told, and when.
	reportedLoad int
	reportedAt   time.Time
	// startedSinceReport counts what was started and ended here since then.
	startedSinceReport int
	startedAt          int64
}

func newUpstreamState(s *serviceModel, startedAt int64) *upstreamState {
	return &upstreamState{
		runs: map[uint64]*run{}, cachedSegments: map[uint64]*list.Element{}, lru: list.New(),
		segmentRefs: map[uint64]int{}, excessDelays: map[int]decayedDelay{}, model: s, startedAt: startedAt,
		prefillUtil: decayedUtil{timeConstant: prefillUtilTimeConstant}, longPrefillUtil: decayedUtil{timeConstant: longPrefillUtilTimeConstant},
	}
}

// addRun counts a run's memory.
func (u *upstreamState) addRun(id uint64, r *run) {
	u.runs[id] = r
	u.usedTokens += r.ownTokens
	for _, seg := range r.segments {
		if u.segmentRefs[seg.Hash]++; u.segmentRefs[seg.Hash] == 1 {
			u.usedTokens += seg.Tokens
		}
	}
}

// removeRun releases a run's memory.
func (u *upstreamState) removeRun(id uint64) {
	r, ok := u.runs[id]
	if !ok {
		return
	}
	delete(u.runs, id)
	u.dequeuePrefill(r)
	u.usedTokens -= r.ownTokens
	for _, seg := range r.segments {
		if u.segmentRefs[seg.Hash]--; u.segmentRefs[seg.Hash] == 0 {
			delete(u.segmentRefs, seg.Hash)
			u.usedTokens -= seg.Tokens
		}
	}
}

// requiredTokens is the memory that a request takes beyond what is in use.
func (u *upstreamState) requiredTokens(req *Request) int {
	n := req.PromptTokens + req.expectedOutput()
	for _, seg := range req.Segments {
		if u.segmentRefs[seg.Hash] > 0 {
			n -= seg.Tokens
		}
	}
	return n
}

// cachedPrefixTokens returns how many tokens of the prompt's start are cached.
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

// touch records that the parts are cached and used now.
func (u *upstreamState) touch(segments []Segment) {
	for _, seg := range segments {
		if e, ok := u.cachedSegments[seg.Hash]; ok {
			u.lru.MoveToFront(e)
			continue
		}
		u.cachedSegments[seg.Hash] = u.lru.PushFront(cachedSegment(seg))
		u.cachedTokens += seg.Tokens
	}
	u.evict()
}

// evict drops the least recently used parts that have no room beside the
// running requests.
func (u *upstreamState) evict() {
	if u.kvCapacity <= 0 {
		return
	}
	ownTokens := 0
	for _, r := range u.runs {
		ownTokens += r.ownTokens
	}
	for u.cachedTokens+ownTokens > u.kvCapacity {
		e := u.lru.Back()
		if e == nil {
			return
		}
		c := e.Value.(cachedSegment)
		u.lru.Remove(e)
		delete(u.cachedSegments, c.Hash)
		u.cachedTokens -= c.Tokens
	}
}

// removeExpired drops the told runs that should have ended by now.
func (u *upstreamState) removeExpired(now time.Time) {
	u.advancePrefills(now)
	for id, r := range u.runs {
		if r.remote && r.prefillLeft == 0 && now.After(r.expectedEnd) {
			u.removeRun(id)
		}
	}
}

// requestCount is the number of requests there: what the entries know, or what the
// upstream told lately if that is more.
func (u *upstreamState) requestCount(now time.Time) int {
	if now.Sub(u.reportedAt) < maxReportAge {
		return max(len(u.runs), u.reportedLoad+u.startedSinceReport)
	}
	return len(u.runs)
}
