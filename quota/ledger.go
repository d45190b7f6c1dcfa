// Package quota keeps the request rates that upstreams name while they are in need, and divides
// them among the entries, which must not exceed them together. For each limited upstream one
// entry, found by rendezvous hashing, hands out turns: a turn is one request. An entry sends a
// limited upstream nothing without a turn. The package does no I/O and takes the time as an
// argument.
package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactustide/fleet"
)

const (
	// MinRate is the lowest rate that is kept, requests per second; lower ones and 0 count
	// as it. The end of a limit is learned from responses alone, so some request must be sent.
	MinRate = 0.1
	// MaxRate is the highest rate that is kept, requests per second; one above it counts as
	// no limit.
	MaxRate = 100_000
	// retention is how long the end of a limit is remembered, so that late news of the limit
	// does not bring it back.
	retention = 10 * time.Minute
	// maxLimits bounds the processes whose limits are remembered.
	maxLimits = 4096
)

// Key identifies a process of an upstream.
type Key struct {
	Upstream string
	// StartedAt is the start time of the process, Unix milliseconds.
	StartedAt int64
}

// KeyOf returns the key of a registered process.
func KeyOf(u fleet.Upstream) Key { return Key{Upstream: u.ID, StartedAt: u.StartedAt} }

// Limit is what is known of the rate that a process names.
type Limit struct {
	Key
	// Rate is in requests per second, by all entries together; 0 means that the process has
	// named one before and no longer does.
	Rate float64
	// Version grows with each change that an entry reads in a response. Of two limits of a
	// process the one with the higher version is newer, whenever its message arrives.
	Version uint64
	Source  fleet.Source
	// At is when this entry learned of it.
	At time.Time
}

// IsNewer reports whether l replaces other. Of two changes that entries read at the same time
// the stricter one holds until the next response.
func (l Limit) IsNewer(other Limit) bool {
	if l.Version != other.Version {
		return l.Version > other.Version
	}
	return l.Rate > 0 && (other.Rate == 0 || l.Rate < other.Rate)
}

// record is the state of one process that names a limit or has named one.
type record struct {
	Limit
	holder
	granter
}

// Ledger holds the limits of all upstreams that an entry knows of, the turns that it has, and
// the turns that it hands out to others.
type Ledger struct {
	// Random returns a number from 0 to 1; it spreads the times of repeated calls.
	Random func() float64

	mu      sync.Mutex
	records map[Key]*record
	// size is the number of records, so that the usual case without any takes no lock.
	size atomic.Int64
	// waiters holds the requests that wait for a turn, by service, and lastTurns when a team
	// last got one.
	waiters   map[string][]*Waiter
	lastTurns map[string]time.Time
	given     int
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{Random: rand.Float64, records: map[Key]*record{}, waiters: map[string][]*Waiter{}, lastTurns: map[string]time.Time{}}
}

// normalize returns the rate that is kept for one that a process names.
func normalize(rate float64) float64 {
	if rate > MaxRate {
		return 0
	}
	return max(rate, MinRate)
}

// Observe records what a response says: the named rate, or that there is none. sentAt is when
// the request was sent; a response to a request from before the present state became known
// does not change it. It returns the limit and whether it is new.
func (l *Ledger) Observe(now, sentAt time.Time, key Key, rate float64, named bool) (Limit, bool) {
	kept := 0.0
	if named {
		kept = normalize(rate)
	}
	if kept == 0 && l.size.Load() == 0 {
		return Limit{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok && kept == 0 {
		return Limit{}, false
	}
	next := Limit{Key: key, Rate: kept, Version: 1, Source: fleet.SourceResponse, At: now}
	if !ok {
		l.add(next)
		return next, true
	}
	if r.Rate == kept || sentAt.Before(r.At) {
		return r.Limit, false
	}
	next.Version = r.Version + 1
	l.change(r, next)
	return next, true
}

// Merge records what another entry knows of a limit and reports whether that is new.
func (l *Ledger) Merge(now time.Time, next Limit) bool {
	if next.Rate != 0 {
		next.Rate = normalize(next.Rate)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next.Source, next.At = fleet.SourcePeer, now
	r, ok := l.records[next.Key]
	if !ok {
		l.add(next)
		return true
	}
	if !next.IsNewer(r.Limit) {
		return false
	}
	changed := r.Rate != next.Rate
	l.change(r, next)
	return changed
}

// change replaces a limit. Turns of a higher rate lose their validity, and requests that wait
// for a turn of a limit that has ended need none.
func (l *Ledger) change(r *record, next Limit) {
	if next.Rate == r.Rate {
		next.At = r.At
	} else if next.Rate < r.Rate {
		r.turns = nil
	}
	ended := next.Rate == 0 && r.Rate > 0
	r.Limit = next
	if ended {
		l.releaseWaiters(r.service)
	}
}

func (l *Ledger) add(next Limit) {
	if len(l.records) >= maxLimits {
		l.dropOldest()
	}
	l.records[next.Key] = &record{Limit: next}
	l.size.Store(int64(len(l.records)))
}

// dropOldest forgets a limit that has ended or, if there is none, the one learned first.
func (l *Ledger) dropOldest() {
	var oldest *record
	for _, r := range l.records {
		if oldest == nil || r.Rate == 0 && oldest.Rate > 0 || (r.Rate == 0) == (oldest.Rate == 0) && r.At.Before(oldest.At) {
			oldest = r
		}
	}
	delete(l.records, oldest.Key)
}

// Expire forgets limits that ended long ago and those of processes that are gone.
func (l *Ledger) Expire(now time.Time, isCurrent func(Key) bool) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.records {
		if now.Sub(r.At) > retention && (r.Rate == 0 || !isCurrent(key)) {
			delete(l.records, key)
		}
	}
	l.size.Store(int64(len(l.records)))
}

// Find returns what is known of the limit of a process.
func (l *Ledger) Find(key Key) (Limit, bool) {
	if l.size.Load() == 0 {
		return Limit{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok {
		return Limit{}, false
	}
	return r.Limit, true
}

// Limits returns what is known, sorted by upstream; limits that have ended have no rate.
func (l *Ledger) Limits() []Limit {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Limit, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, r.Limit)
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return list
}
