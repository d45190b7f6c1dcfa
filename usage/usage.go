// Package usage counts requests and tokens by partner, team, class and
// outcome. Every request ends in exactly one outcome.
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
	// Done: the whole answer reached the caller.
	Done Outcome = "done"
	// Refused: the caller was told that the request was not run.
	Refused Outcome = "refused"
	// Failed: the request may have run, and the caller got an error.
	Failed Outcome = "failed"
	// Incomplete: the caller got a part of the answer.
	Incomplete Outcome = "incomplete"
	// Cancelled: the caller went away.
	Cancelled Outcome = "cancelled"
	// Invalid: the request was at fault.
	Invalid Outcome = "invalid"
	// Open: the request is not settled. It is in progress, or its entry died.
	Open Outcome = "open"
)

// Marks that are counted beside the outcomes, to find open requests.
const (
	// ReceivedByAgent is counted by an agent for each request that is new to the system.
	ReceivedByAgent Outcome = "seen"
	// SettledAfterSend is counted by an entry with the outcome of a request that an agent had.
	SettledAfterSend Outcome = "sent"
)

// Key names one counter.
type Key struct {
	// Entry is the entry process that the requests came through.
	Entry   string
	Partner string
	Team    string
	Class   string
	Outcome Outcome
}

// Count is what one counter holds.
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

// Counter is a counter with its key.
type Counter struct {
	Key
	Count
}

const shardCount = 16

type shard struct {
	mu     sync.Mutex
	counts map[Key]*Count
}

// Counters holds the counters of one process.
type Counters struct {
	shards [shardCount]shard
}

// New returns an empty book.
func New() *Counters {
	cs := &Counters{}
	for i := range cs.shards {
		cs.shards[i].counts = map[Key]*Count{}
	}
	return cs
}

// Add adds to one counter.
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

// Snapshot returns the counters, sorted by key.
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

// Aggregate adds the lines of several processes up over entries. The marks Seen and
// Sent give a lower bound of each entry's open requests, its own count another;
// the larger one stands. An entry that died has written neither the end of its
// last requests nor, perhaps, their beginning, but the agents saw them.
func Aggregate(counters []Counter) []Counter {
	type entryCounts struct{ received, settled, open int64 }
	byEntry := map[Key]*entryCounts{}
	total := New()
	for _, l := range counters {
		key := l.Key
		key.Outcome = Open
		m, ok := byEntry[key]
		if !ok {
			m = &entryCounts{}
			byEntry[key] = m
		}
		switch l.Outcome {
		case ReceivedByAgent:
			m.received += l.Requests
		case SettledAfterSend:
			m.settled += l.Requests
		case Open:
			m.open += l.Requests
		default:
			key = l.Key
			key.Entry = ""
			total.Add(key, l.Count)
		}
	}
	for key, m := range byEntry {
		if n := max(m.open, m.received-m.settled); n > 0 {
			key.Entry = ""
			total.Add(key, Count{Requests: n})
		}
	}
	return total.Snapshot()
}
