package member

import (
	"cmp"
	"slices"
	"time"
)

// Check marks the members that were silent for too long as down, forgets those that were
// down for long, and returns those that are to be probed now, by the entry and by others.
func (t *Table) Check(now time.Time) (suspects []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateNeighbours(now)
	for address, m := range t.members {
		if m.Down {
			if !m.seed && now.Sub(m.downAt) > forgetAfter {
				delete(t.members, address)
				t.changed()
			}
			continue
		}
		if m.Process == 0 { // Nothing was heard of it.
			if !m.seed && now.Sub(m.addedAt) > forgetAfter {
				delete(t.members, address)
				t.changed()
			}
			continue
		}
		silence := now.Sub(m.advancedAt)
		if m.neighbourSince.IsZero() {
			if silence > t.staleTime() {
				t.markDown(now, m)
			}
			continue
		}
		silence = min(silence, now.Sub(m.neighbourSince))
		switch {
		case silence > downAfter && !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= downAfter-suspectAfter:
			t.markDown(now, m)
		case silence > suspectAfter:
			if m.suspectedAt.IsZero() {
				m.suspectedAt = now
			}
			suspects = append(suspects, address)
		}
	}
	slices.Sort(suspects)
	return suspects
}

func (t *Table) staleTime() time.Duration {
	return staleAfter + time.Duration(len(t.members))*stalePerMember
}

// Asked records that another member asks for one.
func (t *Table) Asked(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[address]
	if ok {
		m.askedAt = now
	}
	return ok
}

// Absent returns the seeds of which nothing was heard and the members that are down: a message
// to one of them now and then joins halves of a fleet that was cut, and tells a process that
// is alive after all.
func (t *Table) Absent() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for _, m := range t.members {
		if m.Down || m.seed && m.Process == 0 {
			list = append(list, m.Record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

func (t *Table) isAlive(now time.Time, m *state) bool {
	return !m.Down && m.Process != 0 && now.Sub(m.advancedAt) < t.staleTime()
}

// Alive returns the records of the members that are alive, and that of this entry, in the
// order of the ring.
func (t *Table) Alive(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for _, address := range t.sorted() {
		if address == t.self.Address {
			list = append(list, t.self)
		} else if m := t.members[address]; t.isAlive(now, m) {
			list = append(list, m.Record)
		}
	}
	return list
}

// Sample returns up to n records of members that are alive, chosen at random. random returns
// a number from 0 to n-1.
func (t *Table) Sample(now time.Time, n int, random func(n int) int) []Record {
	alive := t.Alive(now)
	for i := range min(n, len(alive)) {
		j := i + random(len(alive)-i)
		alive[i], alive[j] = alive[j], alive[i]
	}
	return alive[:min(n, len(alive))]
}

// Count returns the number of entries that are alive, this one included.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.countedAt); t.count > 0 && age >= 0 && age < countInterval {
		return t.count
	}
	t.count, t.known, t.countedAt = 1, 1, now
	for _, m := range t.members {
		switch {
		case t.isAlive(now, m):
			t.count++
			t.known++
		case m.Down && m.Process != 0 && now.Sub(m.downAt) < forgetAfter:
			t.known++
		}
	}
	return t.count
}

// Known returns the number of members that are alive or went down within forgetAfter, and of
// this entry: a part of a fleet that was cut in two cannot tell the other part from one that
// has ended.
func (t *Table) Known(now time.Time) int {
	t.Count(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.count, t.known)
}

// HasMet reports whether anything was heard of another process since the start.
func (t *Table) HasMet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.met
}

// Find returns the address and data centre of a process, or false if it is not known.
func (t *Table) Find(process uint64) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.Process == process {
			return m.Record, true
		}
	}
	return Record{}, false
}
