package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"cactustide/member"
	"cactustide/meter"
	"cactustide/wire"
)

// fleet is a number of gossipers whose datagrams pass through a simulated network.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	entries map[string]*Gossiper
	order   []string
	started int
	queue   []datagram
	// loss is the fraction of the datagrams that are lost; cut separates two halves.
	loss float64
	cut  func(from, to string) bool
	// sent counts the bytes of all datagrams, positions is the position of each entry.
	sent      int
	positions map[string]uint64
}

type datagram struct {
	from, to string
	data     []byte
}

func newFleet(t *testing.T, seed uint64) *fleet {
	return &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 23)), now: time.Unix(1_700_000_000, 0), entries: map[string]*Gossiper{},
		positions: map[string]uint64{}, cut: func(string, string) bool { return false },
	}
}

func (f *fleet) addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7340", i/250, 1+i%250) }

// start starts an entry; its seeds are the first three addresses.
func (f *fleet) start(i int) {
	address := f.addressOf(i)
	f.started++
	g := New(f.now, fmt.Sprint("entry-", i), fmt.Sprint("centre-", i%5), address, []string{f.addressOf(0), f.addressOf(1), f.addressOf(2)}, uint64(f.started),
		meter.NewLogger(io.Discard, "error", "json", "relay"))
	// A running entry fetches the members of a peer that it hears of, at most every 2 s.
	var fetchedAt time.Time
	g.OnPeerUp = func(now time.Time, from string) {
		if peer := f.entries[from]; peer != nil && now.Sub(fetchedAt) >= 2*time.Second {
			fetchedAt = now
			g.members.Merge(now, peer.members.Alive(now))
		}
	}
	g.Positions = func(time.Time) []*wire.Position { return []*wire.Position{{Revision: f.positions[address]}} }
	g.OnGossip = func(_ time.Time, msg *wire.Gossip) {
		for _, p := range msg.GetPositions() {
			if p.GetRevision() > f.positions[address] {
				f.positions[address] = p.GetRevision()
				g.Announce()
			}
		}
	}
	g.Send = func(to string, data []byte) {
		f.sent += len(data)
		f.queue = append(f.queue, datagram{from: address, to: to, data: append([]byte(nil), data...)})
	}
	if _, ok := f.entries[address]; !ok {
		f.order = append(f.order, address)
	}
	f.entries[address] = g
}

func (f *fleet) stop(i int) { f.entries[f.addressOf(i)] = nil }

const fleetStep = 50 * time.Millisecond

// run lets a time pass: each entry sends about four messages a second, and those with news
// within a step; datagrams arrive within the next step.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		arriving := f.queue
		f.queue = nil
		for _, m := range arriving {
			g := f.entries[m.to]
			if g != nil && f.random.Float64() >= f.loss && !f.cut(m.from, m.to) {
				g.handleDatagram(f.now, m.from, m.data)
			}
		}
		for _, address := range f.order {
			if g := f.entries[address]; g != nil && (g.urgent.Load() || f.now.Sub(g.lastFull) >= g.interval()) {
				g.send(f.now)
			}
		}
	}
}

// counts returns the smallest and largest number of entries that one believes alive.
func (f *fleet) counts() (low, high int) { return f.countsOf(func(string) bool { return true }) }

// countsOf returns these numbers for some entries.
func (f *fleet) countsOf(which func(address string) bool) (low, high int) {
	low = 1 << 30
	for address, g := range f.entries {
		if g != nil && which(address) {
			n := g.AliveCount(f.now)
			low, high = min(low, n), max(high, n)
		}
	}
	return low, high
}

// within runs until a condition holds and returns how long that took.
func (f *fleet) within(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	begin := f.now
	for !done() {
		if f.now.Sub(begin) > limit {
			low, high := f.counts()
			f.t.Fatalf("not within %v: %s; entries count %d to %d alive", limit, what, low, high)
		}
		f.run(fleetStep)
	}
	return f.now.Sub(begin)
}

