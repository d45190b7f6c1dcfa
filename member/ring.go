package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sorted returns the ring.
func (t *Table) sorted() []string {
	if t.ring != nil {
		return t.ring
	}
	t.ring = append(t.ring, t.self.Address)
	for address, m := range t.members {
		if !m.Down {
			t.ring = append(t.ring, address)
		}
	}
	slices.SortFunc(t.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return t.ring
}

// Neighbours returns the members to which the entry sends its messages. All of them if
// there are few; else those next to it in the ring, on both sides, and those at distances of
// powers of two, so that the graph of all entries is connected and news takes a number of
// steps that grows with the logarithm of their number (Stoica et al., "Chord", 2001).
func (t *Table) Neighbours() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.neighbours()
}

func (t *Table) neighbours() []string {
	ring := t.sorted()
	n := len(ring)
	self := slices.Index(ring, t.self.Address)
	list := make([]string, 0, min(n, Fanout))
	if n-1 <= Fanout {
		for i, address := range ring {
			if i != self {
				list = append(list, address)
			}
		}
		return list
	}
	for _, offset := range offsets(n) {
		list = append(list, ring[(self+offset)%n])
	}
	return list
}

// updateNeighbours sets since when members are neighbours, after a change of the ring.
func (t *Table) updateNeighbours(now time.Time) {
	if t.markedVersion == t.version {
		return
	}
	t.markedVersion = t.version
	current := map[string]bool{}
	for _, address := range t.neighbours() {
		current[address] = true
		if m := t.members[address]; m.neighbourSince.IsZero() {
			m.neighbourSince = now
		}
	}
	for address, m := range t.members {
		if !current[address] {
			m.neighbourSince, m.suspectedAt = time.Time{}, time.Time{}
		}
	}
}

// offsets returns the distances in a ring of n, more than Fanout + 1, of the neighbours.
func offsets(n int) []int {
	chosen := map[int]bool{}
	var list []int
	add := func(distance int) {
		for _, offset := range []int{distance, n - distance} {
			if distance > 0 && offset < n && !chosen[offset] && len(list) < Fanout {
				chosen[offset] = true
				list = append(list, offset)
			}
		}
	}
	for distance := 1; distance <= nearOffsets; distance++ {
		add(distance)
	}
	for power := bits.Len(uint(n/2)) - 1; 1<<power > nearOffsets; power-- {
		add(1 << power)
	}
	for distance := nearOffsets + 1; distance <= n/2; distance++ {
		add(distance)
	}
	return list
}
