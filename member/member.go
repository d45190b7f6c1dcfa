// Package member keeps the membership of the entries: which are alive, and to which an entry
// sends its messages. It follows the SWIM design (Das, Gupta, Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// changes are passed on with messages that are sent anyway, an entry that falls silent is
// suspected and asked for through others before it counts as down, and only a process itself
// raises the number that refutes this. It does no I/O and takes the time as an argument.
package member

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// Fanout bounds the neighbours of an entry, so that the messages that it sends and gets
	// do not grow with the number of entries.
	Fanout = 24
	// nearOffsets is the number of neighbours on each side of an entry in the ring.
	nearOffsets = 4
	// suspectAfter is the silence after which a member is probed, and downAfter that after
	// which it counts as down.
	suspectAfter = 1500 * time.Millisecond
	downAfter    = 2500 * time.Millisecond
	// downBeats is by how much the number of a member may be higher than in the report that
	// it is down, for the report to hold: the last messages of a process reach some members
	// only. A process that hears such a report of itself raises its number beyond it.
	downBeats = 16
	// heardLately is how long after a message from a member itself such reports are ignored.
	heardLately = time.Second
	// askWindow is how long the answer of a member that another entry asked for is news.
	askWindow = 2 * time.Second
	// A member that is no neighbour counts as alive for staleAfter since its number last
	// rose, and for stalePerMember more for each member: rumours come more rarely in a
	// larger fleet. The news that it is down comes sooner, from its neighbours.
	staleAfter     = 20 * time.Second
	stalePerMember = 60 * time.Millisecond
	// forgetAfter is how long a member that is down is kept. Seeds are kept for good.
	forgetAfter = time.Minute
	// newsCopies is the number of messages in which a change is passed on, maxNews the
	// number of changes that wait for that.
	newsCopies = 3
	maxNews    = 512
	// maxMembers bounds the table against senders of made-up addresses.
	maxMembers = 8192
)

// Record is what is known about one member.
type Record struct {
	// Address is the IP address and port for messages between entries.
	Address string
	Centre  string
	// Process is a random number that the process chose at its start; 0 if nothing was
	// heard of it yet.
	Process uint64
	// Beat is a number that only the process itself raises.
	Beat uint64
	// Down is set if the member did not answer for downAfter.
	Down bool
}

type state struct {
	Record
	seed bool
	// addedAt is when the address became known, heardAt when the last message came from
	// the member itself, advancedAt when its number last rose.
	addedAt, heardAt, advancedAt time.Time
	downAt                       time.Time
	// neighbourSince is since when the member is a neighbour; zero if it is none. Only
	// neighbours are expected to send.
	neighbourSince time.Time
	// suspectedAt is since when the member is suspected and probed; zero if it is not.
	suspectedAt time.Time
	// askedAt is when another entry last asked for the member.
	askedAt time.Time
}

type newsItem struct {
	address string
	copies  int
}

// Table holds the members known to one entry. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    Record
	members map[string]*state
	// ring holds the addresses of all members that are not down, and the entry's own, in
	// the order of their hashes. It is nil when it must be computed again.
	ring []string
	news []newsItem
	// cursor is the place in the ring of the next member that is passed on without news.
	cursor int
	// version changes with each change of the members that are alive.
	version uint64
	// markedVersion is the version for which neighbourSince was set.
	markedVersion uint64
	// count is the number of entries alive at countedAt, known that of those alive or down for
	// less than forgetAfter.
	count     int
	known     int
	countedAt time.Time
	// met is set once another process was heard of.
	met bool
}

// countInterval is how long a count of the members is used.
const countInterval = 100 * time.Millisecond

// New returns a table of one entry. The beat of self must be larger than that of an earlier
// process at the address; the time of day is a good start, and it is raised if need be.
func New(self Record) *Table {
	return &Table{self: self, members: map[string]*state{}}
}

// AddSeeds adds addresses that may be those of members.
func (t *Table) AddSeeds(now time.Time, addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		if m := t.add(now, address); m != nil {
			m.seed = true
		}
	}
}

// AddAddresses adds addresses that a member named.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.add(now, address)
	}
}

// add returns the member at an address, or nil if the address is the entry's own, is none,
// or there are too many.
func (t *Table) add(now time.Time, address string) *state {
	if m, ok := t.members[address]; ok {
		return m
	}
	if address == t.self.Address || len(t.members) >= maxMembers {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil
	}
	m := &state{Record: Record{Address: address}, addedAt: now}
	t.members[address] = m
	t.changed()
	return m
}