// TestFleet guards the promises of the membership at sizes beyond a neighbourhood: each entry
// counts all, news of the store reaches all, also after half of them were killed at once, and
// what one sends stays bounded.
func TestFleet(t *testing.T) {
	tests := map[string]struct {
		entries int
		loss    float64
		// joined, killed and told bound the time until all know of all at the start, of
		// those that were killed, and of a change.
		joined, killed, told time.Duration
	}{
		"28":         {28, 0.01, 3 * time.Second, 6 * time.Second, 600 * time.Millisecond},
		"57":         {57, 0.01, 3 * time.Second, 6 * time.Second, 800 * time.Millisecond},
		"100, lossy": {100, 0.03, 4 * time.Second, 8 * time.Second, time.Second},
		// All start at one moment, seconds before the first request.
		"300": {300, 0.01, 6 * time.Second, 8 * time.Second, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, uint64(test.entries))
			f.loss = test.loss
			for i := range test.entries {
				f.start(i)
			}
			all := func(want int) func() bool {
				return func() bool {
					low, high := f.counts()
					return low == want && high == want
				}
			}
			joined := f.within(test.joined, "all joined", all(test.entries))
			f.run(5 * time.Second)
			if low, high := f.counts(); low != test.entries || high != test.entries {
				t.Errorf("got %d to %d counted, want %d: a member that is alive counts as down", low, high, test.entries)
			}
			before := f.sent
			f.run(4 * time.Second)
			rate := float64(f.sent-before) / 4 / float64(test.entries)
			told := f.tell(test.told)
			for i := range test.entries / 2 {
				f.stop(2 * i)
			}
			killed := f.within(test.killed, "those killed are known", all(test.entries-test.entries/2))
			toldAfter := f.tell(test.told)
			f.start(0)
			rejoined := f.within(2*time.Second, "one joined", func() bool {
				low, high := f.countsOf(func(address string) bool { return address != f.addressOf(0) })
				return low == test.entries-test.entries/2+1 && high == low
			})
			f.within(5*time.Second, "it knows all others", all(test.entries-test.entries/2+1))
			t.Logf("joined %v, told %v, killed %v, told after %v, one joined %v, %.0f B/s an entry", joined, told, killed, toldAfter, rejoined, rate)
			if rate > 20_000 {
				t.Errorf("got %.0f B/s sent by an entry, want at most 20 kB/s", rate)
			}
		})
	}
}

// tell raises the position of one entry and returns how long it takes to reach all.
func (f *fleet) tell(limit time.Duration) time.Duration {
	f.t.Helper()
	first := ""
	for _, address := range f.order {
		if f.entries[address] != nil {
			first = address
		}
	}
	f.positions[first]++
	want := f.positions[first]
	f.entries[first].Announce()
	return f.within(limit, "the change is known to all", func() bool {
		for _, address := range f.order {
			if f.entries[address] != nil && f.positions[address] < want {
				return false
			}
		}
		return true
	})
}

// TestFleetCut guards against two halves that do not find each other again after a cut that
// lasted until each had forgotten the other.
func TestFleetCut(t *testing.T) {
	f := newFleet(t, 7)
	const entries = 40
	half := map[string]bool{}
	for i := range entries {
		f.start(i)
		half[f.addressOf(i)] = i%2 == 0
	}
	f.run(4 * time.Second)
	f.cut = func(from, to string) bool { return half[from] != half[to] }
	f.within(8*time.Second, "each half counts itself", func() bool { low, high := f.counts(); return low == entries/2 && high == entries/2 })
	f.run(90 * time.Second)
	f.cut = func(string, string) bool { return false }
	f.within(8*time.Second, "both halves count all", func() bool { low, _ := f.counts(); return low == entries })
}

// TestRestart: a process that starts again at its address is counted once, and its earlier
// self does not come back, whatever its clock says.
func TestRestart(t *testing.T) {
	for name, step := range map[string]time.Duration{"clock forward": 5 * time.Second, "clock back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			const entries = 30
			for i := range entries {
				f.start(i)
			}
			f.run(5 * time.Second)
			begin := f.now
			f.now = begin.Add(step)
			f.start(9)
			process := f.entries[f.addressOf(9)].process
			f.now = begin
			f.within(6*time.Second, "all know the new process", func() bool {
				for address, g := range f.entries {
					if r, ok := g.members.Find(process); address != f.addressOf(9) && (!ok || r.Down) {
						return false
					}
				}
				return true
			})
			f.run(10 * time.Second)
			if low, high := f.counts(); low != entries || high != entries {
				t.Errorf("got %d to %d counted, want %d", low, high, entries)
			}
		})
	}
}

// TestConnected checks that the graph of neighbours is connected at any size, by the news
// that each entry would pass on.
func TestConnected(t *testing.T) {
	for _, n := range []int{2, 25, 26, 27, 50, 57, 100, 300, 1800} {
		addresses := make([]string, n)
		tables := map[string]*member.Table{}
		for i := range n {
			addresses[i] = fmt.Sprintf("10.%d.%d.%d:7340", i%7, i/200, 1+i%200)
		}
		neighbours := map[string][]string{}
		for _, address := range addresses {
			table := member.New(member.Record{Address: address, Process: 1})
			table.AddAddresses(time.Unix(1000, 0), addresses)
			tables[address] = table
			neighbours[address] = table.Neighbours()
			if got := len(neighbours[address]); got != min(n-1, member.Fanout) {
				t.Fatalf("%d entries: got %d neighbours, want %d", n, got, min(n-1, member.Fanout))
			}
		}
		reached := map[string]int{addresses[0]: 0}
		steps := 0
		for queue := []string{addresses[0]}; len(queue) > 0; queue = queue[1:] {
			for _, next := range neighbours[queue[0]] {
				if _, ok := reached[next]; !ok {
					reached[next] = reached[queue[0]] + 1
					steps = max(steps, reached[next])
					queue = append(queue, next)
				}
			}
		}
		if len(reached) != n || steps > 5 {
			t.Errorf("%d entries: got %d reached in %d steps, want all in at most 5", n, len(reached), steps)
		}
	}
}
