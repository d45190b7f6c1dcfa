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
func AppendSegment(parts []Segment, id string, tokens int) []Segment {
	var d xxhash.Digest
	d.Reset()
	if len(parts) > 0 {
		var before [8]byte
		binary.BigEndian.PutUint64(before[:], parts[len(parts)-1].Hash)
		_, _ = d.Write(before[:]) // A hash never fails.
	}
	_, _ = d.WriteString(id)
	return append(parts, Segment{Hash: d.Sum64(), Tokens: tokens})
}

// run is a request that an upstream works on, as far as is known.
type run struct {
	pause time.Duration
	// tokens of memory that it holds alone, and the shared parts that it holds
	// together with others.
	tokens int
	parts  []Segment
	tier   int
	// prompt is its length, tokens.
	prompt int
	// left is the time to read the rest of its prompt, begun is set when some of it
	// is expected to have been read, read is when that was expected to end.
	left  time.Duration
	begun bool
	read  time.Time
	// life is the time from then to its expected end, and end that time once its
	// prompt is read; told runs are dropped then.
	life time.Duration
	end  time.Time
	// told runs were sent by another entry.
	told bool
	// heard is when the last event came; zero before the first.
	heard time.Time
}

// cached is a part that an upstream holds.
type cached Segment

// upstream is what is believed of one upstream.
type upstream struct {
	service *service
	runs    map[uint64]*run
	// reads are the runs whose prompts are to be read, in the order of reading,
	// as expected at the time advanced.
	reads    []*run
	advanced time.Time
	// idle is when the last prompt so far was expected to have been read.
	idle time.Time
	// pressure and usual are shares of time spent reading prompts.
	pressure, usual share
	parts           map[uint64]*list.Element
	order           *list.List // Of cached; the least recently used is at the back.
	held            int
	// shared counts the runs that hold a part; used is the memory that cannot yield.
	shared map[uint64]int
	used   int
	// memory of running requests and cached parts, tokens.
	memory int
	excess map[int]excess // By tier.
	// reported is the load that the upstream last told, and when.
	reported int
	heard    time.Time
	// after counts what was started and ended here since then.
	after int
	born  int64
}

func newUpstream(s *service, born int64) *upstream {
	return &upstream{
		runs: map[uint64]*run{}, parts: map[uint64]*list.Element{}, order: list.New(),
		shared: map[uint64]int{}, excess: map[int]excess{}, service: s, born: born,
		pressure: share{life: pressureLife}, usual: share{life: usualLife},
	}
}

// enter counts a run's memory.
func (u *upstream) enter(id uint64, r *run) {
	u.runs[id] = r
	u.used += r.tokens
	for _, p := range r.parts {
		if u.shared[p.Hash]++; u.shared[p.Hash] == 1 {
			u.used += p.Tokens
		}
	}
}

// leave releases a run's memory.
func (u *upstream) leave(id uint64) {
	r, ok := u.runs[id]
	if !ok {
		return
	}
	delete(u.runs, id)
	u.drop(r)
	u.used -= r.tokens
	for _, p := range r.parts {
		if u.shared[p.Hash]--; u.shared[p.Hash] == 0 {
			delete(u.shared, p.Hash)
			u.used -= p.Tokens
		}
	}
}

// need is the memory that a request takes beyond what is in use.
func (u *upstream) need(w *Request) int {
	n := w.PromptTokens + w.output()
	for _, p := range w.Segments {
		if u.shared[p.Hash] > 0 {
			n -= p.Tokens
		}
	}
	return n
}

// cachedTokens returns how many tokens of the prompt's start are cached.
func (u *upstream) cachedTokens(parts []Segment) int {
	n := 0
	for _, p := range parts {
		if _, ok := u.parts[p.Hash]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// touch records that the parts are cached and used now.
func (u *upstream) touch(parts []Segment) {
	for _, p := range parts {
		if e, ok := u.parts[p.Hash]; ok {
			u.order.MoveToFront(e)
			continue
		}
		u.parts[p.Hash] = u.order.PushFront(cached(p))
		u.held += p.Tokens
	}
	u.evict()
}

// evict drops the least recently used parts that have no room beside the
// running requests.
func (u *upstream) evict() {
	if u.memory <= 0 {
		return
	}
	own := 0
	for _, r := range u.runs {
		own += r.tokens
	}
	for u.held+own > u.memory {
		e := u.order.Back()
		if e == nil {
			return
		}
		c := e.Value.(cached)
		u.order.Remove(e)
		delete(u.parts, c.Hash)
		u.held -= c.Tokens
	}
}

// expire drops the told runs that should have ended by now.
func (u *upstream) expire(now time.Time) {
	u.advance(now)
	for id, r := range u.runs {
		if r.told && r.left == 0 && now.After(r.end) {
			u.leave(id)
		}
	}
}

// count is the number of requests there: what the entries know, or what the
// upstream told lately if that is more.
func (u *upstream) count(now time.Time) int {
	if now.Sub(u.heard) < reportLife {
		return max(len(u.runs), u.reported+u.after)
	}
	return len(u.runs)
}