func (t *Table) changed() {
	t.ring, t.count = nil, 0
	t.version++
}

// Version returns a number that changes with the members that are alive.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// NextBeat raises the number of this process and returns its record.
func (t *Table) NextBeat() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	return t.self
}

// Hear records a message from a member itself. It reports whether the member is new, has
// restarted or was silent for downAfter.
func (t *Table) Hear(now time.Time, r Record) (up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.add(now, r.Address)
	if m == nil {
		return false
	}
	t.met = true
	moved := m.Process != r.Process || m.Down
	up = moved || !m.neighbourSince.IsZero() && now.Sub(m.advancedAt) > downAfter
	m.Process, m.Down = r.Process, false
	m.Beat = max(m.Beat, r.Beat)
	if r.Centre != "" && r.Centre != m.Centre {
		m.Centre = r.Centre
		moved = true
	}
	asked := now.Sub(m.askedAt) < askWindow && !m.askedAt.IsZero()
	m.heardAt, m.advancedAt, m.suspectedAt = now, now, time.Time{}
	if moved {
		t.changed()
		t.updateNeighbours(now)
	}
	if moved || asked {
		m.askedAt = time.Time{}
		t.announce(m.Address)
	}
	return up
}

// Merge records what another member passed on.
func (t *Table) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.merge(now, r)
	}
}

func (t *Table) merge(now time.Time, r Record) {
	if r.Address == t.self.Address {
		t.refute(r)
		return
	}
	m, ok := t.members[r.Address]
	if r.Down {
		if ok && !m.Down && m.Process == r.Process && r.Beat+downBeats >= m.Beat && now.Sub(m.heardAt) > heardLately {
			m.Beat = max(m.Beat, r.Beat)
			t.markDown(now, m)
		}
		return
	}
	if !ok {
		if m = t.add(now, r.Address); m == nil {
			return
		}
	}
	known := m.Beat
	if m.Down && m.Process == r.Process {
		known += downBeats
	}
	if m.Process != 0 && r.Beat <= known {
		return
	}
	t.met = true
	isNews := m.Down || m.Process != r.Process
	if r.Centre == "" {
		r.Centre = m.Centre
	}
	moved := isNews || r.Centre != m.Centre
	m.Record = r
	m.advancedAt, m.suspectedAt = now, time.Time{}
	if moved {
		t.changed()
	}
	if isNews {
		t.announce(m.Address)
	}
}

// refute raises the number of this process if others believe in an earlier one at its
// address, or that it is down.
func (t *Table) refute(r Record) {
	beat := r.Beat
	if r.Down {
		beat += downBeats
	}
	if (r.Process != t.self.Process || r.Down) && beat >= t.self.Beat {
		t.self.Beat = beat + 1
		t.announce(t.self.Address)
	}
}

func (t *Table) markDown(now time.Time, m *state) {
	m.Down, m.downAt = true, now
	t.changed()
	t.announce(m.Address)
}

// announce makes the next messages carry the record of a member.
func (t *Table) announce(address string) {
	i := slices.IndexFunc(t.news, func(n newsItem) bool { return n.address == address })
	if i >= 0 {
		t.news[i].copies = newsCopies
		return
	}
	if len(t.news) < maxNews {
		t.news = append(t.news, newsItem{address: address, copies: newsCopies})
	}
}

// HasNews reports whether changes wait to be passed on.
func (t *Table) HasNews() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.news) > 0
}

// Records returns up to maxCount records for a message, changes first, and up to
// steady others in turn.
func (t *Table) Records(now time.Time, maxCount, steady int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	var left []newsItem
	for i, n := range t.news {
		if len(list) >= maxCount {
			left = append(left, t.news[i:]...)
			break
		}
		if r, ok := t.record(n.address); ok {
			list = append(list, r)
		}
		if n.copies > 1 {
			left = append(left, newsItem{address: n.address, copies: n.copies - 1})
		}
	}
	t.news = left
	ring := t.sorted()
	for range min(steady, len(ring), max(0, maxCount-len(list))) {
		t.cursor = (t.cursor + 1) % len(ring)
		if m, ok := t.members[ring[t.cursor]]; ok && t.isAlive(now, m) {
			list = append(list, m.Record)
		}
	}
	return list
}

func (t *Table) record(address string) (Record, bool) {
	if address == t.self.Address {
		return t.self, true
	}
	if m, ok := t.members[address]; ok {
		return m.Record, true
	}
	return Record{}, false
}
