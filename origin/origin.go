// Package origin decides at which release of an upstream's software a stream may go on. What two
// releases write does not fit together, so that a stream goes on only at the one that began it.
// The package does no I/O and takes the time as an argument.
package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/bound"
)

const (
	// Retention is how long the origin of a stream is kept after its begin and after each
	// time at which it was asked for. Streams last for seconds.
	Retention = 5 * time.Minute
	// MaxStreams bounds the streams whose origin is kept.
	MaxStreams = 1 << 16
)

// Origin is what began a stream.
type Origin struct {
	Service string
	// Release is the version of the software of the upstream. It is empty if that is not
	// known; such a stream goes on nowhere.
	Release string
}

// Key returns the key of a stream: the team of its caller and the id of the attempt that brought
// its first event. Callers choose these ids, so that two teams may have the same one.
func Key(team, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(team + "\n" + id) // xxhash never returns an error.
	return d.Sum64()
}

type stored struct {
	origin Origin
	usedAt time.Time
}

// Table holds the origins of streams by their keys.
type Table struct {
	mu      sync.Mutex
	streams map[uint64]stored
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: map[uint64]stored{}} }

// Put stores the origin of a stream. If another one is stored, as of a caller that used an id
// twice, the origin is not known any more.
func (t *Table) Put(now time.Time, key uint64, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.streams[key]; ok && old.origin != o {
		o = Origin{}
	}
	if len(t.streams) >= MaxStreams {
		bound.DropOlder(t.streams, func(r stored) time.Time { return r.usedAt })
	}
	t.streams[key] = stored{origin: o, usedAt: now}
}

// Find returns the origin of a stream, or false if none is stored.
func (t *Table) Find(now time.Time, key uint64) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.streams[key]
	if !ok {
		return Origin{}, false
	}
	r.usedAt = now
	t.streams[key] = r
	return r.origin, true
}

// Expire forgets the origins that were not used for Retention.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.streams {
		if now.Sub(r.usedAt) > Retention {
			delete(t.streams, key)
		}
	}
}

// Count returns the number of streams whose origin is stored.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}
