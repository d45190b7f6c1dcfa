// Package usage counts requests and tokens by partner, team, class and
// outcome. Every request ends with exactly one outcome.
package usage

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how a request ended.
type Outcome string

// Outcomes.
const (
	// Done: the complete response reached the caller.
	Done Outcome = "done"
	// Refused: the caller got an error that says that the request was not run.
	Refused Outcome = "refused"
	// Failed: the request may have run, and the caller got an error.
	Failed Outcome = "failed"
	// Incomplete: the caller got a part of the response.
	Incomplete Outcome = "incomplete"
	// Cancelled: the caller disconnected.
	Cancelled Outcome = "cancelled"
	// Invalid: the request itself was invalid.
	Invalid Outcome = "invalid"
	// Open: the request has no final outcome. It is in progress, or its entry crashed.
	Open Outcome = "open"
)

// Auxiliary outcomes, counted in addition to the final ones to compute the number
// of open requests.
const (
	// ReceivedByAgent is counted by an agent for each request when an agent first
	// receives it.
	ReceivedByAgent Outcome = "seen"
	// SettledAfterSend is counted by an entry, together with the final outcome, for
	// each request that it had sent to an agent.
	SettledAfterSend Outcome = "sent"
)

// Key identifies one counter.
type Key struct {
	// Entry is the entry process that the requests came through.
	Entry   string
	Partner string
	Team    string
	Class   string
	Outcome Outcome
}

// Count is the value of one counter.
type Count struct {
	Requests int64
	// Tokens generated for the requests.
	Tokens int64
	// Wasted tokens were generated and then discarded, cut off or repeated.
	Wasted int64
	// Attained counts the requests that met their class's targets.
	Attained int64
}

// Add adds another count.
func (c *Count) Add(other Count) {
	c.Requests += other.Requests
	c.Tokens += other.Tokens
	c.Wasted += other.Wasted
	c.Attained += other.Attained
}

// Counter is a count with its key.
type Counter struct {
	Key
	Count
}

const shardCount = 16

type shard struct {
	mu     sync.Mutex
	counts map[Key]*Count
}

// Counters holds the counters of one process, sharded by partner and team. It is
// safe for concurrent use.
type Counters struct {
	shards [shardCount]shard
}

// New returns an empty set of counters.
func New() *Counters {
	cs := &Counters{}
	for i := range cs.shards {
		cs.shards[i].counts = map[Key]*Count{}
	}
	return cs
}

// Add adds c to the counter of k.
func (cs *Counters) Add(k Key, c Count) {
	s := &cs.shards[xxhash.Sum64String(k.Partner+"\x00"+k.Team)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.counts[k]
	if !ok {
		found = &Count{}
		s.counts[k] = found
	}
	found.Add(c)
}

// Snapshot returns a copy of the counters, sorted by SortCounters.
func (cs *Counters) Snapshot() []Counter {
	var out []Counter
	for i := range cs.shards {
		s := &cs.shards[i]
		s.mu.Lock()
		for k, c := range s.counts {
			out = append(out, Counter{Key: k, Count: *c})
		}
		s.mu.Unlock()
	}
	SortCounters(out)
	return out
}

// SortCounters sorts by partner, team, class and outcome.
func SortCounters(counters []Counter) {
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Or(
			cmp.Compare(a.Partner, b.Partner),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Outcome, b.Outcome),
		)
	})
}

// Aggregate sums the counters of several processes over all entries. The number of
// open requests of an entry is the larger of two lower bounds: the entry's own
// count, and ReceivedByAgent less SettledAfterSend. An entry that crashed has written
// neither the end of its last requests nor, perhaps, their beginning, but the
// agents counted them.
func Aggregate(counters []Counter) []Counter {
	type entryCounts struct{ received, settled, open int64 }
	byEntry := map[Key]*entryCounts{}
	total := New()
	for _, c := range counters {
		key := c.Key
		key.Outcome = Open
		counts, ok := byEntry[key]
		if !ok {
			counts = &entryCounts{}
			byEntry[key] = counts
		}
		switch c.Outcome {
		case ReceivedByAgent:
			counts.received += c.Requests
		case SettledAfterSend:
			counts.settled += c.Requests
		case Open:
			counts.open += c.Requests
		default:
			key = c.Key
			key.Entry = ""
			total.Add(key, c.Count)
		}
	}
	for key, counts := range byEntry {
		if n := max(counts.open, counts.received-counts.settled); n > 0 {
			key.Entry = ""
			total.Add(key, Count{Requests: n})
		}
	}
	return total.Snapshot()
}
